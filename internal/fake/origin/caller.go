package origin

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Call is a request of a caller to a router.
type Call struct {
	ID, Host, Path, Key string
	// Prompt and Output are the token counts of a request to a model, or zero for
	// other requests.
	Prompt, Output int
	// Parts lists the parts of the prompt as ID:TOKENS, separated by commas. By
	// default the prompt has two parts.
	Parts string
	// Body is the request body. By default it is a few bytes.
	Body string
}

// Send sends the request to a router and returns the status and the body of the
// response. It returns an error if the response is incomplete.
func (ca Call) Send(ctx context.Context, addr string) (int, string, error) {
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+ca.Path, strings.NewReader(cmp.Or(ca.Body, "body")))
	if err != nil {
		return 0, "", err
	}
	re.Host = ca.Host
	re.Header.Set("Attempt-Id", ca.ID)
	re.Header.Set("Authorization", "Bearer "+ca.Key)
	re.Header.Set("Deadline-Ms", "5000")
	if ca.Prompt > 0 {
		re.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", ca.Prompt, ca.Output))
		parts := fmt.Sprintf("aa:%d,bb:%d", ca.Prompt/2, ca.Prompt-ca.Prompt/2)
		if ca.Parts != "" {
			parts = ca.Parts
		}
		re.Header.Set("Prompt-Prefix", parts)
	}
	resp, err := http.DefaultClient.Do(re)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}
