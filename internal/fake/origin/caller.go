package origin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Call is a request of a caller.
type Call struct {
	ID, Host, Path, Key string
	// Prompt and Output are the tokens of a model request, or zero.
	Prompt, Output int
}

// Send sends the request to a router and returns the status and the body. An
// answer that breaks off is an error.
func (ca Call) Send(ctx context.Context, addr string) (int, string, error) {
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+ca.Path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	re.Host = ca.Host
	re.Header.Set("Attempt-Id", ca.ID)
	re.Header.Set("Authorization", "Bearer "+ca.Key)
	re.Header.Set("Deadline-Ms", "5000")
	if ca.Prompt > 0 {
		re.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", ca.Prompt, ca.Output))
		re.Header.Set("Prompt-Prefix", fmt.Sprintf("aa:%d,bb:%d", ca.Prompt/2, ca.Prompt-ca.Prompt/2))
	}
	resp, err := http.DefaultClient.Do(re)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}
