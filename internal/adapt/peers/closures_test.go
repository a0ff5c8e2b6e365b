package peers_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/balsamwood/balsamwood/internal/adapt/peers"
	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
)

// TestFetchClosures guards against closures that are changed in transfer, and against an
// unknown state that is taken for one without closures.
func TestFetchClosures(t *testing.T) {
	known := follow.ClosureState{Position: epoch.At(2, 9), Closures: []follow.Closure{
		{Domain: "a", Position: epoch.At(2, 7)}, {Domain: "b", Position: epoch.At(1, 8), Until: time.Now().Add(3 * time.Second)},
	}}
	for _, tc := range []struct {
		name  string
		state follow.ClosureState
		ok    bool
	}{
		{"known", known, true},
		{"none closed", follow.ClosureState{Position: epoch.At(2, 9)}, true},
		{"unknown", follow.ClosureState{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sv := httptest.NewServer(peers.Handler(peers.LocalRouter{Closures: func() (follow.ClosureState, bool) { return tc.state, tc.ok }}))
			defer sv.Close()
			got, ok, err := peers.NewClient(nil).FetchClosures(t.Context(), strings.TrimPrefix(sv.URL, "http://"))
			if diff := cmp.Diff(tc.state, got, cmpopts.EquateApproxTime(time.Second)); diff != "" || ok != tc.ok || err != nil {
				t.Errorf("%v %v, state (-want +got):\n%s", ok, err, diff)
			}
		})
	}
}
