package peers_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/peers"
)

// TestFetchLoad guards against a load that is changed in transfer, and against a router
// that does not respond and is taken for one with capacity.
func TestFetchLoad(t *testing.T) {
	want := peers.Load{Congested: true, OutOfRotation: true, OutMs: 4000}
	sv := httptest.NewServer(peers.Handler(peers.LocalRouter{Load: func() peers.Load { return want }}))
	addr := strings.TrimPrefix(sv.URL, "http://")
	cl := peers.NewClient(nil)
	got, err := cl.FetchLoad(t.Context(), addr)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("%v, load (-want +got):\n%s", err, diff)
	}
	sv.Close()
	if _, err := cl.FetchLoad(t.Context(), addr); err == nil {
		t.Error("no error from a router that has ended")
	}
}
