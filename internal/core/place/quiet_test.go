package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/place"
)

// TestQuiet guards against sending requests to an upstream that wants none, against a
// burst of them when its time is over, and against waiting for it for ever.
func TestQuiet(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	ep := place.NewEndpoint(place.Upstream{ID: "u", Service: "s", Slots: 8}, place.NewProfile())
	var got []bool
	usable := func(ms int) { got = append(got, ep.Usable(at(ms))) }
	ep.Sent(0, 0, at(0))
	usable(0)
	ep.Quiet(at(1000))
	usable(1)
	// A shorter time does not replace a longer one, and a response to an earlier request
	// proves nothing.
	ep.Quiet(at(500))
	ep.Accepted(at(0))
	usable(999)
	usable(1000)
	ep.Sent(0, 0, at(1000))
	usable(1001)
	usable(1100)
	ep.Accepted(at(1000))
	usable(1101)
	if diff := cmp.Diff([]bool{true, false, false, true, false, true, true}, got); diff != "" {
		t.Errorf("usable (-want +got):\n%s", diff)
	}
}

// TestQuietLifetime guards against leaving an upstream alone because its earlier lifetime
// wanted no requests.
func TestQuietLifetime(t *testing.T) {
	now := time.Now()
	up := place.Upstream{ID: "u", Service: "s", Address: "a", StartedMs: 1}
	mp := place.EndpointMap{}.WithUpstreams(up)
	mp.Service("s")[0].Quiet(now.Add(time.Hour))
	up.Slots = 4
	same := mp.WithUpstreams(up)
	up.StartedMs = 2
	next := same.WithUpstreams(up)
	if diff := cmp.Diff([]bool{false, true}, []bool{same.Service("s")[0].Usable(now), next.Service("s")[0].Usable(now)}); diff != "" {
		t.Errorf("usable in the same and in the next lifetime (-want +got):\n%s", diff)
	}
}

// TestUsableAt guards against a retry time that is too early while all upstreams want
// quiet, and against one that is late although some do not.
func TestUsableAt(t *testing.T) {
	start := time.Now()
	endpoint := func(quiet time.Duration, leaving bool) *place.Endpoint {
		ep := place.NewEndpoint(place.Upstream{ID: "u", Service: "s", Leaving: leaving}, place.NewProfile())
		ep.Sent(0, 0, start)
		if quiet > 0 {
			ep.Quiet(start.Add(quiet))
		}
		return ep
	}
	for _, tc := range []struct {
		name string
		list []*place.Endpoint
		want time.Duration
		ok   bool
	}{
		{"none", nil, 0, false},
		{"all", []*place.Endpoint{endpoint(3*time.Second, false), endpoint(2*time.Second, false)}, 2 * time.Second, true},
		{"all that do not leave", []*place.Endpoint{endpoint(0, true), endpoint(2*time.Second, false)}, 2 * time.Second, true},
		{"not all", []*place.Endpoint{endpoint(0, false), endpoint(2*time.Second, false)}, 0, false},
		{"all leave", []*place.Endpoint{endpoint(0, true)}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			end, ok := place.UsableAt(tc.list, start)
			if diff := cmp.Diff(tc.ok, ok); diff != "" || ok && end.Sub(start) != tc.want {
				t.Errorf("end after %s, want %s; quiet (-want +got):\n%s", end.Sub(start), tc.want, diff)
			}
		})
	}
}
