package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/place"
)

// TestPace guards against a single false pace that decides, against missing a change for
// longer than a second, and against avoiding an upstream for ever because of its last one.
func TestPace(t *testing.T) {
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	ep := place.NewEndpoint(place.Upstream{ID: "i"}, place.NewProfile())
	check := func(ms int, low, high float64) {
		t.Helper()
		if got := ep.Pace(at(ms)); got < low || got > high {
			t.Errorf("pace %.2f after %d ms, want %.2f to %.2f", got, ms, low, high)
		}
	}
	for ms := 0; ms < 1000; ms += 50 {
		ep.ReportedPace(1, at(ms))
	}
	ep.ReportedPace(1e6, at(1000))
	check(1000, 1, 3)
	ep.ReportedPace(1, at(1050))
	ep.ReportedPace(1e-6, at(1100))
	check(1100, 0.9, 2.5)
	for ms := 1100; ms <= 2000; ms += 50 {
		ep.ReportedPace(4, at(ms))
	}
	check(2000, 3.5, 4.1)
	check(8000, 1, 1.3)
}

// TestLimit guards against a limit that a single late response decides, that falls below
// one request, that does not grow again, or that lasts without news. Each step sends
// requests side by side, whose second event takes so long after a first one in time.
func TestLimit(t *testing.T) {
	ep := place.NewEndpoint(place.Upstream{ID: "i", Slots: 64}, place.NewProfile())
	at := now
	step := func(count int, gap time.Duration) {
		var sent []*place.Sent
		for range count {
			sent = append(sent, ep.Sent(100, 0, at))
		}
		for _, se := range sent {
			se.Expect(at.Add(time.Second))
			se.Event(at, at.Add(time.Millisecond))
			se.Expect(at.Add(400 * time.Millisecond))
			se.Event(at.Add(time.Millisecond), at.Add(gap))
			se.Done(at.Add(gap), true)
		}
		at = at.Add(gap)
	}
	check := func(what string, low, high float64) {
		t.Helper()
		if got := ep.Limit(at); got < low || got > high {
			t.Errorf("limit %.1f %s, want %.0f to %.0f", got, what, low, high)
		}
	}
	step(40, 100*time.Millisecond)
	check("after responses in time", 64, 64)
	step(1, 500*time.Millisecond)
	check("after one late response", 25, 64)
	for range 20 {
		step(24, 500*time.Millisecond)
	}
	check("while 24 at once are late", 1, 22)
	for range 20 {
		step(1, 500*time.Millisecond)
	}
	check("while each one is late", 1, 3)
	for range 20 {
		step(16, 50*time.Millisecond)
	}
	check("after 16 at once in time", 14, 64)
	at = at.Add(time.Minute)
	check("after a minute without requests", 60, 64)
}

// TestNearEqual guards against routers that have read the same reports and all choose the
// upstream that is the cheapest by one request.
func TestNearEqual(t *testing.T) {
	const routers = 40
	chosen := 0
	for no := range routers {
		mp, en := upstreams(12), place.NewEnginePolicy(place.WithRandom(rand.New(rand.NewPCG(1, uint64(no)))))
		for ix, ep := range mp.Service("llm") {
			ep.Reported(40+min(ix, 1), 0, 64, now)
		}
		if ep, _ := en.Choose(mp.Service("llm"), place.Demand{Prompt: place.Prompt{Input: 800}}, now); ep.ID == "i-00" {
			chosen++
		}
	}
	if chosen > routers/2 {
		t.Errorf("%d of %d routers chose the same upstream", chosen, routers)
	}
}
