package budget

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// plan computes a change to the rows of one holding.
type plan func(hg *holding, en escrow.Entry) (escrow.Entry, error)

// intent is a prepared commit of one holding.
type intent struct {
	writes []store.Write
	grant  row[escrow.GrantRow]
	budget escrow.BudgetRow
	// ops is the number of operations that the intent added to the issued ones.
	ops int
	// budgetVersion is the version of the budget row after the commit.
	budgetVersion uint64
	// restores says that the intent writes again what an older copy of the store lacks.
	restores bool
	// scheduleBefore is the unlock schedule that applies if nothing is written.
	scheduleBefore unlockSchedule
}

// maxImmediateHolders is the number of holders of a budget above which a commit is
// not repeated at once after a conflict: the row has probably changed again.
const maxImmediateHolders = 128

// execute carries out the plan on the current rows. The caller holds the rows
// lock. After a conflict or a lost response the plan runs again, on the rows that
// the conflict returned or that were read back.
func (hd *Holder) execute(ctx context.Context, hg *holding, pl plan) error {
	return retry(ctx, func() (bool, error) {
		in, err := hd.prepare(ctx, hg, pl)
		if err == nil {
			err = hd.commit(ctx, hg, in)
		}
		if bu, ok := hd.budgetAfterConflict(hg, in, err); ok {
			// The row is current now and will not be after a pause.
			if in, err = hd.prepareOn(ctx, hg, bu, pl); err == nil {
				err = hd.commit(ctx, hg, in)
			}
		}
		return err == nil, err
	})
}

// executeGrant carries out a change to the time lock with writes of the grant row.
// The caller holds the rows lock.
func (hd *Holder) executeGrant(ctx context.Context, hg *holding, unlock ident.Tokens) error {
	if hd.outdated(hg) {
		return hd.execute(ctx, hg, planUnlock(unlock))
	}
	return retry(ctx, func() (bool, error) {
		in, err := hd.prepareGrant(ctx, hg, unlock)
		if err == nil {
			err = hd.commit(ctx, hg, in)
		}
		return err == nil, err
	})
}

// commit makes the writes of the intent, if it has any, and records the result.
func (hd *Holder) commit(ctx context.Context, hg *holding, in intent) error {
	if len(in.writes) == 0 {
		return nil
	}
	return hd.recordResult(hg, in, hd.ledger.table.Commit(ctx, in.writes...))
}

// prepare reads the rows and applies the plan. An intent without writes means
// that nothing changes.
func (hd *Holder) prepare(ctx context.Context, hg *holding, pl plan) (intent, error) {
	if hg.uncertain && !hd.outdated(hg) {
		if err := hd.reread(ctx, hg); err != nil {
			return intent{}, err
		}
	}
	bu, err := hd.ledger.budget(ctx, hg.ref)
	if err != nil {
		return intent{}, err
	}
	return hd.prepareOn(ctx, hg, bu, pl)
}

// prepareOn applies the plan to the budget row and the known grant row.
func (hd *Holder) prepareOn(ctx context.Context, hg *holding, bu row[escrow.BudgetRow], pl plan) (intent, error) {
	total, rev, ok := hd.opts.prepaid(hg.ref)
	if !ok && !bu.exists() {
		return intent{}, ErrUnknownBudget
	}
	bu.val = bu.val.WithPrepaid(total, rev)
	start := hd.observeEra(bu)
	if hd.eraOf(hg, bu) < start.era {
		return hd.prepareRestore(ctx, hg, bu, start, pl)
	}
	bu.val = bu.val.WithEra(start.era)
	hg.recordBudget(bu.val, bu.version)
	hg.era, hg.inUse = start.era, true
	hg.usage.observeSpent(hd.opts.clock.Now(), bu.val.Settled)
	en := escrow.Entry{Budget: bu.val, Grant: hg.grant.val}
	nx, err := pl(hg, en)
	if err != nil || nx == en {
		return intent{}, err
	}
	wb, err := newWrite(hd.ledger.codecs.Budget, bu, nx.Budget)
	if err != nil {
		return intent{}, err
	}
	in := intent{writes: []store.Write{wb}, grant: hg.grant, budget: nx.Budget, budgetVersion: bu.version + 1}
	return hd.addGrantWrite(hg, in, hg.grant, en.Grant, nx)
}

// prepareGrant prepares a change to the time lock. It writes only the grant row,
// and reads nothing unless the state of that row is uncertain.
func (hd *Holder) prepareGrant(ctx context.Context, hg *holding, unlock ident.Tokens) (intent, error) {
	if hg.uncertain {
		if err := hd.reread(ctx, hg); err != nil {
			return intent{}, err
		}
	}
	if hd.outdated(hg) {
		return intent{}, store.ErrConflict
	}
	en := escrow.Entry{Budget: hg.budgetRow, Grant: hg.grant.val}
	nx, err := applyLocks(hg, en)
	if err == nil {
		nx, err = nx.Unlock(min(unlock, nx.Grant.Locked()))
	}
	if err != nil || !hg.grant.exists() {
		return intent{}, err
	}
	in := intent{grant: hg.grant, budget: hg.budgetRow, budgetVersion: hg.known.Version}
	return hd.addGrantWrite(hg, in, hg.grant, en.Grant, nx)
}

// addGrantWrite adds the write of the grant row to the intent, if it changes what the
// row contains. old is the row in the table.
func (hd *Holder) addGrantWrite(hg *holding, in intent, old row[escrow.GrantRow], content escrow.GrantRow, nx escrow.Entry) (intent, error) {
	in.scheduleBefore = hg.unlockSchedule
	if nx = hd.extendLock(hg, nx); nx.Grant == content {
		return in, nil
	}
	old.key = grantKey(hg.ref, hd.inc)
	op := hd.opts.newOp()
	in.grant = row[escrow.GrantRow]{key: old.key, val: nx.Grant.WithOp(op).WithEra(nx.Budget.Era), version: old.version + 1}
	wg, err := newWrite(hd.ledger.codecs.Grant, old, in.grant.val)
	if err != nil {
		return intent{}, err
	}
	if nx.Grant.Closed {
		wg.Mode, wg.Value = store.Delete, nil
	}
	if old.exists() || wg.Mode != store.Delete {
		in.writes = append(in.writes, wg)
	}
	if !old.exists() && !hd.opts.uncheckedDraws {
		in.writes = append(in.writes, store.Write{
			Key: incarnationKey(hd.inc), IfVersion: hd.row.Load(), Mode: store.Check,
		})
	}
	hg.issued = append(hg.issued, op)
	in.ops = 1
	return in, nil
}

// recordResult records the result of a commit in the holding.
func (hd *Holder) recordResult(hg *holding, in intent, err error) error {
	switch {
	case err == nil && in.grant.val.Closed:
		hg.recordDeletion()
	case err == nil && in.restores:
		hg.record(in.grant)
		hg.recordBudget(in.budget, in.budgetVersion)
		hg.era, hg.inUse, hg.uncertain = in.budget.Era, true, false
	case err == nil:
		hg.applyRow(in.grant)
		hg.recordBudget(in.budget, in.budgetVersion)
	case errors.Is(err, store.ErrThrottled), errors.Is(err, store.ErrUnavailable), hd.onlyBudgetChanged(hg, in, err):
		// Nothing was written, so the grant row is as it was known.
		hg.issued = hg.issued[:max(0, len(hg.issued)-in.ops)]
		hg.unlockSchedule = in.scheduleBefore
	case errors.Is(err, store.ErrConflict):
		// The row that failed the condition may be the grant row: an earlier commit
		// without a response may have taken effect, or a recovery closed the grant.
		hg.uncertain = true
	default:
		hg.uncertain = true
		return errors.Join(store.ErrUncertain, err)
	}
	return err
}

// onlyBudgetChanged reports whether the error is a conflict whose rows prove that
// the grant row, and the row of the incarnation if it was checked, are as they were
// known. With very many holders it does not look: the time to read the rows again
// keeps them from writing at the same moment.
func (hd *Holder) onlyBudgetChanged(hg *holding, in intent, err error) bool {
	var co *store.Conflict
	if !errors.As(err, &co) || hg.budgetRow.Holders > maxImmediateHolders {
		return false
	}
	if _, returned := co.Item(budgetKey(hg.ref)); !returned {
		return false
	}
	grant, exists := co.Item(in.grant.key)
	if !exists && !hg.grant.exists() {
		own, _ := co.Item(incarnationKey(hd.inc))
		return hd.opts.uncheckedDraws || own.Version == hd.row.Load()
	}
	return exists && grant.Version == hg.grant.version
}

// budgetAfterConflict returns the budget row that a conflict returned, if nothing
// else has changed.
func (hd *Holder) budgetAfterConflict(hg *holding, in intent, err error) (row[escrow.BudgetRow], bool) {
	ro := row[escrow.BudgetRow]{key: budgetKey(hg.ref)}
	var co *store.Conflict
	if !errors.As(err, &co) || !hd.onlyBudgetChanged(hg, in, err) {
		return ro, false
	}
	item, _ := co.Item(ro.key)
	val, err := hd.ledger.codecs.Budget.Decode(item.Value)
	ro.val, ro.version = val, item.Version
	return ro, err == nil
}

// reread brings the holding up to date with its grant row.
func (hd *Holder) reread(ctx context.Context, hg *holding) error {
	ro, err := hd.ledger.grant(ctx, hg.ref, hd.inc)
	if err != nil || hd.outdated(hg) {
		// In a new era the grant is written as it is known.
		return err
	}
	if hg.closing && hg.grant.exists() && !ro.exists() {
		hg.recordDeletion()
	}
	if !hg.applyRow(ro) {
		hd.fence()
		return escrow.ErrClosed
	}
	if !ro.exists() {
		if err := hd.checkOpen(ctx); err != nil {
			return err
		}
	}
	hg.uncertain = false
	return nil
}

// checkOpen returns an error and fences the holder if a first draw failed because
// this incarnation was closed.
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

// draw gets at least the tokens that the holding lacks for the request: from its
// locked tokens, and for the rest from the free tokens of the budget.
func (hd *Holder) draw(ctx context.Context, hg *holding, tokens ident.Tokens) error {
	if phase(hd.phase.Load()) != running {
		return escrow.ErrClosed
	}
	short, restoring := false, false
	err := hd.execute(ctx, hg, func(hg *holding, en escrow.Entry) (escrow.Entry, error) {
		short, restoring = false, false
		en, err := applyPending(hg, en)
		missing, wanted := tokens-hg.pool.Available(), hg.wanted(tokens)
		if err != nil || missing <= 0 {
			return en, err
		}
		hd.startWork(hg, 1, true)
		// Locked tokens are unlocked first, so that less is drawn from what is
		// free.
		if part := min(en.Grant.Locked(), wanted); part > 0 {
			if en, err = en.Unlock(part); err != nil || part == wanted {
				return en, err
			}
			missing, wanted = missing-part, wanted-part
		}
		if !hd.mayDraw(en.Budget) {
			restoring = missing > 0
			return en, nil
		}
		if amount := hd.drawSize(hg, en.Budget, missing, wanted); amount > 0 {
			return en.Draw(amount)
		}
		if missing <= 0 {
			return en, nil
		}
		short = true
		if en.Budget.Granted > en.Grant.Outstanding() {
			en.Budget = en.Budget.WithWanted(missing)
		}
		return en, nil
	})
	switch {
	case err == nil && restoring:
		return errRestoring
	case err == nil && short:
		return escrow.ErrInsufficient
	}
	return err
}

// applyPending settles and returns what the pool has marked for it, and records
// what was locked and unlocked.
func applyPending(hg *holding, en escrow.Entry) (escrow.Entry, error) {
	co := hg.pool.Counts()
	en, err := en.Settle(co.Unsettled)
	if err != nil {
		return en, err
	}
	if en, err = applyLocks(hg, en); err != nil {
		return en, err
	}
	return en.Return(co.Returning)
}

// applyLocks records what was locked, and what was taken from the locked tokens
// without a write.
func applyLocks(hg *holding, en escrow.Entry) (escrow.Entry, error) {
	co := hg.pool.Counts()
	en, err := en.Unlock(co.Unrecorded)
	if err != nil {
		return en, err
	}
	return en.Lock(co.Locking)
}
