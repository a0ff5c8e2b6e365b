package caller

import (
	"encoding/json"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

const (
	maxPrefixes = 8
	// bytesPerToken is the usual mean for prose. It is good for estimates only,
	// not for bounds.
	bytesPerToken = 4
)

// prefixes returns the prefixes of the prompt that end with one of its first
// maxPrefixes messages.
func prefixes(messages []json.RawMessage) []route.Prefix {
	count := min(len(messages), maxPrefixes)
	texts, tokens := make([][]byte, count), make([]ident.Tokens, count)
	for ix, ms := range messages[:count] {
		texts[ix], tokens[ix] = ms, ident.Tokens(len(ms)/bytesPerToken)
	}
	return route.PromptPrefixes(texts, tokens)
}
