package plain_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/plain"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/script"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// TestInvalidResponse guards against passing on a response that HTTP does not allow as
// the result of a call, which is then stored under its key.
func TestInvalidResponse(t *testing.T) {
	for _, tc := range []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody"},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\nbody"},
		{"blank in the name of a field", "HTTP/1.1 200 OK\r\nX Own: a\r\nContent-Length: 4\r\n\r\nbody"},
		{"blank after the name of a length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 4\r\n\r\nbody"},
		{"control byte in the name of a field", "HTTP/1.1 200 OK\r\nX\x01Own: a\r\nContent-Length: 4\r\n\r\nbody"},
		{"status 600", "HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n\r\nbody"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sv, err := script.New([]string{tc.response})
			if err != nil {
				t.Fatal(err)
			}
			defer sv.Close()
			ca := engine.Call{Method: http.MethodPost, Path: "/filings", Key: "k1", Body: []byte(`{}`)}
			res, err := plain.New("http://"+sv.Addr()).Run(t.Context(), ca, discard)
			if diff := cmp.Diff(engine.Result{}, res); diff != "" || err == nil || refuse.From(err).Outcome != refuse.Unknown {
				t.Errorf("error %v, want an unknown outcome (-want +got):\n%s", err, diff)
			}
		})
	}
}
