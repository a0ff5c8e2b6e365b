package gate_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/app/gate"
	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// fakeFleet has one upstream. It records the accounts and classes of the requests
// placed, and their expected output.
type fakeFleet struct {
	mu      sync.Mutex
	slots   int
	running int
	refusal refuse.Reason
	placed  []string
	outputs []ident.Tokens
	classes map[ident.Account]config.Class
}

func (fl *fakeFleet) Pick(de gate.Demand, _ time.Time) (front.Target, admit.Decision) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.outputs = append(fl.outputs, de.Output)
	switch {
	case fl.refusal != "":
		return front.Target{}, admit.Decision{Verdict: admit.Refuse, Reason: fl.refusal}
	case fl.running >= fl.slots || de.Queued > 0:
		return front.Target{}, admit.Decision{Verdict: admit.Wait}
	}
	fl.running++
	fl.placed = append(fl.placed, string(de.Account))
	fl.classes[de.Account] = de.Class
	return front.Target{Done: func(front.AttemptResult) {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.running--
	}}, admit.Decision{}
}

func (fl *fakeFleet) Share(gate.Demand) int { return fl.slots }

func (fl *fakeFleet) LatestStart(de gate.Demand) time.Time { return de.Deadline.Add(-time.Second) }

// harness holds a gate in front of a fakeFleet, and the results of its requests.
type harness struct {
	*gate.Gate
	fl      *fakeFleet
	mu      sync.Mutex
	targets []front.Target
	refused map[ident.Account]refuse.Reason
}

func newHarness(slots int, opts ...gate.Option) *harness {
	fl := &fakeFleet{slots: slots, classes: map[ident.Account]config.Class{}}
	return &harness{Gate: gate.New(fl, opts...), fl: fl, refused: map[ident.Account]refuse.Reason{}}
}

func request(ac ident.Account, cl config.Class) front.Request {
	return front.Request{
		Account: config.Account{ID: ac}, Class: cl, Kind: config.Engine, Model: "m1",
		Deadline: time.Now().Add(time.Minute), MaxTokens: 1000,
	}
}

// submit places the request in the background and returns once it is placed,
// refused or queued.
func (ha *harness) submit(rq front.Request, re front.PlacementReason) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), rq.Deadline)
		defer cancel()
		ta, err := ha.Place(ctx, rq, front.Placement{Reason: re})
		ha.mu.Lock()
		defer ha.mu.Unlock()
		if err != nil {
			ha.refused[rq.Account.ID] = refuse.From(err).Reason
			return
		}
		ha.targets = append(ha.targets, ta)
	}()
	synctest.Wait()
}

// endOldest ends the oldest placed request.
func (ha *harness) endOldest() {
	ha.mu.Lock()
	ta := ha.targets[0]
	ha.targets = ha.targets[1:]
	ha.mu.Unlock()
	ta.Done(front.AttemptResult{})
	synctest.Wait()
}

func (ha *harness) wantPlaced(t *testing.T, want ...string) {
	t.Helper()
	ha.fl.mu.Lock()
	defer ha.fl.mu.Unlock()
	if diff := cmp.Diff(want, ha.fl.placed); diff != "" {
		t.Errorf("placed (-want +got):\n%s", diff)
	}
}

// TestQueue guards against queued requests that are lost, placed in the wrong
// order, or kept after their deadline or latest start.
func TestQueue(t *testing.T) {
	short, long := request("short", config.Normal), request("batch", config.Batch)
	cases := []struct {
		name    string
		opts    []gate.Option
		steps   func(ha *harness)
		placed  []string
		refused map[ident.Account]refuse.Reason
	}{
		{"placed when a request ends", nil, func(ha *harness) {
			ha.submit(request("a", config.Normal), front.First)
			ha.submit(request("b", config.Normal), front.First)
			ha.endOldest()
		}, []string{"a", "b"}, nil},
		{"deadline passed", nil, func(ha *harness) {
			ha.submit(request("a", config.Normal), front.First)
			rq := short
			rq.Deadline = time.Now().Add(5 * time.Second)
			ha.submit(rq, front.First)
			time.Sleep(6 * time.Second)
			synctest.Wait()
			ha.endOldest()
		}, []string{"a"}, map[ident.Account]refuse.Reason{"short": refuse.DeadlinePassed}},
		{"latest start passed", nil, func(ha *harness) {
			ha.submit(request("a", config.Normal), front.First)
			rq := short
			rq.Deadline = time.Now().Add(5 * time.Second)
			ha.submit(rq, front.First)
			time.Sleep(4500 * time.Millisecond)
			ha.PlaceQueued()
			synctest.Wait()
		}, []string{"a"}, map[ident.Account]refuse.Reason{"short": refuse.DeadlineUnmeetable}},
		{"displaced", []gate.Option{gate.WithQueueCapacity(1)}, func(ha *harness) {
			ha.submit(request("a", config.Normal), front.First)
			ha.submit(long, front.First)
			ha.submit(request("b", config.Urgent), front.First)
			ha.endOldest()
		}, []string{"a", "b"}, map[ident.Account]refuse.Reason{"batch": refuse.QueueFull}},
		{"full", []gate.Option{gate.WithQueueCapacity(1)}, func(ha *harness) {
			ha.submit(request("a", config.Normal), front.First)
			ha.submit(request("b", config.Normal), front.First)
			ha.submit(long, front.First)
		}, []string{"a"}, map[ident.Account]refuse.Reason{"batch": refuse.QueueFull}},
		{"batch gains rank before its latest start", nil, func(ha *harness) {
			ha.submit(request("a", config.Normal), front.First)
			rq := long
			rq.Deadline = time.Now().Add(30 * time.Second)
			ha.submit(rq, front.First)
			ha.submit(request("b", config.Normal), front.First)
			ha.endOldest()
		}, []string{"a", "batch"}, nil},
		{"batch waits behind normal work", nil, func(ha *harness) {
			ha.submit(request("a", config.Normal), front.First)
			rq := long
			rq.Deadline = time.Now().Add(time.Hour)
			ha.submit(rq, front.First)
			ha.submit(request("b", config.Normal), front.First)
			ha.endOldest()
		}, []string{"a", "b"}, nil},
		{"a request that no upstream accepted waits", nil, func(ha *harness) {
			ha.submit(request("a", config.Normal), front.First)
			ha.submit(request("b", config.Urgent), front.Requeue)
			ha.endOldest()
		}, []string{"a", "b"}, nil},
		{"a hedge does not wait", nil, func(ha *harness) {
			ha.submit(request("a", config.Normal), front.First)
			ha.submit(request("b", config.Normal), front.Hedge)
		}, []string{"a"}, map[ident.Account]refuse.Reason{"b": refuse.Busy}},
		{"refused at once", nil, func(ha *harness) {
			ha.fl.refusal = refuse.DeadlineUnmeetable
			ha.submit(request("a", config.Normal), front.First)
		}, nil, map[ident.Account]refuse.Reason{"a": refuse.DeadlineUnmeetable}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ha := newHarness(1, ca.opts...)
				ca.steps(ha)
				ha.wantPlaced(t, ca.placed...)
				if ca.refused == nil {
					ca.refused = map[ident.Account]refuse.Reason{}
				}
				ha.mu.Lock()
				if diff := cmp.Diff(ca.refused, ha.refused); diff != "" {
					t.Errorf("refused (-want +got):\n%s", diff)
				}
				ha.mu.Unlock()
				time.Sleep(2 * time.Hour) // lets the deadlines of queued requests pass
			})
		})
	}
}

// TestFlood guards against an account that starves another one: three requests of
// one account must be among the first 20 placed, although another account
// submitted 40 requests before them.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHarness(4)
		for range 40 {
			ha.submit(request("flood", config.Normal), front.First)
		}
		for range 3 {
			ha.submit(request("quiet", config.Normal), front.First)
		}
		for range 16 {
			ha.endOldest()
		}
		quiet := 0
		for _, ac := range ha.fl.placed {
			if ac == "quiet" {
				quiet++
			}
		}
		if quiet != 3 {
			t.Errorf("%d of 3 requests of the quiet account were among the first 20 placed", quiet)
		}
		time.Sleep(time.Hour)
	})
}

// TestShare guards against urgent requests of one account that displace those of
// others: above the share of its account and class an urgent request is served as
// normal. Only dispatched requests count towards the share, and another class of
// the account has a share of its own.
func TestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHarness(4)
		for range 3 {
			ha.submit(request("big", config.Urgent), front.First)
		}
		ha.submit(request("other", config.Normal), front.First)
		if got := ha.fl.classes["big"]; got != config.Urgent {
			t.Errorf("served as %s before the slots are exhausted, want urgent", got)
		}
		ha.submit(request("big", config.Urgent), front.First)
		ha.endOldest()
		if got := ha.fl.classes["big"]; got != config.Normal {
			t.Errorf("served as %s above its share, want normal", got)
		}
		time.Sleep(time.Hour)
	})
}

// TestExpectedOutput guards against false refusals caused by a max_tokens far
// above the usual length of a response, and against a mean that mixes accounts
// or classes.
func TestExpectedOutput(t *testing.T) {
	ha := newHarness(1, gate.WithExpectedOutput(300))
	place := func(ac ident.Account, cl config.Class, maxTokens, output ident.Tokens) ident.Tokens {
		rq := request(ac, cl)
		rq.MaxTokens = maxTokens
		ta, err := ha.Place(t.Context(), rq, front.Placement{})
		if err != nil {
			t.Fatal(err)
		}
		ta.Done(front.AttemptResult{Output: output})
		return ha.fl.outputs[len(ha.fl.outputs)-1]
	}
	for range 200 {
		place("a", config.Normal, 100_000, 40)
	}
	got := []ident.Tokens{
		place("a", config.Normal, 100_000, 0), place("a", config.Normal, 10, 0),
		place("a", config.Batch, 100_000, 0), place("b", config.Normal, 100_000, 0),
	}
	if diff := cmp.Diff([]ident.Tokens{40, 10, 300, 300}, got); diff != "" {
		t.Errorf("expected output (-want +got):\n%s", diff)
	}
}

// TestRates guards against requests in flight that still count after their end,
// and against a limit that is not applied.
func TestRates(t *testing.T) {
	ha := newHarness(1)
	ha.Configure(config.Snapshot{}.WithAccount(config.Account{ID: "a", MaxRunning: 1}))
	for range 3 {
		leave, err := ha.Admit(request("a", config.Normal), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ha.Admit(request("a", config.Normal), time.Now()); err == nil {
			t.Error("a second request runs beside the first")
		}
		leave()
	}
}

// TestConcurrent guards against slots that are lost or assigned twice when
// requests end, wait and are cancelled at the same time.
func TestConcurrent(t *testing.T) {
	ha := newHarness(4)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wg, ru sync.WaitGroup
	ru.Go(func() { ha.Run(ctx) })
	for no := range 8 {
		wg.Go(func() {
			for at := range 200 {
				own, stop := context.WithCancel(ctx)
				if at%3 == 0 {
					stop()
				}
				ta, err := ha.Place(own, request(ident.Account(fmt.Sprint(no%3)), config.Normal), front.Placement{})
				if err == nil {
					ta.Done(front.AttemptResult{Output: 5})
				}
				stop()
			}
		})
	}
	wg.Wait()
	cancel()
	ru.Wait()
	if ha.fl.running != 0 {
		t.Errorf("%d slots are still occupied", ha.fl.running)
	}
}
