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

// reserver reserves tokens of the router's escrow.
type reserver struct{ hd *budget.Holder }

// Reserve reserves tokens of the budget.
func (re reserver) Reserve(ctx context.Context, rf ident.BudgetRef, to ident.Tokens, pr config.Preference) (front.Hold, error) {
	ho, err := re.hd.Reserve(ctx, rf, to, pr)
	if err != nil {
		return nil, err
	}
	return hold{ho}, nil
}

// hold is the escrow reserved for one request.
type hold struct{ ho budget.Hold }

// Settle charges the usage and returns the rest of the escrow.
func (ho hold) Settle(used ident.Tokens) { ho.ho.Settle(used) }

// Release returns the escrow without a charge.
func (ho hold) Release() { ho.ho.Release() }

// MarkUnknown records that the usage is unknown. The escrow stays held.
func (ho hold) MarkUnknown() { ho.ho.MarkUnknown() }

// keyCanceller cancels idempotency keys in the table.
type keyCanceller struct{ cl relay.Claims }

// Cancel cancels the key. It reports whether the call with the fingerprint has not
// run and never will.
func (kc keyCanceller) Cancel(ctx context.Context, ac ident.Account, key ident.Key, fingerprint []byte) (bool, error) {
	ca, err := kc.cl.CancelKey(ctx, ac, key, fingerprint)
	return ca == claim.NeverRun || ca == claim.FingerprintMismatch, err
}

// outcomes looks up stored outcomes in the table.
type outcomes struct{ cl relay.Claims }

// Outcome returns the stored outcome of one of the account's idempotency keys.
func (ou outcomes) Outcome(ctx context.Context, ac ident.Account, key ident.Key) (caller.Outcome, bool, error) {
	rc, ok, err := ou.cl.Lookup(ctx, ac, key)
	if err != nil || !ok {
		return caller.Outcome{}, false, err
	}
	out := caller.Outcome{State: string(rc.State)}
	if rc.Outcome != nil {
		out.Status, out.Body, out.Failure = rc.Outcome.Status, rc.Outcome.Body, rc.Outcome.Failure
	}
	return out, true, nil
}
