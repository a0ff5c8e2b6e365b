package budget

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

const (
	// holdingsPerCommit is the number of holdings in one commit, with two writes
	// each.
	holdingsPerCommit = store.MaxWrites / 2
	// holdersPerBatch scales the batch with the holders of a budget, because
	// all of them write the same budget row.
	holdersPerBatch = 16
	// readIntervalPerHolding scales the time between two reads of a budget row
	// with the number of budgets of the holder, to bound the rate of reads.
	readIntervalPerHolding = 50 * time.Millisecond
	// maxReadInterval is the longest time between two reads of a budget row because much
	// of the budget is left.
	maxReadInterval = 8 * time.Second
	// scarceReadPerHolder scales the time between two reads of the row of a budget
	// whose free tokens are few with its holders, so that all of them together read
	// and settle it at most 25 times a second. Each settlement of one holder can make
	// those of others fail.
	scarceReadPerHolder = 40 * time.Millisecond
)

// maxSettleDelay is the longest time that a settlement waits for its batch.
func maxSettleDelay(pr config.Preference) time.Duration {
	if pr == config.AvoidOverspend {
		return 10 * time.Second
	}
	return time.Minute
}

// flushTask is the work of one pass for one holding.
type flushTask struct {
	hg         *holding
	settle     bool
	prefetch   bool
	readBudget bool
	// renewLock means that the grant row is written to extend the lock.
	renewLock bool
	// unlock is the number of tokens that the write unlocks.
	unlock ident.Tokens
}

// any reports whether there is anything to do.
func (ft flushTask) any() bool { return ft.usesBudgetRow() || ft.renewLock }

// usesBudgetRow reports whether the task reads the budget row.
func (ft flushTask) usesBudgetRow() bool { return ft.settle || ft.prefetch || ft.readBudget }

// Flush makes one pass over all budgets: it settles what is due, draws escrow in
// advance for busy budgets, and returns idle escrow. What cannot be written is
// tried again in the next pass.
func (hd *Holder) Flush(ctx context.Context) {
	if phase(hd.phase.Load()) != running || !hd.tableReachable(ctx) {
		return
	}
	hd.reopen(ctx)
	// The rows locks are held no longer than for a draw.
	ctx, cancel := context.WithTimeout(ctx, hd.workTimeout())
	defer cancel()
	now := hd.opts.clock.Now()
	hd.measureUnused()
	var batch, alone []flushTask
	for _, hg := range hd.index.all() {
		if !hg.tryLockRows() {
			continue
		}
		ft := hd.planTask(hg, now)
		switch {
		case !ft.any():
			hg.unlockRows()
			continue
		case hd.opts.flushParallelism > 0:
			alone = append(alone, ft)
			continue
		}
		if batch = append(batch, ft); len(batch) < holdingsPerCommit {
			continue
		}
		if !hd.flushBatch(ctx, batch, now) {
			return
		}
		batch = batch[:0]
	}
	hd.flushBatch(ctx, batch, now)
	hd.flushEach(ctx, alone, now)
}

// maxMeasuredAccounts is the number of budgets up to which what is held and not used is
// measured for each.
const maxMeasuredAccounts = 64

// measureUnused records how many tokens are held and neither used nor reserved.
func (hd *Holder) measureUnused() {
	hgs := hd.index.all()
	var sum ident.Tokens
	for _, hg := range hgs {
		unused := hg.pool.Counts().Unused()
		if sum += unused; len(hgs) <= maxMeasuredAccounts {
			hd.opts.meter.Gauge("heldUnusedByAccount", "account", string(hg.ref.Account), float64(unused))
		}
	}
	hd.opts.meter.Gauge("heldUnused", "", "", float64(sum))
}

// flushEach writes each holding in a commit of its own, several at the same time,
// and releases its rows lock. Requests that wait for the escrow of one budget do
// not wait for the calls of others, and a conflict repeats one commit only.
func (hd *Holder) flushEach(ctx context.Context, tasks []flushTask, now time.Time) {
	var next atomic.Int64
	var group sync.WaitGroup
	for range min(hd.opts.flushParallelism, len(tasks)) {
		group.Go(func() {
			for no := int(next.Add(1)) - 1; no < len(tasks); no = int(next.Add(1)) - 1 {
				hd.flushAlone(ctx, tasks[no], now)
				tasks[no].hg.unlockRows()
			}
		})
	}
	group.Wait()
}

// flushAlone writes one holding, unless the table does not respond. It reports
// false if the table is unavailable.
func (hd *Holder) flushAlone(ctx context.Context, ft flushTask, now time.Time) bool {
	if hd.table.down() {
		return false
	}
	err := hd.executeTask(ctx, ft)
	if err != nil {
		hd.opts.meter.Log(eventFlushFailed, slog.String("budget", ft.hg.ref.String()), slog.Any("error", err))
	} else if ft.settle {
		ft.hg.usage.recordSettlement(now, ft.hg.usage.requests)
	}
	return !errors.Is(err, store.ErrUnavailable)
}

// executeTask carries out the task on the current rows.
func (hd *Holder) executeTask(ctx context.Context, ft flushTask) error {
	hd.startWork(ft.hg, callsPerDraw, true)
	if ft.usesBudgetRow() || hd.opts.flushParallelism == 0 {
		return hd.execute(ctx, ft.hg, hd.planFor(ft))
	}
	return hd.executeGrant(ctx, ft.hg, ft.unlock)
}

// planTask decides what is due. The caller holds the rows lock of the holding.
func (hd *Holder) planTask(hg *holding, now time.Time) flushTask {
	hg.usage.observe(now, hg.requests.Load(), hg.requestedTokens.Load(), hd.opts.averagedUse)
	ft := flushTask{hg: hg}
	if hd.outdated(hg) {
		ft.settle = true
		return ft
	}
	if !hg.grant.exists() && !hg.uncertain {
		return ft
	}
	us := hg.usage
	if now.Sub(us.lastUse) >= hd.opts.idleAfter {
		hg.pool.Withdraw(hg.pool.Available())
	}
	co := hg.pool.Counts()
	scale := int64(max(1, hg.budgetRow.Holders/holdersPerBatch))
	full := us.requests-us.settledRequests >= hd.opts.settleBatch*scale
	aged := now.Sub(us.lastSettled) >= maxSettleDelay(hg.preference())
	ft.settle = co.Returning > 0 || hg.uncertain || co.Unsettled > 0 && (full || aged)
	de := hd.demand(hg, us.typical, true, hg.budgetRow)
	ft.prefetch = us.lastUse.Equal(now) && de.Available < de.PrefetchThreshold() && hd.opts.grantSizer.GrantSize(de) > 0
	interval := hd.readInterval(hg)
	if de.ShareBelowRequest() {
		// Other holders may be short of what is available here.
		interval = max(hd.opts.flushInterval, time.Duration(hg.budgetRow.Holders)*scarceReadPerHolder)
	}
	ft.readBudget = hg.wantedByOthers.Swap(false) || de.Available > 0 && now.Sub(us.lastRead) >= interval
	if ft.usesBudgetRow() {
		hg.usage.lastRead = now
	}
	ft.unlock, ft.renewLock = hd.planLock(hg, now)
	return ft
}

// readInterval returns the longest time between two reads of the budget row while the
// holder has unused tokens. Half of the time until the budget becomes scarce leaves enough
// for use that others have not settled yet.
func (hd *Holder) readInterval(hg *holding) time.Duration {
	interval := max(hd.opts.readInterval, time.Duration(hd.index.len())*readIntervalPerHolding)
	left, ok := hd.timeLeft(hg)
	if br := hg.budgetRow; !ok || 2*br.Free() < br.Granted {
		// The free tokens may be used up long before the budget is.
		return interval
	}
	return max(interval, min((left-hd.opts.timeLock.ScarceBelow)/2, maxReadInterval))
}

// flushBatch writes one batch and releases the rows locks. It reports false if
// the table does not respond, in which case the pass ends.
func (hd *Holder) flushBatch(ctx context.Context, batch []flushTask, now time.Time) bool {
	defer func() {
		for _, ft := range batch {
			ft.hg.unlockRows()
		}
	}()
	err := hd.commitBatch(ctx, batch, now)
	if err == nil || hd.table.down() {
		return err == nil
	}
	for _, ft := range batch {
		if !hd.flushAlone(ctx, ft, now) {
			return false
		}
	}
	return true
}

// commitBatch writes all holdings of the batch in one commit. After any failure
// each holding is written alone.
func (hd *Holder) commitBatch(ctx context.Context, batch []flushTask, now time.Time) error {
	var writes []store.Write
	intents := make([]intent, len(batch))
	for no, ft := range batch {
		in, err := hd.prepareTask(ctx, ft)
		if err != nil {
			return err
		}
		intents[no] = in
		writes = append(writes, in.writes...)
	}
	var err error
	if len(writes) > 0 {
		err = hd.ledger.table.Commit(ctx, writes...)
	}
	var failed error
	for no, ft := range batch {
		if len(intents[no].writes) > 0 {
			failed = errors.Join(failed, hd.recordResult(ft.hg, intents[no], err))
		}
		if err == nil && ft.settle {
			ft.hg.usage.recordSettlement(now, ft.hg.usage.requests)
		}
	}
	return failed
}

// prepareTask prepares the commit of one task.
func (hd *Holder) prepareTask(ctx context.Context, ft flushTask) (intent, error) {
	if ft.usesBudgetRow() {
		in, err := hd.prepare(ctx, ft.hg, hd.planFor(ft))
		if err != nil || len(in.writes) > 0 || !ft.renewLock {
			return in, err
		}
	}
	return hd.prepareGrant(ctx, ft.hg, ft.unlock)
}

// planFor returns the plan that carries out the task.
func (hd *Holder) planFor(ft flushTask) plan {
	return func(hg *holding, en escrow.Entry) (escrow.Entry, error) {
		if en.Budget.Wanted > 0 || en.Budget.Free() < 0 {
			// If the prepaid total was lowered, everything that is not reserved is
			// returned. If a request was refused, amounts that are too small for a
			// request at each holder add up to enough for one.
			hg.pool.Withdraw(hg.pool.Available())
			hg.pool.WithdrawLocked(hg.pool.Counts().Locked)
		}
		if excess := hd.opts.grantSizer.Excess(hd.demand(hg, hg.usage.typical, true, en.Budget)); excess > 0 {
			excess -= hg.pool.WithdrawLocked(excess)
			hg.pool.Withdraw(excess)
		}
		co := hg.pool.Counts()
		due := ft.settle || ft.renewLock || co.Returning > 0 || ft.readBudget && co.Unsettled > 0
		amount := ident.Tokens(0)
		if ft.prefetch && en.Budget.Wanted == 0 && hd.mayDraw(en.Budget) {
			amount = hd.opts.grantSizer.GrantSize(hd.demand(hg, hg.usage.typical, true, en.Budget))
		}
		if !due && amount <= 0 {
			return en, nil
		}
		en, err := applyPending(hg, en)
		if err == nil && ft.unlock > 0 {
			en, err = en.Unlock(min(ft.unlock, en.Grant.Locked()))
		}
		if err != nil || amount <= 0 {
			return en, err
		}
		return en.Draw(min(amount, en.Budget.Free()))
	}
}
