package router

import (
	"context"

	"github.com/balsamwood/balsamwood/internal/adapt/caller"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// purse reserves from the router's escrow.
type purse struct{ hd *budget.Holder }

// Reserve reserves tokens of the budget.
func (pu purse) Reserve(ctx context.Context, rf ident.BudgetRef, to ident.Tokens, we config.Weight) (front.Hold, error) {
	ho, err := pu.hd.Reserve(ctx, rf, to, we)
	if err != nil {
		return nil, err
	}
	return hold{ho}, nil
}

type hold struct{ ho budget.Hold }

// Settle charges the usage and returns the rest.
func (ho hold) Settle(used ident.Tokens) { ho.ho.Settle(used) }

// Release returns everything.
func (ho hold) Release() { ho.ho.Release() }

// Keep leaves the escrow held.
func (ho hold) Keep() { ho.ho.Keep() }

// keys cancels idempotency keys in the table.
type keys struct{ cl relay.Claims }

// Cancel reports whether the call will never run.
func (ke keys) Cancel(ctx context.Context, ac ident.Account, key ident.Key, fingerprint []byte) (bool, error) {
	ca, err := ke.cl.CancelKey(ctx, ac, key, fingerprint)
	return ca == claim.Won || ca == claim.Foreign, err
}

// outcomes looks up stored outcomes in the table.
type outcomes struct{ cl relay.Claims }

// Outcome returns the outcome of the account's own key.
func (ou outcomes) Outcome(ctx context.Context, ac ident.Account, key ident.Key) (caller.Outcome, bool, error) {
	rc, ok, err := ou.cl.Ask(ctx, ac, key)
	if err != nil || !ok {
		return caller.Outcome{}, false, err
	}
	out := caller.Outcome{State: string(rc.State)}
	if rc.Outcome != nil {
		out.Status, out.Body, out.Failure = rc.Outcome.Status, rc.Outcome.Body, rc.Outcome.Failure
	}
	return out, true, nil
}
