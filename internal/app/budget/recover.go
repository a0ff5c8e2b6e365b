package budget

import (
	"context"
	"errors"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Recovered is a grant of a dead incarnation that was closed or stays held.
type Recovered struct {
	Ref ident.BudgetRef
	// Charged and Freed are the held tokens that the recovery settled and
	// returned.
	Charged, Freed ident.Tokens
	// Held is the number of tokens that stay held for lack of evidence.
	Held ident.Tokens
	// Uncovered is use in the evidence that exceeds what the incarnation drew.
	Uncovered ident.Tokens
}

// Recovery is the result of Recover.
type Recovery struct {
	Incarnation ident.Incarnation
	// Missing lists the needed sidecars without a closure row. While there is
	// one, no grant is closed.
	Missing []ident.Incarnation
	Grants  []Recovered
}

// Recover frees what a dead incarnation did not use, according to the closure
// rows of all sidecars that the evidence needs. If one of the rows is missing,
// the escrow stays held and is listed. The incarnation can draw no new grant
// afterwards. Recover can be repeated.
func (le *Ledger) Recover(ctx context.Context, inc ident.Incarnation, ev escrow.Evidence) (Recovery, error) {
	rec := Recovery{Incarnation: inc}
	if ev.Empty() {
		return rec, ErrNoEvidence
	}
	if err := le.setState(ctx, inc, escrow.Closing); err != nil {
		return rec, err
	}
	rows, missing, err := le.closureRows(ctx, inc, ev)
	if err != nil {
		return rec, err
	}
	rec.Missing = missing
	refs, err := le.grantsOf(ctx, inc)
	if err != nil {
		return rec, err
	}
	for _, rf := range refs {
		var used ident.Tokens
		for _, cr := range rows {
			used += cr.Total(rf)
		}
		re, err := le.recoverGrant(ctx, rf, inc, used, len(missing) == 0)
		if err != nil {
			return rec, err
		}
		rec.Grants = append(rec.Grants, re)
	}
	if len(missing) > 0 {
		return rec, nil
	}
	return rec, le.setState(ctx, inc, escrow.Closed)
}

// Resolve closes one grant of an incarnation that was declared dead, with the
// total use that an operator found out.
func (le *Ledger) Resolve(ctx context.Context, rf ident.BudgetRef, inc ident.Incarnation, used ident.Tokens, by ident.Operator) error {
	ir, err := le.incarnation(ctx, inc)
	switch {
	case err != nil:
		return err
	case !ir.exists():
		return ErrUnknownIncarnation
	case ir.val.State == escrow.Open:
		return ErrStillOpen
	}
	return le.changeGrant(ctx, rf, inc, func(en escrow.Entry) (escrow.Entry, error) { return en.Resolve(used, by) })
}

// recoverGrant closes a grant if the evidence is complete; otherwise it only
// reads what the grant holds.
func (le *Ledger) recoverGrant(ctx context.Context, rf ident.BudgetRef, inc ident.Incarnation, used ident.Tokens, complete bool) (Recovered, error) {
	re := Recovered{Ref: rf}
	if !complete {
		gr, err := le.grant(ctx, rf, inc)
		re.Held = gr.val.Outstanding()
		return re, err
	}
	err := le.changeGrant(ctx, rf, inc, func(en escrow.Entry) (escrow.Entry, error) {
		nx, uncovered, err := en.Recover(used)
		re.Uncovered = uncovered
		re.Charged = nx.Grant.Settled - en.Grant.Settled
		re.Freed = nx.Grant.Returned - en.Grant.Returned
		return nx, err
	})
	if errors.Is(err, ErrUnknownGrant) {
		// The incarnation returned everything and removed its row meanwhile.
		return re, nil
	}
	return re, err
}

// changeGrant applies a transition to the grant of a dead incarnation. A closed
// grant is left as it is, so that a closing transition that is repeated after a
// lost response has no second effect.
func (le *Ledger) changeGrant(ctx context.Context, rf ident.BudgetRef, inc ident.Incarnation, apply func(escrow.Entry) (escrow.Entry, error)) error {
	return retry(ctx, func() (bool, error) {
		gr, err := le.grant(ctx, rf, inc)
		switch {
		case err != nil:
			return false, err
		case !gr.exists():
			return false, ErrUnknownGrant
		case gr.val.Closed:
			return true, nil
		}
		bu, err := le.budget(ctx, rf)
		if err != nil {
			return false, err
		}
		nx, err := apply(escrow.Entry{Budget: bu.val, Grant: gr.val})
		if err != nil {
			return false, err
		}
		wg, err := newWrite(le.codecs.Grant, gr, nx.Grant.WithOp(ident.NewOp()))
		if err != nil {
			return false, err
		}
		writes := []store.Write{wg}
		// After a restore, the versions of the budget row tell which state holders have seen
		// last, so that it is not written without a change.
		if nx.Budget != bu.val {
			wb, err := newWrite(le.codecs.Budget, bu, nx.Budget)
			if err != nil {
				return false, err
			}
			writes = append(writes, wb)
		}
		err = le.table.Commit(ctx, writes...)
		return err == nil, err
	})
}

// setState moves the incarnation to the state, unless it is closed already.
func (le *Ledger) setState(ctx context.Context, inc ident.Incarnation, st escrow.State) error {
	return retry(ctx, func() (bool, error) {
		ir, err := le.incarnation(ctx, inc)
		switch {
		case err != nil:
			return false, err
		case !ir.exists():
			return false, ErrUnknownIncarnation
		case ir.val.State == st || ir.val.State == escrow.Closed:
			return true, nil
		}
		wr, err := newWrite(le.codecs.Incarnation, ir, ir.val.WithState(st))
		if err != nil {
			return false, err
		}
		err = le.table.Commit(ctx, wr)
		return err == nil, err
	})
}

// closureRows reads the closure rows that the evidence needs, and lists the
// sidecars without one.
func (le *Ledger) closureRows(ctx context.Context, inc ident.Incarnation, ev escrow.Evidence) (rows []escrow.ClosureRow, missing []ident.Incarnation, err error) {
	for _, side := range ev.Needed() {
		ro, err := loadRow(ctx, le.table, le.codecs.Closure, closureKey(inc, side))
		if err != nil {
			return nil, nil, err
		}
		if !ro.exists() {
			missing = append(missing, side)
			continue
		}
		rows = append(rows, ro.val)
	}
	return rows, missing, nil
}

// ConfirmClosure writes the closure row of a sidecar about a closed
// incarnation. An existing row is kept, because the sidecar forwards nothing
// more after it.
func (le *Ledger) ConfirmClosure(ctx context.Context, inc, side ident.Incarnation, cr escrow.ClosureRow) error {
	return retry(ctx, func() (bool, error) {
		ro, err := loadRow(ctx, le.table, le.codecs.Closure, closureKey(inc, side))
		if err != nil || ro.exists() {
			return err == nil, err
		}
		wr, err := newWrite(le.codecs.Closure, ro, cr)
		if err != nil {
			return false, err
		}
		err = le.table.Commit(ctx, wr)
		return err == nil, err
	})
}

// grantsOf lists the budgets of which the incarnation has a grant row. It scans
// all grants: only dead routers are recovered, about five a day, and an index
// would cost a write for every first draw.
func (le *Ledger) grantsOf(ctx context.Context, inc ident.Incarnation) ([]ident.BudgetRef, error) {
	var refs []ident.BudgetRef
	err := scan(ctx, le.table, "grant/", func(it store.Item) error {
		parts := strings.Split(it.Key, "/")
		if len(parts) == 4 && parts[3] == string(inc) {
			refs = append(refs, ident.BudgetRef{Account: ident.Account(parts[1]), Budget: ident.Budget(parts[2])})
		}
		return nil
	})
	return refs, err
}
