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

// fleet has one upstream. It records who was placed in which class.
type fleet struct {
	mu      sync.Mutex
	slots   int
	running int
	refusal refuse.Reason
	placed  []string
	outputs []ident.Tokens
	classes map[ident.Account]config.Class
}

func (fl *fleet) Pick(de gate.Demand, _ time.Time) (front.Target, admit.Decision) {
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
	return front.Target{Done: func(front.Verdict) {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.running--
	}}, admit.Decision{}
}

func (fl *fleet) Share(gate.Demand) int { return fl.slots }

func (fl *fleet) LatestStart(de gate.Demand) time.Time { return de.Deadline.Add(-time.Second) }

// hall is a gate before a fleet, and the results of its requests.
type hall struct {
	*gate.Gate
	fl      *fleet
	mu      sync.Mutex
	targets []front.Target
	refused map[ident.Account]refuse.Reason
}

func newHall(slots int, opts ...gate.Option) *hall {
	fl := &fleet{slots: slots, classes: map[ident.Account]config.Class{}}
	return &hall{Gate: gate.New(fl, opts...), fl: fl, refused: map[ident.Account]refuse.Reason{}}
}

func request(ac ident.Account, cl config.Class) front.Request {
	return front.Request{
		Account: config.Account{ID: ac}, Class: cl, Kind: config.Engine, Model: "m1",
		Deadline: time.Now().Add(time.Minute), MaxTokens: 1000,
	}
}

// ask places the request in the background and returns when it is placed,
// refused or queued.
func (ha *hall) ask(rq front.Request, tu front.Turn) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), rq.Deadline)
		defer cancel()
		ta, err := ha.Place(ctx, rq, front.Placing{Turn: tu})
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

// done ends the oldest placed request.
func (ha *hall) done() {
	ha.mu.Lock()
	ta := ha.targets[0]
	ha.targets = ha.targets[1:]
	ha.mu.Unlock()
	ta.Done(front.Verdict{})
	synctest.Wait()
}

func (ha *hall) wantPlaced(t *testing.T, want ...string) {
	t.Helper()
	ha.fl.mu.Lock()
	defer ha.fl.mu.Unlock()
	if diff := cmp.Diff(want, ha.fl.placed); diff != "" {
		t.Errorf("placed (-want +got):\n%s", diff)
	}
}

// TestQueue guards against queued work that is lost, placed in the wrong order,
// or kept beyond its time. Each step is one request or one end.
func TestQueue(t *testing.T) {
	short, long := request("short", config.Normal), request("batch", config.Batch)
	cases := []struct {
		name    string
		opts    []gate.Option
		steps   func(ha *hall)
		placed  []string
		refused map[ident.Account]refuse.Reason
	}{
		{"placed when a request ends", nil, func(ha *hall) {
			ha.ask(request("a", config.Normal), front.First)
			ha.ask(request("b", config.Normal), front.First)
			ha.done()
		}, []string{"a", "b"}, nil},
		{"deadline passed", nil, func(ha *hall) {
			ha.ask(request("a", config.Normal), front.First)
			rq := short
			rq.Deadline = time.Now().Add(5 * time.Second)
			ha.ask(rq, front.First)
			time.Sleep(6 * time.Second)
			synctest.Wait()
			ha.done()
		}, []string{"a"}, map[ident.Account]refuse.Reason{"short": refuse.DeadlinePassed}},
		{"latest start passed", nil, func(ha *hall) {
			ha.ask(request("a", config.Normal), front.First)
			rq := short
			rq.Deadline = time.Now().Add(5 * time.Second)
			ha.ask(rq, front.First)
			time.Sleep(4500 * time.Millisecond)
			ha.Refresh()
			synctest.Wait()
		}, []string{"a"}, map[ident.Account]refuse.Reason{"short": refuse.DeadlineUnmeetable}},
		{"displaced", []gate.Option{gate.WithQueue(1)}, func(ha *hall) {
			ha.ask(request("a", config.Normal), front.First)
			ha.ask(long, front.First)
			ha.ask(request("b", config.Urgent), front.First)
			ha.done()
		}, []string{"a", "b"}, map[ident.Account]refuse.Reason{"batch": refuse.QueueFull}},
		{"full", []gate.Option{gate.WithQueue(1)}, func(ha *hall) {
			ha.ask(request("a", config.Normal), front.First)
			ha.ask(request("b", config.Normal), front.First)
			ha.ask(long, front.First)
		}, []string{"a"}, map[ident.Account]refuse.Reason{"batch": refuse.QueueFull}},
		{"batch gains rank before its latest start", nil, func(ha *hall) {
			ha.ask(request("a", config.Normal), front.First)
			rq := long
			rq.Deadline = time.Now().Add(30 * time.Second)
			ha.ask(rq, front.First)
			ha.ask(request("b", config.Normal), front.First)
			ha.done()
		}, []string{"a", "batch"}, nil},
		{"batch waits behind normal work", nil, func(ha *hall) {
			ha.ask(request("a", config.Normal), front.First)
			rq := long
			rq.Deadline = time.Now().Add(time.Hour)
			ha.ask(rq, front.First)
			ha.ask(request("b", config.Normal), front.First)
			ha.done()
		}, []string{"a", "b"}, nil},
		{"a returned request waits", nil, func(ha *hall) {
			ha.ask(request("a", config.Normal), front.First)
			ha.ask(request("b", config.Urgent), front.Return)
			ha.done()
		}, []string{"a", "b"}, nil},
		{"a hedge does not wait", nil, func(ha *hall) {
			ha.ask(request("a", config.Normal), front.First)
			ha.ask(request("b", config.Normal), front.Hedge)
		}, []string{"a"}, map[ident.Account]refuse.Reason{"b": refuse.Busy}},
		{"refused at once", nil, func(ha *hall) {
			ha.fl.refusal = refuse.DeadlineUnmeetable
			ha.ask(request("a", config.Normal), front.First)
		}, nil, map[ident.Account]refuse.Reason{"a": refuse.DeadlineUnmeetable}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ha := newHall(1, ca.opts...)
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
				time.Sleep(2 * time.Hour) // ends what still waits
			})
		})
	}
}

// TestFlood guards against an account that starves another one: among 40 queued
// requests of it, the other account's three go after at most a few.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHall(4)
		for range 40 {
			ha.ask(request("flood", config.Normal), front.First)
		}
		for range 3 {
			ha.ask(request("quiet", config.Normal), front.First)
		}
		for range 16 {
			ha.done()
		}
		quiet := 0
		for _, ac := range ha.fl.placed {
			if ac == "quiet" {
				quiet++
			}
		}
		if quiet != 3 {
			t.Errorf("%d of 3 requests of the quiet account were placed in 20 places", quiet)
		}
		time.Sleep(time.Hour)
	})
}

// TestShare guards against urgent work that pushes out others: above the share
// of its account and class it is served as normal work. Queued work does not
// count, and another class of the account has a share of its own.
func TestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHall(4)
		for range 3 {
			ha.ask(request("big", config.Urgent), front.First)
		}
		ha.ask(request("other", config.Normal), front.First)
		if got := ha.fl.classes["big"]; got != config.Urgent {
			t.Errorf("served as %s before the slots are exhausted, want urgent", got)
		}
		ha.ask(request("big", config.Urgent), front.First)
		ha.done()
		if got := ha.fl.classes["big"]; got != config.Normal {
			t.Errorf("served as %s above its share, want normal", got)
		}
		time.Sleep(time.Hour)
	})
}

// TestExpected guards against false refusals from a max_tokens far above the
// usual answer, and against a mean that mixes accounts or classes.
func TestExpected(t *testing.T) {
	ha := newHall(1, gate.WithOutput(300))
	last := func(ac ident.Account, cl config.Class, most, output ident.Tokens) ident.Tokens {
		rq := request(ac, cl)
		rq.MaxTokens = most
		ta, err := ha.Place(t.Context(), rq, front.Placing{})
		if err != nil {
			t.Fatal(err)
		}
		ta.Done(front.Verdict{Output: output})
		return ha.fl.outputs[len(ha.fl.outputs)-1]
	}
	for range 200 {
		last("a", config.Normal, 100_000, 40)
	}
	got := []ident.Tokens{
		last("a", config.Normal, 100_000, 0), last("a", config.Normal, 10, 0),
		last("a", config.Batch, 100_000, 0), last("b", config.Normal, 100_000, 0),
	}
	if diff := cmp.Diff([]ident.Tokens{40, 10, 300, 300}, got); diff != "" {
		t.Errorf("expected output (-want +got):\n%s", diff)
	}
}

// TestRates guards against a limit that is not given back.
func TestRates(t *testing.T) {
	ha := newHall(1)
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

// TestConcurrent guards against places that are lost or given twice when
// requests end, wait and give up at the same time.
func TestConcurrent(t *testing.T) {
	ha := newHall(4)
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
				ta, err := ha.Place(own, request(ident.Account(fmt.Sprint(no%3)), config.Normal), front.Placing{})
				if err == nil {
					ta.Done(front.Verdict{Output: 5})
				}
				stop()
			}
		})
	}
	wg.Wait()
	cancel()
	ru.Wait()
	if ha.fl.running != 0 {
		t.Errorf("%d places are still taken", ha.fl.running)
	}
}
