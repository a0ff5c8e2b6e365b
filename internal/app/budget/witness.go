package budget

import (
	"context"
	"fmt"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Witness records that the sidecar may run work of the incarnation from now on.
// The error is ErrUnknownIncarnation or escrow.ErrClosed if the incarnation is
// not open; then the sidecar must not run any. The write requires that the row of
// the incarnation is unchanged since it was read, so after the closure no witness
// is added.
func (le *Ledger) Witness(ctx context.Context, inc, side ident.Incarnation, wr escrow.WitnessRow) error {
	return retry(ctx, func() (bool, error) {
		ir, err := le.incarnation(ctx, inc)
		switch {
		case err != nil:
			return false, err
		case !ir.exists():
			return false, ErrUnknownIncarnation
		case ir.val.State != escrow.Open:
			return false, escrow.ErrClosed
		}
		ro, err := loadRow(ctx, le.table, le.codecs.Witness, witnessPrefix(inc)+string(side))
		if err != nil || ro.exists() {
			return err == nil, err
		}
		wt, err := newWrite(le.codecs.Witness, ro, wr)
		if err != nil {
			return false, err
		}
		err = le.table.Commit(ctx, wt, store.Write{Key: ir.key, IfVersion: ir.version, Mode: store.Check})
		return err == nil, err
	})
}

// Witness is a sidecar that may have run work of an incarnation.
type Witness struct {
	Sidecar ident.Incarnation
	VM      ident.VM
	// Confirmed says that the sidecar's closure row exists. Used is the total of
	// that row.
	Confirmed bool
	Used      ident.Tokens
}

// Witnesses lists the sidecars that may have run work of the incarnation. The
// list is final once the incarnation is not open.
func (le *Ledger) Witnesses(ctx context.Context, inc ident.Incarnation) ([]Witness, error) {
	used := make(map[string]ident.Tokens)
	prefix := closurePrefix(inc)
	err := scan(ctx, le.table, prefix, func(it store.Item) error {
		cr, err := le.codecs.Closure.Decode(it.Value)
		if err != nil {
			return fmt.Errorf("budget: row %s: %w", it.Key, err)
		}
		side := strings.TrimPrefix(it.Key, prefix)
		used[side] = 0
		for _, us := range cr.Used {
			used[side] += us.Tokens
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	var all []Witness
	prefix = witnessPrefix(inc)
	err = scan(ctx, le.table, prefix, func(it store.Item) error {
		wr, err := le.codecs.Witness.Decode(it.Value)
		if err != nil {
			return fmt.Errorf("budget: row %s: %w", it.Key, err)
		}
		side := strings.TrimPrefix(it.Key, prefix)
		to, ok := used[side]
		all = append(all, Witness{Sidecar: ident.Incarnation(side), VM: wr.VM, Confirmed: ok, Used: to})
		return nil
	})
	return all, err
}

// DeclareDead marks the incarnation as dead. Afterwards it can open no new
// grant, and no further sidecar runs its work. The call can be repeated, and is
// how an operator closes an incarnation by hand.
func (le *Ledger) DeclareDead(ctx context.Context, inc ident.Incarnation) error {
	return le.setState(ctx, inc, escrow.Closing)
}

// State returns the state of the incarnation.
func (le *Ledger) State(ctx context.Context, inc ident.Incarnation) (escrow.State, error) {
	ir, err := le.incarnation(ctx, inc)
	if err == nil && !ir.exists() {
		err = ErrUnknownIncarnation
	}
	return ir.val.State, err
}
