package place_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

// server is an upstream on virtual time. It serves at most slots requests at once and
// refuses one if as many as queue are waiting.
type server struct {
	slots, queue int
	// slowdown gives the duration of work relative to the usual one, and pace the one
	// that the server reports.
	slowdown, pace func(running int, at time.Time) float64

	running, waiting atomic.Int64
	free, prefill    chan struct{}
}

// call serves a request whose prompt and output take so long at the usual speed, one
// prompt after the other. It calls first when the response begins.
func (sv *server) call(prompt, output time.Duration, first func()) (served bool) {
	if sv.waiting.Add(1) > int64(sv.queue) && sv.running.Load() >= int64(sv.slots) {
		sv.waiting.Add(-1)
		return false
	}
	sv.free <- struct{}{}
	if prompt > 0 {
		sv.prefill <- struct{}{}
	}
	sv.waiting.Add(-1)
	running := int(sv.running.Add(1))
	slow := func(work time.Duration) time.Duration {
		return time.Duration(float64(work) * sv.slowdown(running, time.Now()))
	}
	if prompt > 0 {
		time.Sleep(slow(prompt))
		<-sv.prefill
		first()
	}
	time.Sleep(slow(output))
	if prompt == 0 {
		first()
	}
	sv.running.Add(-1)
	<-sv.free
	return true
}

// arm chooses the upstream of a request.
type arm func(list []*place.Endpoint, de place.Demand, now time.Time) *place.Endpoint

// cheapest returns an arm that chooses by a cost.
func cheapest(cost place.Cost[place.Demand], ro *router) arm {
	ch := place.Cheapest[place.Demand]{Cost: cost, StartIndex: ro.rng.IntN, Skip: func(ep *place.Endpoint, de place.Demand) bool {
		return len(de.Tried) > 0 && de.Tried[0] == ep.ID
	}}
	return ch.Choose
}

// router is a router with its arm.
type router struct {
	engine    bool
	rng       *rand.Rand
	endpoints place.EndpointMap
	choose    arm
	mu        sync.Mutex
	// waiting has what each upstream has last reported as waiting, for the former costs.
	waiting sync.Map
}

type waitingReport struct {
	requests float64
	at       time.Time
}

// formerCost has the fixed weights that were used before the speeds were learned.
func (ro *router) formerCost(ep *place.Endpoint, de place.Demand, now time.Time) float64 {
	requests, slots, pf := float64(ep.EstimatedRequests(now)), float64(ep.Slots), ep.Profile()
	if !ro.engine {
		return pf.ServiceTime(30) * (requests/slots + 4*max(0, requests/slots-1))
	}
	ownMs, meanMs := float64(ep.PrefillTime(0))/1e6, pf.MeanUncached()/pf.PrefillRate()
	cost := ownMs + 1.5*float64(de.Prompt.Input)/pf.PrefillRate()
	if val, ok := ro.waiting.Load(ep.ID); ok && meanMs > 0 {
		re := val.(waitingReport)
		cost += max(0, max(0, re.requests-ownMs/meanMs)*meanMs-float64(now.Sub(re.at))/1e6)
	}
	return cost + 1.2*requests + pf.ServiceTime(3000)/slots*max(0, requests-slots+1)
}

// arms construct the choice of a router.
var arms = map[string]func(ro *router) arm{
	"round robin": func(ro *router) arm {
		next := ro.rng.IntN(100)
		return func(list []*place.Endpoint, _ place.Demand, _ time.Time) *place.Endpoint {
			next++
			return list[next%len(list)]
		}
	},
	"least loaded": func(ro *router) arm {
		return cheapest(func(ep *place.Endpoint, _ place.Demand, now time.Time) float64 {
			return float64(ep.EstimatedRequests(now)) / float64(ep.Slots)
		}, ro)
	},
	"former": func(ro *router) arm { return cheapest(ro.formerCost, ro) },
	"learned": func(ro *router) arm {
		if !ro.engine {
			return place.NewPlainPolicy(place.WithRandom(ro.rng)).Choose
		}
		en := place.NewEnginePolicy(place.WithRandom(ro.rng))
		return func(list []*place.Endpoint, de place.Demand, now time.Time) *place.Endpoint {
			ep, _ := en.Choose(list, de, now)
			return ep
		}
	},
}

// scenario is a service and its load.
type scenario struct {
	name    string
	engine  bool
	routers int
	// utilization is the load relative to the capacity at the usual speed.
	utilization float64
	goal        time.Duration
	slowdown    func(no, running int, at time.Time) float64
	pace        func(no, running int, at time.Time) float64
	// gain is how much the learned costs must be better than any other, as a share of
	// the requests.
	gain float64
}

const (
	serverCount = 12
	plainSlots  = 6
	engineSlots = 64
	// tolerance is twice the standard error of a share of 0.9 of the 2,200 requests to
	// engines.
	tolerance = 0.013
)

// play returns the share of requests that were served within the goal.
func (sc scenario) play(t *testing.T, newArm func(ro *router) arm) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	slots, work, playTime := plainSlots, 37500*time.Microsecond, 4*time.Second
	if sc.engine {
		slots, work, playTime = engineSlots, 115*time.Millisecond, 30*time.Second
	}
	var ups []place.Upstream
	var servers []*server
	for no := range serverCount {
		ups = append(ups, place.Upstream{ID: ident.Upstream(fmt.Sprintf("i-%02d", no)), Address: fmt.Sprint(no), Service: "s", Slots: slots})
		sv := &server{slots: slots, queue: plainSlots / 2}
		sv.slowdown = func(running int, at time.Time) float64 { return sc.slowdown(no, running, at) }
		sv.pace = func(running int, at time.Time) float64 { return sc.pace(no, running, at) }
		servers = append(servers, sv)
	}
	var routers []*router
	for range sc.routers {
		ro := &router{engine: sc.engine, rng: rand.New(rand.NewPCG(rng.Uint64(), 1)), endpoints: place.EndpointMap{}.WithUpstreams(ups...)}
		ro.choose = newArm(ro)
		routers = append(routers, ro)
	}
	var served, total atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		start, requests := time.Now(), sync.WaitGroup{}
		for _, sv := range servers {
			sv.free, sv.prefill = make(chan struct{}, slots), make(chan struct{}, 1)
		}
		capacity := float64(serverCount*slots) / work.Seconds()
		if sc.engine {
			capacity = serverCount / work.Seconds()
		}
		for time.Since(start) < playTime {
			time.Sleep(time.Duration(rng.ExpFloat64() / capacity / sc.utilization * float64(time.Second)))
			ro := routers[rng.IntN(len(routers))]
			de, prompt, output := place.Demand{}, time.Duration(0), time.Duration(15+rng.IntN(45))*time.Millisecond
			if sc.engine {
				de.Prompt.Input = ident.Tokens(200 + rng.IntN(9000))
				prompt, output = time.Duration(de.Prompt.Input)*time.Millisecond/40, 240*time.Millisecond
			}
			total.Add(1)
			requests.Go(func() {
				arrived := time.Now()
				for len(de.Tried) < 2 {
					ro.mu.Lock()
					ep := ro.choose(ro.endpoints.Service("s"), de, time.Now())
					ro.mu.Unlock()
					var no int
					fmt.Sscan(ep.Address, &no)
					sv, sent, firstAt := servers[no], ep.Sent(de.Prompt.Input, de.Prompt.Input, time.Now()), time.Time{}
					sent.Expect(time.Now().Add(sc.goal))
					ok := sv.call(prompt, output, func() {
						now := time.Now()
						firstAt = now
						ro.waiting.Store(ep.ID, waitingReport{float64(sv.waiting.Load()), now})
						ep.Reported(int(sv.running.Load()), int(sv.waiting.Load()), slots, now)
						if pace := sv.pace(int(sv.running.Load()), now); pace > 0 {
							ep.ReportedPace(pace, now)
						}
						if sc.engine {
							sent.Event(now, now)
						} else {
							sent.Responded(now, true)
						}
					})
					if sc.engine && ok {
						gap := time.Since(firstAt) / 60
						for no := 1; no <= 60; no++ {
							sent.Event(firstAt.Add(time.Duration(no-1)*gap), firstAt.Add(time.Duration(no)*gap))
						}
					}
					sent.Done(time.Now(), ok)
					if ok {
						if firstAt.Sub(arrived) <= sc.goal {
							served.Add(1)
						}
						return
					}
					ep.RefusedFull(time.Now())
					de.Tried = append(de.Tried, ep.ID)
				}
			})
		}
		requests.Wait()
	})
	return float64(served.Load()) / float64(total.Load())
}

func usual(int, int, time.Time) float64      { return 1 }
func unreported(int, int, time.Time) float64 { return 0 }

// unequal gives a third of the upstreams each the usual duration of work, twice and four
// times as much.
func unequal(no, _ int, _ time.Time) float64 { return float64(int(1) << (no % 3)) }

// fromHalf slows down a third of the upstreams beyond half of their slots.
func fromHalf(slots int) func(no, running int, at time.Time) float64 {
	return func(no, running int, _ time.Time) float64 {
		if no%3 > 0 {
			return 1
		}
		return 1 + 6*max(0, float64(running)/float64(slots)-0.5)
	}
}

// changing makes a third of the upstreams four times slower in every other second.
func changing(no, _ int, at time.Time) float64 {
	if no%3 == 0 && at.Unix()%2 == 0 {
		return 4
	}
	return 1
}

// TestLearnedSpeed guards against costs that serve fewer requests in time than round
// robin, least loaded or the former costs with fixed weights, on the same arrivals.
func TestLearnedSpeed(t *testing.T) {
	for _, engine := range []bool{false, true} {
		slots, goal, kind := plainSlots, 150*time.Millisecond, "plain"
		if engine {
			slots, goal, kind = engineSlots, 500*time.Millisecond, "engine"
		}
		falsePace := func(pace float64) func(int, int, time.Time) float64 {
			return func(no, _ int, _ time.Time) float64 {
				if no%3 == 0 {
					return pace
				}
				return 1
			}
		}
		for _, sc := range []scenario{
			{name: "equal", slowdown: usual, pace: unreported, utilization: 0.7},
			{name: "unequal", slowdown: unequal, pace: unreported, utilization: 0.4, gain: 0.04},
			{name: "unequal with pace", slowdown: unequal, pace: unequal, utilization: 0.4, gain: 0.04},
			{name: "slow from half", slowdown: fromHalf(slots), pace: unreported, utilization: 0.6},
			{name: "pace 30", slowdown: usual, pace: falsePace(0.3), utilization: 0.7},
			{name: "pace 1000", slowdown: usual, pace: falsePace(10), utilization: 0.7},
			{name: "pace 1000 of slow", slowdown: unequal, pace: falsePace(10), utilization: 0.4, gain: 0.04},
			{name: "changing", slowdown: changing, pace: changing, utilization: 0.5, gain: 0.02},
			{name: "changing without pace", slowdown: changing, pace: unreported, utilization: 0.5, gain: 0.02},
		} {
			sc.engine, sc.goal = engine, goal
			for _, sc.routers = range []int{4, 40} {
				t.Run(fmt.Sprintf("%s/%s/%d", kind, sc.name, sc.routers), func(t *testing.T) {
					got := map[string]float64{}
					for name, newArm := range arms {
						got[name] = sc.play(t, newArm)
					}
					t.Logf("rr %.4f ll %.4f former %.4f learned %.4f", got["round robin"], got["least loaded"], got["former"], got["learned"])
					for name, share := range got {
						if name != "learned" && got["learned"] < share+sc.gain-tolerance {
							t.Errorf("%.4f served in time with learned costs, %.4f with %s", got["learned"], share, name)
						}
					}
				})
			}
		}
	}
}
