package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

// prefill sends a prompt to the endpoint and lets it be prefilled at the rate, in
// tokens per millisecond, after the wait.
func prefill(ep *place.Endpoint, tokens ident.Tokens, rate float64, wait time.Duration, at time.Time) {
	se := ep.Sent(tokens, tokens, at)
	end := at.Add(wait + time.Duration(float64(tokens)/rate*float64(time.Millisecond)))
	se.FirstEvent(end)
	se.Done(end, true)
}

// TestLearnedRate guards against a prefill rate that is right for one kind of
// engine only: it decides between a cached prefix and an idle engine, and whether
// a prompt can be in time. Half of the prompts wait behind those of other routers.
func TestLearnedRate(t *testing.T) {
	for _, rate := range []float64{8, 38, 57, 300} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			pf := place.NewProfile()
			ep := place.NewEndpoint(place.Upstream{ID: "i", Service: "llm"}, pf)
			rng := rand.New(rand.NewPCG(1, 2))
			for no := range 60 {
				wait := 2 * time.Millisecond
				if no%2 == 0 {
					wait = time.Duration(rng.Int64N(int64(400 * time.Millisecond)))
				}
				prefill(ep, ident.Tokens(3000+rng.IntN(20000)), rate, wait, now)
			}
			if got := pf.PrefillRate(); got < 0.75*rate || got > 1.05*rate {
				t.Errorf("the rate is %.1f tokens/ms, want %.1f", got, rate)
			}
		})
	}
}

// TestRateOfCachedPrompts guards against a rate that counts shared parts as
// prefilled although another router had made the engine cache them: with a rate
// that is too high, cached prefixes seem worthless.
func TestRateOfCachedPrompts(t *testing.T) {
	pf := place.NewProfile()
	ep := place.NewEndpoint(place.Upstream{ID: "i", Service: "llm"}, pf)
	for range 60 {
		se := ep.Sent(9000, 2700, now)
		se.FirstEvent(now.Add(70 * time.Millisecond))
		se.Done(now.Add(time.Second), true)
	}
	if got := pf.PrefillRate(); got > 42 {
		t.Errorf("the rate is %.1f tokens/ms, want at most 2700 tokens in 70 ms", got)
	}
}

// TestSlowEngine guards against sending a slow engine of a service as many long
// prompts as the others.
func TestSlowEngine(t *testing.T) {
	mp, en := upstreams(6), place.NewEnginePolicy()
	slow, _ := mp.Endpoint("i-02")
	for range 30 {
		for _, ep := range mp.Service("llm") {
			rate := 40.0
			if ep == slow {
				rate = 10
			}
			prefill(ep, 8000, rate, time.Millisecond, now)
		}
	}
	got := 0
	const prompts = 120
	for no := range prompts {
		ep, uncached := en.Choose(mp.Service("llm"), longPrompt(1000+no), now)
		ep.Sent(uncached, 0, now)
		if ep.ID == slow.ID {
			got++
		}
	}
	if fair := prompts / 6; got > fair/2 {
		t.Errorf("the slow engine got %d of %d prompts, want at most %d", got, prompts, fair/2)
	}
}

// TestWaitingOfOthers guards against sending a prompt behind those of other
// routers, which an engine reports as waiting, and against avoiding it when they
// must have been prefilled in the meantime.
func TestWaitingOfOthers(t *testing.T) {
	mp, en := upstreams(2), place.NewEnginePolicy()
	one, _ := mp.Endpoint("i-00")
	two, _ := mp.Endpoint("i-01")
	for _, ep := range mp.Service("llm") {
		prefill(ep, 8000, 40, 0, now)
	}
	one.Reported(4, 6, 64, now)
	two.Reported(20, 0, 64, now)
	choose := func(at time.Time) ident.Upstream {
		ep, _ := en.Choose(mp.Service("llm"), place.Demand{Prompt: place.Prompt{Input: 800}}, at)
		return ep.ID
	}
	got := []ident.Upstream{choose(now), choose(now.Add(1500 * time.Millisecond))}
	if diff := cmp.Diff([]ident.Upstream{"i-01", "i-00"}, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
}

// TestProfileSurvives guards against forgetting what was learned about a service
// whenever one of its upstreams changes.
func TestProfileSurvives(t *testing.T) {
	mp := upstreams(2)
	for _, ep := range mp.Service("llm") {
		for range 40 {
			prefill(ep, 8000, 100, 0, now)
		}
	}
	ups := append(mp.Upstreams(), place.Upstream{ID: "i-99", Address: "10.0.9.9:1", Service: "llm"})
	ep, _ := mp.WithUpstreams(ups...).Endpoint("i-99")
	if got := ep.Profile().PrefillRate(); got < 90 {
		t.Errorf("a new upstream starts with a rate of %.0f tokens/ms, want the 100 of its service", got)
	}
}
