package place_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

const engineCount = 18

var now = time.Unix(1_700_000_000, 0)

func upstreams(count int) place.EndpointMap {
	var ups []place.Upstream
	for no := range count {
		ups = append(ups, place.Upstream{
			ID: ident.Upstream(fmt.Sprintf("i-%02d", no)), Address: fmt.Sprintf("10.0.0.%d:1", no), Service: "llm", Slots: 64,
		})
	}
	return place.EndpointMap{}.WithUpstreams(ups...)
}

func longPrompt(no int) place.Demand {
	pr := place.Prompt{Input: 9000}.WithPart(fmt.Sprint("head", no%4), 2520).WithPart(fmt.Sprint("thing", no), 3780)
	return place.Demand{Prompt: pr}
}

// TestAgreement guards against routers that send prompts with the same parts to
// different engines. All routers must choose the same idle engine without
// exchanging messages.
func TestAgreement(t *testing.T) {
	const prompts, routers = 120, 12
	same := 0
	mp := upstreams(engineCount)
	for no := range prompts {
		seen := map[ident.Upstream]int{}
		for range routers {
			ep, _ := place.NewEnginePolicy().Choose(mp.Service("llm"), longPrompt(no), now)
			seen[ep.ID]++
		}
		for _, times := range seen {
			if times == routers {
				same++
			}
		}
	}
	if same != prompts {
		t.Errorf("%d of %d prompts had all routers agree on idle engines", same, prompts)
	}
}

// TestSpread guards against engines that receive many times the prompts of others.
func TestSpread(t *testing.T) {
	mp, en := upstreams(engineCount), place.NewEnginePolicy()
	got := map[ident.Upstream]int{}
	const prompts = 1800
	for no := range prompts {
		ep, uncached := en.Choose(mp.Service("llm"), longPrompt(no), now)
		got[ep.ID]++
		ep.Sent(uncached, 0, now)
	}
	most := 0
	for _, times := range got {
		most = max(most, times)
	}
	if mean := float64(prompts) / engineCount; float64(most) > 1.3*mean {
		t.Errorf("the busiest engine got %d prompts, the mean is %.0f", most, mean)
	}
}

// TestLoadBeatsAffinity guards against a queue at the preferred engine while
// others are idle.
func TestLoadBeatsAffinity(t *testing.T) {
	mp, en := upstreams(engineCount), place.NewEnginePolicy()
	first, _ := en.Choose(mp.Service("llm"), longPrompt(1), now)
	en.RecordPrompt(first, longPrompt(1).Prompt, now)
	for range 40 {
		first.Sent(9000, 0, now)
	}
	if ep, _ := en.Choose(mp.Service("llm"), longPrompt(1), now); ep.ID == first.ID {
		t.Errorf("a queue of 40 prompts did not move the choice from %s", ep.ID)
	}
}

// TestKnownPrefix guards against a repeated prefill of a prefix that an engine
// caches, and against prefixes that are assumed to be cached for ever.
func TestKnownPrefix(t *testing.T) {
	mp, en := upstreams(engineCount), place.NewEnginePolicy()
	ep, uncached := en.Choose(mp.Service("llm"), longPrompt(5), now)
	if uncached != 9000 {
		t.Errorf("%d tokens to prefill on an engine with an empty cache, want 9000", uncached)
	}
	en.RecordPrompt(ep, longPrompt(5).Prompt, now)
	again, uncached := en.Choose(mp.Service("llm"), longPrompt(5), now.Add(time.Second))
	if again.ID != ep.ID || uncached != 2700 {
		t.Errorf("second choice %s with %d tokens to prefill, want %s with 2700", again.ID, uncached, ep.ID)
	}
	if _, uncached := en.Choose(mp.Service("llm"), longPrompt(5), now.Add(time.Hour)); uncached != 9000 {
		t.Errorf("%d tokens to prefill an hour later, want 9000", uncached)
	}
}

// TestExcluded guards against new requests at leaving, tried and suspect
// upstreams, and against choosing none while a suspect one is left.
func TestExcluded(t *testing.T) {
	mp := upstreams(3)
	ups := mp.Upstreams()
	ups[0] = ups[0].WithLeaving(true)
	mp = mp.WithUpstreams(ups...)
	suspect, _ := mp.Endpoint("i-01")
	suspect.Failed(now)
	pl := place.NewPlainPolicy()
	var got []string
	for _, tried := range [][]ident.Upstream{nil, {"i-02"}, {"i-01", "i-02"}} {
		id := "none"
		if ep := pl.Choose(mp.Service("llm"), place.Demand{Tried: tried}, now); ep != nil {
			id = string(ep.ID)
		}
		got = append(got, id)
	}
	if diff := cmp.Diff([]string{"i-02", "i-01", "none"}, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
	if suspect.Suspect(now.Add(time.Minute)) {
		t.Error("the upstream is still suspect after a minute")
	}
}

// TestLeastLoaded guards against requests at a loaded upstream while another one
// has free slots.
func TestLeastLoaded(t *testing.T) {
	mp := upstreams(3)
	for no, running := range []int{6, 2, 6} {
		ep, _ := mp.Endpoint(ident.Upstream(fmt.Sprintf("i-%02d", no)))
		ep.Reported(running, 0, 6, now)
	}
	if ep := place.NewPlainPolicy().Choose(mp.Service("llm"), place.Demand{}, now); ep.ID != "i-01" {
		t.Errorf("%s was chosen", ep.ID)
	}
	full, _ := mp.Endpoint("i-01")
	full.RefusedFull(now)
	if ep := place.NewPlainPolicy().Choose(mp.Service("llm"), place.Demand{}, now); ep.ID == "i-01" {
		t.Error("an upstream that refused a request because it was full was chosen")
	}
}

// TestCountersSurvive guards against losing the count of requests in flight when
// the description of an upstream changes, and against keeping it when a new
// address means another instance.
func TestCountersSurvive(t *testing.T) {
	mp := upstreams(2)
	ep, _ := mp.Endpoint("i-00")
	ep.Sent(100, 0, now)
	ups := mp.Upstreams()
	ups[0] = ups[0].WithLeaving(true)
	same, _ := mp.WithUpstreams(ups...).Endpoint("i-00")
	ups[0].Address = "10.9.9.9:1"
	moved, _ := mp.WithUpstreams(ups...).Endpoint("i-00")
	if diff := cmp.Diff([]int{1, 0}, []int{same.InFlight(), moved.InFlight()}); diff != "" {
		t.Errorf("requests in flight (-want +got):\n%s", diff)
	}
}

// TestSilentFor guards against an upstream that is considered silent although it
// just sent bytes for another request.
func TestSilentFor(t *testing.T) {
	ep := place.NewEndpoint(place.Upstream{ID: "i"}, place.NewProfile())
	ep.Received(now)
	if got := ep.SilentFor(now.Add(-time.Minute), now.Add(time.Second)); math.Abs(got.Seconds()-1) > 0.01 {
		t.Errorf("silent for %s, want 1s", got)
	}
}
