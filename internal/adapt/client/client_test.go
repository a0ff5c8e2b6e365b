package client_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/fake/script"
)

// TestConnectionOfInvalidResponse guards against reusing the connection of a response that
// HTTP does not allow: what follows it late would be read as the response to the next
// request.
func TestConnectionOfInvalidResponse(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
	const own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
	for _, head := range []string{"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 600 Trouble\r\n", "HTTP/1.1 200 OK\r\nX Own: a\r\n"} {
		for name, opts := range map[string][]client.Option{"default": nil, "without reuse after errors": {client.WithoutReuseAfterErrors()}} {
			t.Run(head+name, func(t *testing.T) {
				sv, err := script.New([]string{head + "Content-Length: 0\r\n\r\n", late + own}, []string{own})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(sv.Close)
				hc := client.New(opts...)
				var got []string
				for range 2 {
					re, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+sv.Addr(), strings.NewReader("{}"))
					if err != nil {
						t.Fatal(err)
					}
					got = append(got, send(t, hc, re))
				}
				if diff := cmp.Diff([]string{"no response", "own"}, got); diff != "" {
					t.Errorf("results (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// send returns the body of the response, or that there is none.
func send(t *testing.T, hc *http.Client, re *http.Request) string {
	t.Helper()
	resp, sent, err := client.Do(hc, re)
	if err != nil && sent {
		return "no response"
	}
	if err != nil {
		t.Fatal(err)
	}
	body, err := client.ReadAll(resp.Body, 100)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
