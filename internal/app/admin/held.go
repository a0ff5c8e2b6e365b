package admin

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Held lists the escrow that each incarnation holds.
func (se *Service) Held(ctx context.Context) ([]budget.Holding, error) {
	return se.ledger.Holdings(ctx)
}

// DeclareDead declares an incarnation dead, so that its escrow can be resolved. The
// operator gives the VM to confirm that the router's process has ended: a router
// that still runs would continue to spend the escrow that is then freed.
func (se *Service) DeclareDead(ctx context.Context, co ChangeOptions, inc ident.Incarnation, vm ident.VM) error {
	ir, err := se.ledger.Incarnation(ctx, inc)
	if err != nil {
		return err
	}
	if ir.VM != vm {
		return fmt.Errorf("%w: %s", ErrWrongVM, ir.VM)
	}
	if err := se.ledger.DeclareDead(ctx, inc); err != nil {
		return err
	}
	se.met.Log(evIncarnationClosed, slog.String("incarnation", string(inc)), slog.String("vm", string(vm)),
		slog.String("operator", string(co.By)))
	return nil
}

// Resolve settles the escrow that a dead incarnation holds of one budget with
// the total usage of its requests, and frees the rest.
func (se *Service) Resolve(ctx context.Context, co ChangeOptions, inc ident.Incarnation, rf ident.BudgetRef, used ident.Tokens) error {
	if err := se.ledger.Resolve(ctx, rf, inc, used, co.By); err != nil {
		return err
	}
	se.met.Log(evResolved, slog.String("incarnation", string(inc)), slog.String("budget", rf.String()),
		slog.Int64("used", int64(used)), slog.String("operator", string(co.By)))
	return nil
}

// Outcome returns the record of an account's idempotency key.
func (se *Service) Outcome(ctx context.Context, id ident.Account, key ident.Key) (claim.Record, error) {
	rc, ok, err := se.claims.Lookup(ctx, id, key)
	if err == nil && !ok {
		err = fmt.Errorf("%w: key %s of account %s", ErrNotFound, key, id)
	}
	return rc, err
}
