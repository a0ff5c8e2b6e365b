package caller

import (
	"encoding/json"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

const (
	// maxPrefixes bounds the number of prefixes of a request.
	maxPrefixes = 8
	// bytesPerToken is a usual mean for running text. Estimates use it; bounds
	// do not.
	bytesPerToken = 4
)

// prefixes returns the prompt's prefixes at its message boundaries.
func prefixes(messages []json.RawMessage) []route.Block {
	count := min(len(messages), maxPrefixes)
	texts, tokens := make([][]byte, count), make([]ident.Tokens, count)
	for ix, ms := range messages[:count] {
		texts[ix], tokens[ix] = ms, ident.Tokens(len(ms)/bytesPerToken)
	}
	return route.Blocks(texts, tokens)
}
