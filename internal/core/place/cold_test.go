package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

// coldView is the view of one router.
type coldView struct {
	limit   place.ColdLimit
	routers place.Routers
}

// ColdLimit returns the limit.
func (cv *coldView) ColdLimit(ident.Service) place.ColdLimit { return cv.limit }

// Routers returns the known routers.
func (cv *coldView) Routers() place.Routers { return cv.routers }

const (
	// coldRouters is the number of routers that all see the same cold upstream, and
	// coldRun the time for which each of them has a request for it in every step.
	coldRouters = 100
	coldRun     = 8 * time.Second
	coldStep    = 10 * time.Millisecond
	// downTime is how long a router that is started again sends nothing, and listTime how
	// long it then does not know the others.
	downTime = time.Second
	listTime = 700 * time.Millisecond
)

// sendToCold returns when requests are sent to a cold upstream by routers that choose it
// whenever take allows it. Each router misses up to so many of the others. Every so many
// seconds, a tenth of the routers start again.
func sendToCold(rate float64, missing int, restarts time.Duration, take func(ep *place.Endpoint, now time.Time) bool) []time.Duration {
	rng, start := rand.New(rand.NewPCG(1, uint64(missing))), time.Now()
	var vms []ident.VM
	for no := range coldRouters {
		vms = append(vms, ident.VM(fmt.Sprint("edge-", no)))
	}
	endpoints, downUntil := make([]*place.Endpoint, coldRouters), make([]time.Duration, coldRouters)
	begin := func(no int, from, at time.Duration) {
		known := slices.Clone(vms)
		for range rng.IntN(missing + 1) {
			known = slices.DeleteFunc(known, func(vm ident.VM) bool { return vm == vms[rng.IntN(coldRouters)] })
		}
		cv := &coldView{place.ColdLimit{Time: time.Hour, Rate: rate}, place.NewRouters(vms[no], start.Add(from), known...)}
		mp := place.EndpointMap{}.WithColdView(cv).WithUpstreams(place.Upstream{ID: "u", Service: "s", Slots: 8})
		endpoints[no], downUntil[no] = mp.Service("s")[0], at
		endpoints[no].SetCold(start.Add(time.Hour), start.Add(at))
	}
	for no := range vms {
		begin(no, 0, 0)
	}
	var sends []time.Duration
	for at := time.Duration(0); at < coldRun; at += coldStep {
		if restarts > 0 && at > 0 && at%restarts == 0 {
			for range coldRouters / 10 {
				begin(rng.IntN(coldRouters), at+downTime+listTime, at+downTime)
			}
		}
		for _, no := range rng.Perm(coldRouters) {
			if at >= downUntil[no] && take(endpoints[no], start.Add(at)) {
				sends = append(sends, at)
			}
		}
	}
	return sends
}

// mostPerSecond returns the highest number of sends in a second.
func mostPerSecond(sends []time.Duration) int {
	most, first := 0, 0
	for last, at := range sends {
		for at-sends[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestColdRate guards against routers that together send an idle cold upstream more
// requests than it tolerates, 1.5 times its rate plus 5 in a second, and against capacity
// that is not used. Each router has a request for it at any time.
func TestColdRate(t *testing.T) {
	take := func(ep *place.Endpoint, now time.Time) bool {
		if !ep.Usable(now) {
			return false
		}
		_, ok := ep.Take(now)
		return ok
	}
	for _, rate := range []float64{0.25, 1, 8, 40, 99.5, 300} {
		for _, missing := range []int{0, 5} {
			for _, restarts := range []time.Duration{0, 2 * time.Second} {
				t.Run(fmt.Sprintf("rate %g, %d missing, restarts %v", rate, missing, restarts), func(t *testing.T) {
					sends := sendToCold(rate, missing, restarts, take)
					if most, limit := mostPerSecond(sends), int(rate*1.5+5); most > limit {
						t.Errorf("%d requests in one second, want at most %d", most, limit)
					}
					if least := int(min(rate, 0.75*rate+2.5) / 2 * coldRun.Seconds()); restarts == 0 && len(sends) < least {
						t.Errorf("%d requests in %v, want at least %d", len(sends), coldRun, least)
					}
				})
			}
		}
	}
	t.Run("each router by itself", func(t *testing.T) {
		// The naive rule: each router keeps to the rate.
		last := map[*place.Endpoint]time.Time{}
		sends := sendToCold(8, 0, 0, func(ep *place.Endpoint, now time.Time) bool {
			if !last[ep].IsZero() && now.Sub(last[ep]) < time.Second/8 {
				return false
			}
			last[ep] = now
			return true
		})
		if most := mostPerSecond(sends); most <= 17 {
			t.Errorf("the naive rule sent %d requests in one second, want more than 17", most)
		}
	})
}

// TestColdTake guards against two requests that take the same capacity, and against a
// router that sends to a cold upstream without knowing the others.
func TestColdTake(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name    string
		limit   place.ColdLimit
		routers place.Routers
		want    int64
	}{
		{"alone", place.ColdLimit{Time: time.Minute, Rate: 5}, place.NewRouters("edge", now, "edge"), 1},
		{"others unknown", place.ColdLimit{Time: time.Minute, Rate: 5}, place.Routers{}, 0},
		{"just started", place.ColdLimit{Time: time.Minute, Rate: 5}, place.NewRouters("edge", now.Add(time.Hour), "edge"), 0},
		{"never cold", place.ColdLimit{Time: time.Minute}, place.Routers{}, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mp := place.EndpointMap{}.WithColdView(&coldView{tc.limit, tc.routers}).WithUpstreams(place.Upstream{ID: "u", Service: "s"})
			ep := mp.Service("s")[0]
			ep.SetCold(now.Add(time.Minute), now)
			taken := make(chan bool)
			for range 8 {
				go func() {
					_, ok := ep.Take(now.Add(time.Second))
					taken <- ok
				}()
			}
			got := int64(0)
			for range 8 {
				if <-taken {
					got++
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("requests that may be sent (-want +got):\n%s", diff)
			}
		})
	}
}

// TestColdUntil guards against an upstream that counts as warm because an older entry
// says so, or as cold after it has reported that it is warm, and against a refusal with
// a wrong time while all upstreams are cold.
func TestColdUntil(t *testing.T) {
	start := time.Now()
	at := func(sec float64) time.Time { return start.Add(time.Duration(sec * float64(time.Second))) }
	view := &coldView{place.ColdLimit{Time: 10 * time.Second, Rate: 1}, place.NewRouters("edge", start, "edge")}
	for _, tc := range []struct {
		name   string
		change func(ep *place.Endpoint)
		// want is the last second, before 20 s, in which the upstream is cold.
		want int
	}{
		{"nothing known", func(*place.Endpoint) {}, -1},
		{"entry", func(ep *place.Endpoint) { ep.SetCold(at(5.5), at(0)) }, 5},
		{"later entry", func(ep *place.Endpoint) { ep.SetCold(at(5.5), at(0)); ep.SetCold(at(3.5), at(1)) }, 3},
		{"response", func(ep *place.Endpoint) { ep.SetCold(at(5.5), at(0)); ep.ReportedCold(at(2.5), at(1)) }, 2},
		{"response and older entry", func(ep *place.Endpoint) { ep.ReportedCold(at(6.5), at(1)); ep.SetCold(at(1), at(1)) }, 6},
		{"response and longer entry", func(ep *place.Endpoint) { ep.ReportedCold(at(1), at(1)); ep.SetCold(at(9.5), at(2)) }, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ep := place.EndpointMap{}.WithColdView(view).WithUpstreams(place.Upstream{ID: "u", Service: "s"}).Service("s")[0]
			tc.change(ep)
			got := -1
			for sec := range 20 {
				if ep.IsCold(at(float64(sec))) {
					got = sec
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("last second in which the upstream is cold (-want +got):\n%s", diff)
			}
		})
	}
	ups := []place.Upstream{{ID: "u", Service: "s", Domain: "a"}, {ID: "v", Service: "s", Domain: "a"}}
	mp := place.EndpointMap{}.WithColdView(view).WithUpstreams(ups...).WithClosed(place.NewDomainSet("a"), start)
	mp = mp.WithClosed(place.DomainSet{}, start)
	for _, ep := range mp.Service("s") {
		if !ep.IsCold(at(9.9)) || ep.IsCold(at(10.1)) {
			t.Errorf("%s is not cold for 10 s after its domain was opened", ep.ID)
		}
		ep.Take(at(2))
	}
	if next, blocked := place.UsableAt(mp.Service("s"), at(2.1)); !blocked || next.Sub(start) != 3*time.Second {
		t.Errorf("blocked %v until %v, want 3 s", blocked, next.Sub(start))
	}
}
