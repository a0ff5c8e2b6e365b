package budget

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// plan is a change to the rows of one holding.
type plan func(hg *holding, en escrow.Entry) (escrow.Entry, error)

// intent is a prepared commit of one holding.
type intent struct {
	writes []store.Write
	grant  row[escrow.GrantRow]
	budget escrow.BudgetRow
	// ops is the number of operations that the intent added to the issued ones.
	ops int
	// before is how the shelf opens if nothing is written.
	before opening
}

// execute carries out the plan on the current rows. The caller has the turn.
// The plan runs again after a conflict and after a lost answer, then on the
// rows that were read back.
func (hd *Holder) execute(ctx context.Context, hg *holding, pl plan) error {
	return repeat(ctx, func() (bool, error) {
		in, err := hd.prepare(ctx, hg, pl)
		if err != nil || len(in.writes) == 0 {
			return err == nil, err
		}
		err = hd.conclude(hg, in, hd.ledger.table.Commit(ctx, in.writes...))
		return err == nil, err
	})
}

// prepare reads the rows and applies the plan. An intent without writes means
// that nothing changes.
func (hd *Holder) prepare(ctx context.Context, hg *holding, pl plan) (intent, error) {
	if hg.doubt {
		if err := hd.reread(ctx, hg); err != nil {
			return intent{}, err
		}
	}
	bu, err := hd.ledger.budget(ctx, hg.ref)
	if err != nil {
		return intent{}, err
	}
	total, rev, ok := hd.opts.prepaid(hg.ref)
	if !ok && !bu.exists() {
		return intent{}, ErrUnknownBudget
	}
	bu.val = bu.val.WithPrepaid(total, rev)
	hg.seen = bu.val
	hg.usage.drained(hd.opts.clock.Now(), bu.val.Settled)
	en := escrow.Entry{Budget: bu.val, Grant: hg.grant.val}
	nx, err := pl(hg, en)
	if err != nil || nx == en {
		return intent{}, err
	}
	wb, err := put(hd.ledger.codecs.Budget, bu, nx.Budget)
	if err != nil {
		return intent{}, err
	}
	in := intent{writes: []store.Write{wb}, grant: hg.grant, budget: nx.Budget}
	return hd.encode(hg, in, en, nx)
}

// renewal is prepare for a change to the shelf, which writes the grant row and
// reads nothing unless it is in doubt.
func (hd *Holder) renewal(ctx context.Context, hg *holding, arm ident.Tokens) (intent, error) {
	if hg.doubt {
		if err := hd.reread(ctx, hg); err != nil {
			return intent{}, err
		}
	}
	en := escrow.Entry{Budget: hg.seen, Grant: hg.grant.val}
	nx, err := moved(hg, en)
	if err == nil {
		nx, err = nx.Arm(min(arm, nx.Grant.Shelf()))
	}
	if err != nil || !hg.grant.exists() {
		return intent{}, err
	}
	return hd.encode(hg, intent{grant: hg.grant, budget: hg.seen}, en, nx)
}

// encode adds the write of the grant row to the intent.
func (hd *Holder) encode(hg *holding, in intent, en, nx escrow.Entry) (intent, error) {
	in.before = hg.opening
	if nx = hd.stamp(hg, nx); nx.Grant == en.Grant {
		return in, nil
	}
	old := hg.grant
	old.key = grantKey(hg.ref, hd.inc)
	op := hd.opts.newOp()
	in.grant = row[escrow.GrantRow]{key: old.key, val: nx.Grant.WithOp(op), version: old.version + 1}
	wg, err := put(hd.ledger.codecs.Grant, old, in.grant.val)
	if err != nil {
		return intent{}, err
	}
	if nx.Grant.Closed {
		wg.Mode, wg.Value = store.Delete, nil
	}
	in.writes = append(in.writes, wg)
	if !old.exists() {
		in.writes = append(in.writes, store.Write{
			Key: incarnationKey(hd.inc), IfVersion: hd.row.Load(), Mode: store.Check,
		})
	}
	hg.issued = append(hg.issued, op)
	in.ops = 1
	return in, nil
}

// conclude records the result of a commit in the holding.
func (hd *Holder) conclude(hg *holding, in intent, err error) error {
	switch {
	case err == nil && in.grant.val.Closed:
		hg.finish()
	case err == nil:
		hg.adopt(in.grant)
		hg.seen = in.budget
	case errors.Is(err, store.ErrThrottled), errors.Is(err, store.ErrUnavailable):
		// Nothing was written, and the row is as it was known.
		hg.issued = hg.issued[:max(0, len(hg.issued)-in.ops)]
		hg.opening = in.before
	case errors.Is(err, store.ErrConflict):
		// The row that failed the condition may be the grant: an earlier commit
		// without an answer has arrived, or a recovery closed it.
		hg.doubt = true
	default:
		hg.doubt = true
		return errors.Join(store.ErrUncertain, err)
	}
	return err
}

// reread brings the holding up to date with its grant row.
func (hd *Holder) reread(ctx context.Context, hg *holding) error {
	ro, err := hd.ledger.grant(ctx, hg.ref, hd.inc)
	if err != nil {
		return err
	}
	if hg.ending && hg.grant.exists() && !ro.exists() {
		hg.finish()
	}
	if !hg.adopt(ro) {
		hd.fence()
		return escrow.ErrClosed
	}
	if !ro.exists() {
		if err := hd.checkOpen(ctx); err != nil {
			return err
		}
	}
	hg.doubt = false
	return nil
}

// checkOpen tells whether a first draw failed because this incarnation was
// closed.
func (hd *Holder) checkOpen(ctx context.Context) error {
	if phase(hd.phase.Load()) == leaving {
		return nil
	}
	ir, err := hd.ledger.incarnation(ctx, hd.inc)
	if err != nil {
		return err
	}
	if ir.version != hd.row.Load() || ir.val.State != escrow.Open {
		hd.fence()
		return escrow.ErrClosed
	}
	return nil
}

// draw grants the holding at least what it lacks for the request.
func (hd *Holder) draw(ctx context.Context, hg *holding, tokens ident.Tokens) error {
	if phase(hd.phase.Load()) != running {
		return escrow.ErrClosed
	}
	short := false
	err := hd.execute(ctx, hg, func(hg *holding, en escrow.Entry) (escrow.Entry, error) {
		short = false
		en, err := pending(hg, en)
		lack := tokens - hg.pool.Available()
		if err != nil || lack <= 0 {
			return en, err
		}
		// What the shelf has is not drawn from what is free.
		if part := min(en.Grant.Shelf(), lack); part > 0 {
			if en, err = en.Arm(part); err != nil || part == lack {
				return en, err
			}
			lack -= part
		}
		if amount := hd.opts.slicer.Slice(hd.demand(hg, lack, false, en.Budget)); amount > 0 {
			return en.Draw(amount)
		}
		short = true
		if en.Budget.Granted > en.Grant.Outstanding() {
			en.Budget = en.Budget.WithWanted(lack)
		}
		return en, nil
	})
	if err == nil && short {
		err = escrow.ErrShort
	}
	return err
}

// pending settles and returns what the pool has waiting for it.
func pending(hg *holding, en escrow.Entry) (escrow.Entry, error) {
	co := hg.pool.Counts()
	en, err := en.Settle(co.Unsettled)
	if err != nil {
		return en, err
	}
	if en, err = moved(hg, en); err != nil {
		return en, err
	}
	return en.Return(co.Returning)
}

// moved records what moved to and from the shelf.
func moved(hg *holding, en escrow.Entry) (escrow.Entry, error) {
	co := hg.pool.Counts()
	en, err := en.Arm(co.Loose)
	if err != nil {
		return en, err
	}
	return en.Shelve(co.Shelving)
}
