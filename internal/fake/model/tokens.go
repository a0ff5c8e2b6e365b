package model

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is a message of a chat prompt.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// promptTokens splits the roles and texts of the messages into tokens at white
// space. Content that is not a string is split in its JSON form.
func promptTokens(msgs []Message) []string {
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

// hashPrompt returns a hash of the prompt. It determines the tokens of the
// response.
func hashPrompt(prompt []string) uint64 { return xxhash.Sum64String(strings.Join(prompt, "\x00")) }

// tokenText returns the token of a response with the given number, from 1.
func tokenText(promptHash uint64, num int) string {
	if num == 1 {
		return fmt.Sprintf("%016x-1", promptHash)
	}
	return fmt.Sprintf(" %016x-%d", promptHash, num)
}

// Check returns the number of tokens in text, which must be the beginning of the
// response to the request body. It returns an error if the text belongs to another
// request, or if a token is missing, repeated or out of order.
func Check(body []byte, text string) (int, error) {
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	promptHash := hashPrompt(promptTokens(req.Messages))
	fields := strings.Fields(text)
	for idx, got := range fields {
		if want := strings.TrimSpace(tokenText(promptHash, idx+1)); got != want {
			return idx, fmt.Errorf("token %d is %q, want %q", idx+1, got, want)
		}
	}
	return len(fields), nil
}
