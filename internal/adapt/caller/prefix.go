package caller

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// maxPrefixes bounds the number of prefix hashes of a request.
const maxPrefixes = 8

// prefixes returns the hashes of the first message, of the first two, and so
// on. Engines cache prompts by prefix, and callers repeat their first messages.
func prefixes(messages []json.RawMessage) []uint64 {
	hash := xxhash.New()
	out := make([]uint64, 0, min(len(messages), maxPrefixes))
	for _, ms := range messages[:min(len(messages), maxPrefixes)] {
		_, _ = hash.Write(ms)
		out = append(out, hash.Sum64())
	}
	return out
}
