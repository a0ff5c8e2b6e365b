package retry_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/retry"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestClassify guards against a second run of a request that may have run, and
// against retries that cannot succeed.
func TestClassify(t *testing.T) {
	cases := []struct {
		name string
		fa   retry.Failure
		want retry.Decision
	}{
		{"refused with proof", retry.Failure{Reason: refuse.Busy, Outcome: refuse.NotRun, Sent: true}, retry.Decision{Action: retry.OtherUpstream, Code: retry.Proved}},
		{"nothing sent", retry.Failure{Reason: refuse.LinkLost, Outcome: refuse.Unknown}, retry.Decision{Action: retry.OtherUpstream, Code: retry.NotSent}},
		{"idempotent", retry.Failure{Reason: refuse.LinkLost, Outcome: refuse.Unknown, Sent: true, Idempotent: true}, retry.Decision{Action: retry.OtherUpstream, Code: retry.Repeatable}},
		{"may have run", retry.Failure{Reason: refuse.LinkLost, Outcome: refuse.Unknown, Sent: true}, retry.Decision{Code: retry.MayHaveRun}},
		{"partial response", retry.Failure{Reason: refuse.UpstreamFailed, Outcome: refuse.Unknown, Sent: true, Idempotent: true, PartDelivered: true}, retry.Decision{Code: retry.Partial}},
		{"bad request", retry.Failure{Reason: refuse.BadRequest, Outcome: refuse.NotRun}, retry.Decision{Code: retry.Permanent}},
		{"key in progress", retry.Failure{Reason: refuse.InProgress, Outcome: refuse.Unknown, Sent: true, Idempotent: true}, retry.Decision{Code: retry.Permanent}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			if diff := cmp.Diff(ca.want, retry.Classify(ca.fa)); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
	// A request that may have run and is not idempotent is never retried, whatever
	// the reason.
	for _, re := range refuse.All() {
		if de := retry.Classify(retry.Failure{Reason: re, Outcome: refuse.Unknown, Sent: true}); de.Action != retry.Stop {
			t.Errorf("%s: action %v, want stop", re, de.Action)
		}
	}
}

// TestDecide guards against retries beyond the attempts, the deadline or the
// budget.
func TestDecide(t *testing.T) {
	busy := retry.Failure{Reason: refuse.Busy, Outcome: refuse.NotRun, Sent: true, Attempts: 1, Deadline: start.Add(time.Minute)}
	cases := []struct {
		name    string
		reserve int
		change  func(*retry.Failure)
		want    retry.Code
	}{
		{"allowed", 1, func(*retry.Failure) {}, retry.Proved},
		{"attempts", 1, func(fa *retry.Failure) { fa.Attempts = 3 }, retry.Attempts},
		{"deadline", 1, func(fa *retry.Failure) { fa.Deadline = start.Add(40 * time.Millisecond) }, retry.NoTime},
		{"budget", 0, func(*retry.Failure) {}, retry.NoBudget},
		{"not sent is free", 0, func(fa *retry.Failure) { fa.Sent = false }, retry.Proved},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			po := retry.NewPolicy(retry.NewBudget(retry.WithReserve(ca.reserve)))
			fa := busy
			ca.change(&fa)
			if got := po.Decide(fa, rng(), start).Code; got != ca.want {
				t.Errorf("code %s, want %s", got, ca.want)
			}
		})
	}
}

// TestBackoff guards against delays above the bound and against callers that
// retry together.
func TestBackoff(t *testing.T) {
	po, rn := retry.NewPolicy(retry.NewBudget(), retry.WithBackoff(20*time.Millisecond, time.Second)), rng()
	for _, ca := range []struct {
		attempts int
		bound    time.Duration
	}{{1, 20 * time.Millisecond}, {2, 40 * time.Millisecond}, {4, 160 * time.Millisecond}, {60, time.Second}} {
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			delay := po.Backoff(ca.attempts, rn, start).Sub(start)
			low, high = min(low, delay), max(high, delay)
		}
		if low < 0 || low > ca.bound/10 || high > ca.bound || high < ca.bound*9/10 {
			t.Errorf("after %d attempts delays lie in %v to %v, want 0 to %v", ca.attempts, low, high, ca.bound)
		}
	}
}

// TestHedge guards against hedging requests that must run at most once, and
// against hedging without enough time or budget.
func TestHedge(t *testing.T) {
	po := retry.NewPolicy(retry.NewBudget(retry.WithReserve(1)))
	at, ok := po.HedgeAt(true, start, 100*time.Millisecond, start.Add(time.Second))
	if !ok || !at.Equal(start.Add(200*time.Millisecond)) {
		t.Errorf("hedge at %v (%v), want after 200ms", at.Sub(start), ok)
	}
	if _, ok := po.HedgeAt(false, start, 100*time.Millisecond, start.Add(time.Second)); ok {
		t.Error("a non-idempotent call may be hedged")
	}
	if _, ok := po.HedgeAt(true, start, 100*time.Millisecond, start.Add(220*time.Millisecond)); ok {
		t.Error("a hedge is planned that cannot respond in time")
	}
	var got []retry.Code
	for _, idempotent := range []bool{false, true, true} {
		got = append(got, po.DecideHedge(idempotent, 1, start.Add(time.Second), start).Code)
	}
	if diff := cmp.Diff([]retry.Code{retry.MayHaveRun, retry.Slow, retry.NoBudget}, got); diff != "" {
		t.Errorf("codes (-want +got):\n%s", diff)
	}
}

// TestBudget guards against a retry rate above the ratio, also under
// concurrency.
func TestBudget(t *testing.T) {
	const first, reserve = 10_000, 10
	bu := retry.NewBudget(retry.WithRatio(0.1), retry.WithReserve(reserve))
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range first / 4 {
				bu.RecordFirst()
				for range 3 {
					if bu.Take() {
						taken.Add(1)
					}
				}
			}
		})
	}
	wg.Wait()
	if got := taken.Load(); got > first/10+reserve || got < first/10-1 {
		t.Errorf("%d retries for %d first attempts, want about %d", got, first, first/10)
	}
}
