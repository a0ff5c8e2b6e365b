package budget_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// TestShortDeadlineIsNoOutage guards against taking the deadline of one request for an
// outage of the table, after which requests of all accounts are refused.
func TestShortDeadlineIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := table.New().Client()
		hd := budget.NewHolder("r1", "vm", "d", budget.NewLedger(cl, codecs()),
			budget.WithPrepaid(func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return 1000, 1, true }))
		if err := hd.Open(t.Context()); err != nil {
			t.Fatal(err)
		}
		cl.SetPause(func(ctx context.Context) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(20 * time.Millisecond):
				return nil
			}
		})
		short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := hd.Reserve(short, meals, 10, config.AvoidRefusal); err == nil {
			t.Fatal("reserved before the deadline, want a refusal")
		}
		if _, err := hd.Reserve(t.Context(), meals, 10, config.AvoidRefusal); err != nil {
			t.Errorf("the next request is refused although the table responds within 20ms: %v", err)
		}
	})
}

// pausing returns a pause that each call makes, or the rest of its deadline.
func pausing(pause time.Duration) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
			return nil
		}
	}
}

// TestQueueIsNoOutage guards against taking the wait for the rows of one budget, or a
// timeout while the own link is congested, for an outage of the table: requests of other
// budgets are then refused although the table responds.
func TestQueueIsNoOutage(t *testing.T) {
	other := ident.BudgetRef{Account: "sejin", Budget: "other"}
	for _, tc := range []struct {
		name  string
		pause time.Duration
		opts  []budget.Option
	}{
		{"queue", 300 * time.Millisecond, []budget.Option{exactDraws}},
		{"congested", 2 * time.Second, []budget.Option{budget.WithCongestion(func(time.Time) bool { return true })}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := table.New().Client()
				hd := budget.NewHolder("r1", "vm", "d", budget.NewLedger(cl, codecs()), append(tc.opts,
					budget.WithPrepaid(func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return 100_000, 1, true }))...)
				if err := hd.Open(t.Context()); err != nil {
					t.Fatal(err)
				}
				cl.SetPause(pausing(tc.pause))
				var group sync.WaitGroup
				for range 8 {
					group.Go(func() { _, _ = hd.Reserve(t.Context(), meals, 3000, config.AvoidRefusal) })
				}
				group.Wait()
				cl.SetPause(nil)
				if _, err := hd.Reserve(t.Context(), other, 10, config.AvoidRefusal); err != nil {
					t.Errorf("a request of another budget is refused: %v", err)
				}
			})
		})
	}
}

// TestLateRefusal guards against requests that wait for escrow although it is known that
// it comes too late, and against a draw that ends with the request that began it. The
// table takes 700 ms for a call, so that a draw takes longer than a request may wait.
func TestLateRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := table.New().Client()
		cl.SetPause(pausing(700 * time.Millisecond))
		hd := budget.NewHolder("r1", "vm", "d", budget.NewLedger(cl, codecs()),
			budget.WithPrepaid(func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return 100_000, 1, true }))
		if err := hd.Open(t.Context()); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				_, err := hd.Reserve(t.Context(), meals, 3000, config.AvoidRefusal)
				if waited := time.Since(start); reason(err) != refuse.EscrowUnavailable || waited > 0 {
					t.Errorf("%v after %v, want %s at once", err, waited, refuse.EscrowUnavailable)
				} else if !refuse.From(err).RetryAt.After(start.Add(1400 * time.Millisecond)) {
					t.Errorf("retry at %v, want a time after the draw", refuse.From(err).RetryAt.Sub(start))
				}
			})
		}
		group.Wait()
		time.Sleep(1500 * time.Millisecond)
		for range 5 {
			if _, err := hd.Reserve(t.Context(), meals, 3000, config.AvoidRefusal); err != nil {
				t.Errorf("refused after the draw: %v", err)
			}
		}
	})
}

// poorLenders are lenders that take 100 ms to say that they have nothing to spare.
type poorLenders struct{}

func (poorLenders) Borrow(context.Context, ident.BudgetRef, ident.Tokens, bool) ident.Tokens {
	time.Sleep(100 * time.Millisecond)
	return 0
}

// TestNoQueueInOutage guards against requests that wait one after the other for loans that
// no other router can give, while the table does not respond.
func TestNoQueueInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := table.New().Client()
		hd := budget.NewHolder("r1", "vm", "d", budget.NewLedger(cl, codecs()), budget.WithLenders(poorLenders{}),
			budget.WithPrepaid(func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return 100_000, 1, true }))
		if err := hd.Open(t.Context()); err != nil {
			t.Fatal(err)
		}
		cl.SetDown(true)
		var group sync.WaitGroup
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			group.Go(func() {
				start := time.Now()
				_, err := hd.Reserve(t.Context(), meals, 3000, config.AvoidRefusal)
				if waited := time.Since(start); reason(err) != refuse.EscrowUnavailable || waited > 250*time.Millisecond {
					t.Errorf("%v after %v, want %s within 250ms", err, waited, refuse.EscrowUnavailable)
				}
			})
		}
		group.Wait()
	})
}

// TestThrottledPathIsNoContact guards against requests that wait for a table that throttles
// this router until the time for a draw is over, as if the table could be reached: after
// one such draw, other requests are refused or served from loans at once.
func TestThrottledPathIsNoContact(t *testing.T) {
	for name, failure := range map[string]error{
		"one path":               store.ErrThrottled,
		"others time out":        errors.Join(store.ErrThrottled, context.DeadlineExceeded),
		"others are unavailable": errors.Join(store.ErrThrottled, store.ErrUnavailable),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := table.New().Client()
				hd := budget.NewHolder("r1", "vm", "d", budget.NewLedger(cl, codecs()),
					budget.WithPrepaid(func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return 1000, 1, true }))
				if err := hd.Open(t.Context()); err != nil {
					t.Fatal(err)
				}
				cl.SetPause(func(context.Context) error { return failure })
				_, _ = hd.Reserve(t.Context(), meals, 10, config.AvoidRefusal)
				// The draw may go on after its request was refused.
				time.Sleep(2 * time.Second)
				start := time.Now()
				_, err := hd.Reserve(t.Context(), meals, 10, config.AvoidRefusal)
				if diff := cmp.Diff("no escrow is left and the table does not respond", refuse.From(err).Detail); diff != "" {
					t.Errorf("refusal (-want +got):\n%s", diff)
				}
				if took := time.Since(start); took > 0 {
					t.Errorf("refused after %s, want at once", took)
				}
			})
		})
	}
}
