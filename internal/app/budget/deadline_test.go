package budget_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/table"
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
