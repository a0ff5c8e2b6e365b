package plain_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/plain"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/script"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// TestResetDuringUpload guards against taking the part of a response for the whole one
// when the service resets the connection while the request body is being written.
func TestResetDuringUpload(t *testing.T) {
	emitted := make(chan struct{})
	sv, err := script.NewEarly("HTTP/1.1 200 OK\r\n\r\npart", func(tc *net.TCPConn) {
		select {
		case <-emitted:
		case <-t.Context().Done():
		}
		script.Reset(tc)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sv.Close)
	up := plain.New("http://" + sv.Addr())
	ca := engine.Call{Method: http.MethodPost, Path: "/filings", Body: make([]byte, 12<<20)}
	outcomes := map[refuse.Outcome]int{}
	// The scheduler decides whether the read or the write receives the error.
	for range 20 {
		_, err := up.Run(t.Context(), ca, func(engine.Chunk) error {
			emitted <- struct{}{}
			return nil
		})
		if err != nil {
			outcomes[refuse.From(err).Outcome]++
		}
	}
	if diff := cmp.Diff(map[refuse.Outcome]int{refuse.Unknown: 20}, outcomes); diff != "" {
		t.Errorf("outcomes of calls that were broken off (-want +got):\n%s", diff)
	}
}
