package admit_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// TestRule guards against requests that are admitted too late to finish in time,
// refused because of an estimate without a load report, or given slots reserved
// for urgent requests.
func TestRule(t *testing.T) {
	request := func(cl config.Class, running int, change func(*admit.Request)) admit.Request {
		rq := admit.Request{
			Class: cl, Deadline: start.Add(time.Minute), Known: true, FirstToken: start.Add(time.Second),
			Finish: start.Add(5 * time.Second), Slots: 100, Running: running, QueueLimit: 10,
		}
		if change != nil {
			change(&rq)
		}
		return rq
	}
	lateFinish := func(rq *admit.Request) { rq.Finish = start.Add(90 * time.Second) }
	lateFirstToken := func(rq *admit.Request) { rq.FirstTokenDeadline = start.Add(time.Second / 2) }
	retry := start.Add(30 * time.Second)
	cases := []struct {
		name string
		rq   admit.Request
		want admit.Decision
	}{
		{"free slots", request(config.Batch, 79, nil), admit.Decision{}},
		{"batch leaves the share of the other classes free", request(config.Batch, 80, nil), admit.Decision{Verdict: admit.Wait}},
		{"normal leaves the urgent share free", request(config.Normal, 85, nil), admit.Decision{Verdict: admit.Wait}},
		{"normal below the urgent share", request(config.Normal, 84, nil), admit.Decision{}},
		{"free slots shared with other routers", request(config.Normal, 80, func(rq *admit.Request) { rq.SentSinceReport, rq.RouterCount = 2, 4 }), admit.Decision{Verdict: admit.Wait}},
		{"urgent never waits", request(config.Urgent, 100, nil), admit.Decision{}},
		{"does not pass queued requests", request(config.Normal, 10, func(rq *admit.Request) { rq.Queued = 1 }), admit.Decision{Verdict: admit.Wait}},
		{"queue full", request(config.Normal, 100, func(rq *admit.Request) { rq.Queued = 10 }), admit.Decision{Verdict: admit.Refuse, Reason: refuse.QueueFull, RetryAt: start.Add(5 * time.Second)}},
		{"no queue", request(config.Normal, 100, func(rq *admit.Request) { rq.QueueLimit = 0 }), admit.Decision{}},
		{"late within the error of the estimate", request(config.Normal, 0, func(rq *admit.Request) { rq.Finish = start.Add(70 * time.Second) }), admit.Decision{}},
		{"deadline unmeetable", request(config.Normal, 0, lateFinish), admit.Decision{Verdict: admit.Refuse, Reason: refuse.DeadlineUnmeetable, RetryAt: retry}},
		{"first token unmeetable", request(config.Urgent, 0, lateFirstToken), admit.Decision{Verdict: admit.Refuse, Reason: refuse.DeadlineUnmeetable, RetryAt: start.Add(time.Second / 2)}},
		{"no refusal without a load report", request(config.Normal, 0, func(rq *admit.Request) { lateFinish(rq); rq.Known = false }), admit.Decision{}},
		{"deadline passed", request(config.Normal, 0, func(rq *admit.Request) { rq.Deadline = start }), admit.Decision{Verdict: admit.Refuse, Reason: refuse.DeadlinePassed}},
		{"unknown slots", request(config.Batch, 5, func(rq *admit.Request) { rq.Slots = 0 }), admit.Decision{}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			if diff := cmp.Diff(ca.want, admit.NewRule().Decide(ca.rq, start)); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRateLimiter guards against bursts above the limit, a refusal without the
// time at which a retry succeeds, and requests in flight that are never
// released.
func TestRateLimiter(t *testing.T) {
	ra := admit.NewRateLimiter[ident.Account]()
	ra.SetLimits(map[ident.Account]admit.Limit{"a": {PerSecond: 10, Burst: 3}, "b": {MaxRunning: 2}})
	for ix := range 3 {
		if de := ra.Acquire("a", start); de.Verdict != admit.Admit {
			t.Fatalf("request %d of the burst: %v", ix, de)
		}
	}
	refused := ra.Acquire("a", start)
	want := admit.Decision{Verdict: admit.Refuse, Reason: refuse.RateLimited, RetryAt: start.Add(100 * time.Millisecond)}
	if diff := cmp.Diff(want, refused); diff != "" {
		t.Errorf("above the burst (-want +got):\n%s", diff)
	}
	// Replacing the limits keeps the requests already counted.
	ra.SetLimits(map[ident.Account]admit.Limit{"a": {PerSecond: 10, Burst: 3}, "b": {MaxRunning: 2}})
	if de := ra.Acquire("a", refused.RetryAt.Add(-1)); de.Verdict != admit.Refuse {
		t.Errorf("admitted before the retry time")
	}
	if de := ra.Acquire("a", refused.RetryAt); de.Verdict != admit.Admit {
		t.Errorf("refused at the retry time")
	}
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			if ra.Acquire("b", start).Verdict == admit.Admit {
				admitted.Add(1)
			}
		})
	}
	wg.Wait()
	if admitted.Load() > 2 || ra.Running("b") != int(admitted.Load()) {
		t.Errorf("%d admitted, %d running, limit 2", admitted.Load(), ra.Running("b"))
	}
	for range 5 {
		ra.Release("b")
	}
	if de := ra.Acquire("b", start); de.Verdict != admit.Admit || ra.Running("b") != 1 {
		t.Errorf("no slot after the end of all requests")
	}
	if de := ra.Acquire("c", start); de.Verdict != admit.Admit {
		t.Errorf("an account without limits was refused")
	}
}

// TestFairShares guards against an account that uses the share of another one,
// and against an account that is held back while there is free capacity.
func TestFairShares(t *testing.T) {
	fa := admit.NewFairShares[ident.Account]()
	for range 9 {
		fa.Enter("flood")
	}
	if fa.ExceedsShare("flood", 10) {
		t.Errorf("held back below the capacity")
	}
	fa.Enter("quiet")
	got := []bool{fa.ExceedsShare("flood", 10), fa.ExceedsShare("quiet", 10), fa.ExceedsShare("new", 10)}
	if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
		t.Errorf("exceeds its share: flood, quiet, new (-want +got):\n%s", diff)
	}
	fa.Leave("quiet")
	if fa.ExceedsShare("flood", 10) {
		t.Errorf("held back after the other account left")
	}
}

// TestBoundRatesAllocations guards against allocations per admission decision.
func TestBoundRatesAllocations(t *testing.T) {
	ra := admit.NewRateLimiter[ident.Account]()
	ra.SetLimits(map[ident.Account]admit.Limit{"a": {PerSecond: 1e6, Burst: 10, MaxRunning: 10}})
	fa := admit.NewFairShares[ident.Account]()
	fa.Enter("a")
	fa.Leave("a")
	ru := admit.NewRule()
	got := testing.AllocsPerRun(100, func() {
		ra.Acquire("a", start)
		fa.Enter("a")
		fa.ExceedsShare("a", 10)
		ru.Decide(admit.Request{Class: config.Urgent}, start)
		fa.Leave("a")
		ra.Release("a")
	})
	if got > 2 {
		t.Errorf("%v allocations per decision, want at most 2", got)
	}
}
