package model

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a prompt.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// words returns the role and the text of the messages as tokens. Content that
// is not a string counts as its JSON form.
func words(msgs []Message) []string {
	var out []string
	for _, ms := range msgs {
		var text string
		if err := json.Unmarshal(ms.Content, &text); err != nil {
			text = string(ms.Content)
		}
		out = append(out, ms.Role)
		out = append(out, strings.Fields(text)...)
	}
	return out
}

// digest identifies a prompt.
func digest(prompt []string) uint64 { return xxhash.Sum64String(strings.Join(prompt, "\x00")) }

// word returns the answer's token with the given number, which starts at 1.
func word(dig uint64, num int) string {
	if num == 1 {
		return fmt.Sprintf("%016x-1", dig)
	}
	return fmt.Sprintf(" %016x-%d", dig, num)
}

// Check reports how many tokens of the answer to the request body the text
// holds. It returns an error if the text belongs to another request or lacks,
// repeats or reorders a token.
func Check(body []byte, text string) (int, error) {
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	dig := digest(words(req.Messages))
	fields := strings.Fields(text)
	for idx, got := range fields {
		if want := strings.TrimSpace(word(dig, idx+1)); got != want {
			return idx, fmt.Errorf("token %d is %q, want %q", idx+1, got, want)
		}
	}
	return len(fields), nil
}
