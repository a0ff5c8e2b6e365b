package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// AddBudget creates a budget without tokens. The ledger row is written first, so
// that an accepted configuration contains no budget without a row. A budget that
// was removed is added again with its previous balance.
func (se *Service) AddBudget(ctx context.Context, co ChangeOptions, rf ident.BudgetRef) (ChangeResult, error) {
	ed := func(ac config.Account) (config.Account, error) {
		if ac.Owns(rf.Budget) {
			return ac, fmt.Errorf("%w: budget %s", ErrExists, rf)
		}
		return ac.WithBudget(rf.Budget), nil
	}
	co = co.withOp()
	dry := co
	dry.DryRun = true
	cr, err := se.editAccount(ctx, dry, rf.Account, ed)
	var conflict *update.ConflictError
	switch {
	case co.DryRun:
		return cr, err
	case errors.Is(err, ErrExists), errors.As(err, &conflict):
		// The op may repeat a change whose response was lost.
		return se.editAccount(ctx, co, rf.Account, ed)
	case err != nil:
		return cr, err
	}
	if err := se.ledger.CreateBudget(ctx, rf); err != nil {
		return ChangeResult{}, err
	}
	return se.editAccount(ctx, co, rf.Account, ed)
}

// RemoveBudget removes a budget that has neither free nor held tokens. The
// ledger row is kept as the record of the spent tokens.
func (se *Service) RemoveBudget(ctx context.Context, co ChangeOptions, rf ident.BudgetRef) (ChangeResult, error) {
	return se.editAccount(ctx, co, rf.Account, func(ac config.Account) (config.Account, error) {
		if !ac.Owns(rf.Budget) {
			return ac, fmt.Errorf("%w: budget %s", ErrNotFound, rf)
		}
		ba, err := se.ledger.Balance(ctx, rf)
		switch {
		case errors.Is(err, budget.ErrUnknownBudget):
		case err != nil:
			return ac, err
		case ba.Free != 0 || ba.Held != 0:
			return ac, fmt.Errorf("%w: %s has %d free and %d held", ErrNotEmpty, rf, ba.Free, ba.Held)
		}
		return ac.WithoutBudget(rf.Budget), nil
	})
}

// Balance returns the balance of a budget with its holders. It also returns the
// balance of a budget that was removed.
func (se *Service) Balance(ctx context.Context, rf ident.BudgetRef) (budget.Balance, error) {
	return se.ledger.Balance(ctx, rf)
}

// Balances returns the balances of all budgets of an account.
func (se *Service) Balances(ctx context.Context, id ident.Account) ([]budget.Balance, error) {
	sn, err := se.acceptor.Current(ctx)
	if err != nil {
		return nil, err
	}
	ac, err := findAccount(sn, id)
	if err != nil {
		return nil, err
	}
	out := make([]budget.Balance, 0, len(ac.Budgets))
	for _, bu := range ac.Budgets {
		rf := ident.BudgetRef{Account: id, Budget: bu}
		ba, err := se.ledger.Balance(ctx, rf)
		if err != nil && !errors.Is(err, budget.ErrUnknownBudget) {
			return nil, err
		}
		ba.Ref = rf
		out = append(out, ba)
	}
	return out, nil
}

// TopUp adds tokens to a budget once per op and returns the op. After an error
// of the table, the caller should repeat it with the same op and amount.
func (se *Service) TopUp(ctx context.Context, co ChangeOptions, rf ident.BudgetRef, amount ident.Tokens) (ident.Op, error) {
	co = co.withOp()
	sn, err := se.acceptor.Current(ctx)
	if err != nil {
		return co.Op, err
	}
	ac, err := findAccount(sn, rf.Account)
	if err != nil {
		return co.Op, err
	}
	if !ac.Owns(rf.Budget) {
		return co.Op, fmt.Errorf("%w: budget %s", ErrNotFound, rf)
	}
	if err := se.ledger.TopUp(ctx, rf, amount, co.Op, co.By); err != nil {
		return co.Op, err
	}
	se.met.Log(evToppedUp, slog.String("budget", rf.String()), slog.Int64("tokens", int64(amount)),
		slog.String("op", string(co.Op)), slog.String("operator", string(co.By)))
	return co.Op, nil
}
