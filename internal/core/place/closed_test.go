package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

// TestClosedDomain guards against a choice of an upstream in a closed failure domain, by
// load or by the rendezvous order of a prompt, against losing the counters of its
// requests in progress, and against forgetting the closure when an entry changes.
func TestClosedDomain(t *testing.T) {
	now := time.Now()
	ups := []place.Upstream{{ID: "a", Service: "s", Domain: "one"}, {ID: "b", Service: "s", Domain: "one"}, {ID: "c", Service: "s", Domain: "two"}}
	mp := place.EndpointMap{}.WithUpstreams(ups...)
	mp.Service("s")[0].Sent(0, 0, now)
	closed := mp.WithClosed(place.NewDomainSet("one"), now)
	ups[1].Slots = 4
	closed = closed.WithUpstreams(append(ups, place.Upstream{ID: "d", Service: "s", Domain: "one"})...)
	engines, plain := place.NewEnginePolicy(), place.NewPlainPolicy()
	got := map[ident.Upstream]int{}
	for range 50 {
		de := place.Demand{Domain: "one"}
		got[plain.Choose(closed.Service("s"), de, now).ID]++
		de.Prompt = place.Prompt{Input: 100}.WithPart("p", 100)
		ep, _ := engines.Choose(closed.Service("s"), de, now)
		got[ep.ID]++
	}
	if diff := cmp.Diff(map[ident.Upstream]int{"c": 100}, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
	if ep, _ := closed.Endpoint("a"); ep.InFlight() != 1 || ep.Usable(now) {
		t.Errorf("%d requests in progress at a closed upstream, want 1", ep.InFlight())
	}
	if ep := plain.Choose(closed.WithClosed(place.NewDomainSet("one", "two"), now).Service("s"), place.Demand{}, now); ep != nil {
		t.Errorf("%s was chosen although all domains are closed", ep.ID)
	}
	if ep, _ := closed.WithClosed(place.DomainSet{}, now).Endpoint("a"); !ep.Usable(now) {
		t.Error("the upstream stays closed after its domain was opened")
	}
}
