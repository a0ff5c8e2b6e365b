package budget

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Retire removes the rows of an incarnation that has ended, so that they do not
// pile up. Grants of which tokens are held stay, and the incarnation is marked
// closed then. The incarnation must be closing. Retire can be repeated.
func (le *Ledger) Retire(ctx context.Context, inc ident.Incarnation, refs []ident.BudgetRef) error {
	held := false
	for _, rf := range refs {
		out, err := le.dropGrant(ctx, rf, inc)
		if err != nil {
			return err
		}
		held = held || out
	}
	if held {
		return le.setState(ctx, inc, escrow.Closed)
	}
	return repeat(ctx, func() (bool, error) {
		ro, err := le.incarnation(ctx, inc)
		if err != nil || !ro.exists() {
			return err == nil, err
		}
		return le.drop(ctx, ro.key, ro.version)
	})
}

// dropGrant removes a grant of which nothing is held. It reports whether
// something is.
func (le *Ledger) dropGrant(ctx context.Context, rf ident.BudgetRef, inc ident.Incarnation) (held bool, err error) {
	err = repeat(ctx, func() (bool, error) {
		ro, err := le.grant(ctx, rf, inc)
		if err != nil || !ro.exists() {
			return err == nil, err
		}
		if held = ro.val.Outstanding() > 0; held {
			return true, nil
		}
		return le.drop(ctx, ro.key, ro.version)
	})
	return held, err
}

func (le *Ledger) drop(ctx context.Context, key string, version uint64) (bool, error) {
	err := le.table.Commit(ctx, store.Write{Key: key, IfVersion: version, Mode: store.Delete})
	return err == nil, err
}

// ended reports whether the error says that the incarnation has been retired.
func ended(err error) bool { return errors.Is(err, ErrUnknownIncarnation) }
