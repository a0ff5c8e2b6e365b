package budget

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Retire deletes the rows of an incarnation that has ended, so that they do not
// accumulate. Grants with outstanding tokens stay, and then the incarnation is
// marked as closed. The incarnation must be closing. Retire can be repeated.
func (le *Ledger) Retire(ctx context.Context, inc ident.Incarnation, refs []ident.BudgetRef) error {
	held := false
	for _, rf := range refs {
		outstanding, err := le.deleteGrant(ctx, rf, inc)
		if err != nil {
			return err
		}
		held = held || outstanding
	}
	if err := le.deleteLease(ctx, inc); err != nil {
		return err
	}
	if held {
		return le.setState(ctx, inc, escrow.Closed)
	}
	return retry(ctx, func() (bool, error) {
		ro, err := le.incarnation(ctx, inc)
		if err != nil || !ro.exists() {
			return err == nil, err
		}
		return le.deleteRow(ctx, ro.key, ro.version)
	})
}

// deleteGrant deletes the grant row unless it has outstanding tokens, and reports
// whether it has.
func (le *Ledger) deleteGrant(ctx context.Context, rf ident.BudgetRef, inc ident.Incarnation) (held bool, err error) {
	err = retry(ctx, func() (bool, error) {
		ro, err := le.grant(ctx, rf, inc)
		if err != nil || !ro.exists() {
			return err == nil, err
		}
		if held = ro.val.Outstanding() > 0; held {
			return true, nil
		}
		return le.deleteRow(ctx, ro.key, ro.version)
	})
	return held, err
}

// deleteRow deletes the row if it still has the version.
func (le *Ledger) deleteRow(ctx context.Context, key string, version uint64) (bool, error) {
	err := le.table.Commit(ctx, store.Write{Key: key, IfVersion: version, Mode: store.Delete})
	return err == nil, err
}

// isRetired reports whether the error says that the incarnation has no row,
// because it has been retired.
func isRetired(err error) bool { return errors.Is(err, ErrUnknownIncarnation) }
