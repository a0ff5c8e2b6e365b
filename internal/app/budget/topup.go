package budget

import (
	"context"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// CreateBudget writes the row of a budget without tokens. It does nothing if the
// budget exists.
func (le *Ledger) CreateBudget(ctx context.Context, rf ident.BudgetRef) error {
	return retry(ctx, func() (bool, error) {
		ro, err := le.budget(ctx, rf)
		if err != nil || ro.exists() {
			return err == nil, err
		}
		wr, err := newWrite(le.codecs.Budget, ro, escrow.BudgetRow{})
		if err != nil {
			return false, err
		}
		err = le.table.Commit(ctx, wr)
		return err == nil, err
	})
}

// TopUp adds prepaid tokens to the budget, once per operation id. A call whose
// response was lost can be repeated with the same op.
func (le *Ledger) TopUp(ctx context.Context, rf ident.BudgetRef, amount ident.Tokens, op ident.Op, by ident.Operator) error {
	return retry(ctx, func() (bool, error) { return le.topUp(ctx, rf, amount, op, by) })
}

// topUp makes one attempt. It reads the marker row before anything else, so that
// an attempt after a lost response finds out whether the earlier one took effect.
// An attempt that is still under way fails on the marker once another one has
// succeeded.
func (le *Ledger) topUp(ctx context.Context, rf ident.BudgetRef, amount ident.Tokens, op ident.Op, by ident.Operator) (bool, error) {
	mark, err := loadRow(ctx, le.table, le.codecs.TopUp, topUpKey(rf, op))
	if err != nil {
		return false, err
	}
	if mark.exists() {
		if mark.val.Amount != amount {
			return false, ErrOpReused
		}
		return true, nil
	}
	ro, err := le.budget(ctx, rf)
	if err != nil {
		return false, err
	}
	if !ro.exists() {
		return false, ErrUnknownBudget
	}
	bud, err := ro.val.TopUp(amount)
	if err != nil {
		return false, err
	}
	wb, err := newWrite(le.codecs.Budget, ro, bud)
	if err != nil {
		return false, err
	}
	wm, err := newWrite(le.codecs.TopUp, mark, escrow.TopUpRow{Amount: amount, By: by})
	if err != nil {
		return false, err
	}
	err = le.table.Commit(ctx, wb, wm)
	return err == nil, err
}
