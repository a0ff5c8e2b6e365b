package budget

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// HeldError lists the budgets of which escrow stays held after Close.
type HeldError struct{ Budgets []ident.BudgetRef }

// Error returns the number of budgets.
func (he *HeldError) Error() string {
	return fmt.Sprintf("budget: escrow of %d budgets stays held", len(he.Budgets))
}

// Close settles everything, returns what is available or locked, and marks the
// incarnation as closed. Reservations that are open or unknown stay held; then
// the incarnation is left closing, the error is a *HeldError, and Close can be
// called again after they are settled. Run must have ended.
func (hd *Holder) Close(ctx context.Context) error {
	switch phase(hd.phase.Load()) {
	case starting:
		return nil
	case fenced:
		return escrow.ErrClosed
	}
	hd.phase.Store(int32(leaving))
	// A first draw that is still under way cannot take effect after this write.
	if err := hd.ledger.setState(ctx, hd.inc, escrow.Closing); err != nil {
		return err
	}
	var failed error
	held := &HeldError{}
	for _, hg := range hd.index.all() {
		if err := hd.closeHolding(ctx, hg); err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", hg.ref, err))
		}
		if co := hg.pool.Counts(); co.Sum() > 0 {
			held.Budgets = append(held.Budgets, hg.ref)
			hd.opts.meter.Log(eventHeld, slog.String("budget", hg.ref.String()),
				slog.Int64("tokens", int64(co.Sum())))
		}
	}
	if failed != nil {
		return failed
	}
	if len(held.Budgets) > 0 {
		return held
	}
	return hd.ledger.setState(ctx, hd.inc, escrow.Closed)
}

// closeHolding settles and returns the escrow of one holding. Its grant row is
// deleted once nothing is outstanding.
func (hd *Holder) closeHolding(ctx context.Context, hg *holding) error {
	if !hg.lockRows(ctx) {
		return ctx.Err()
	}
	defer hg.unlockRows()
	if !hg.grant.exists() && len(hg.issued) == 0 {
		return nil
	}
	// The last commit without a response may have taken effect by now.
	hg.uncertain, hg.closing = true, true
	return hd.execute(ctx, hg, func(hg *holding, en escrow.Entry) (escrow.Entry, error) {
		if !hg.grant.exists() {
			return en, nil
		}
		hg.pool.Withdraw(hg.pool.Available())
		hg.pool.WithdrawLocked(hg.pool.Counts().Locked)
		en, err := applyPending(hg, en)
		if err != nil || en.Grant.Outstanding() > 0 {
			return en, err
		}
		return en.Close()
	})
}

// recordDeletion records in the pool and the holding that the grant row was
// deleted with nothing outstanding.
func (hg *holding) recordDeletion() {
	co := hg.pool.Counts()
	hg.pool.Confirm(co.Unsettled, co.Returning)
	hg.pool.ConfirmLock(co.Locking, co.Unrecorded)
	hg.grant, hg.issued = row[escrow.GrantRow]{key: hg.grant.key}, nil
}
