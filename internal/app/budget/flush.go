package budget

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

const (
	// perCommit is the number of holdings in one commit, with two writes each.
	perCommit = store.MaxWrites / 2
	// holdersPerBatch scales the batch with the holders of a budget, because
	// all of them write the same budget row.
	holdersPerBatch = 16
	// lookPerHolding scales the time between two looks at a budget with the
	// budgets of the holder, so that the reads have a bound.
	lookPerHolding = 50 * time.Millisecond
)

// settleWithin is the longest time that a settlement waits for its batch.
func settleWithin(we config.Weight) time.Duration {
	if we == config.WeighOverspend {
		return 10 * time.Second
	}
	return time.Minute
}

// duty is what a pass has to do for one holding.
type duty struct {
	hg     *holding
	settle bool
	ahead  bool
	look   bool
	// renew writes the grant row for the shelf, from which arm is taken.
	renew bool
	arm   ident.Tokens
}

func (du duty) any() bool { return du.budget() || du.renew }

// budget reports whether the duty concerns the budget row.
func (du duty) budget() bool { return du.settle || du.ahead || du.look }

// Flush makes one pass over all budgets: it settles what is due, draws ahead
// for busy budgets, and returns idle escrow. What cannot be written stays for
// the next pass.
func (hd *Holder) Flush(ctx context.Context) {
	if phase(hd.phase.Load()) != running || !hd.back(ctx) {
		return
	}
	// The turns are not kept longer than a request waits for one.
	ctx, cancel := context.WithTimeout(ctx, hd.opts.drawTimeout)
	defer cancel()
	now := hd.opts.clock.Now()
	var batch []duty
	for _, hg := range hd.index.all() {
		if !hg.tryLock() {
			continue
		}
		du := hd.assess(hg, now)
		if !du.any() {
			hg.unlock()
			continue
		}
		if batch = append(batch, du); len(batch) < perCommit {
			continue
		}
		if !hd.flush(ctx, batch, now) {
			return
		}
		batch = batch[:0]
	}
	hd.flush(ctx, batch, now)
}

// assess decides what is due. The caller has the turn of the holding.
func (hd *Holder) assess(hg *holding, now time.Time) duty {
	hg.usage.observe(now, hg.requests.Load(), hg.asked.Load())
	du := duty{hg: hg}
	if !hg.grant.exists() && !hg.doubt {
		return du
	}
	us := hg.usage
	if now.Sub(us.lastUse) >= hd.opts.idleAfter {
		hg.pool.Withdraw(hg.pool.Available())
	}
	co := hg.pool.Counts()
	scale := int64(max(1, hg.seen.Holders/holdersPerBatch))
	full := us.requests-us.sent >= hd.opts.batch*scale
	aged := now.Sub(us.lastSent) >= settleWithin(hg.weight())
	du.settle = co.Returning > 0 || hg.doubt || co.Unsettled > 0 && (full || aged)
	de := hd.demand(hg, us.typical, true, hg.seen)
	du.ahead = us.lastUse.Equal(now) && de.Available < de.Low() && hd.opts.slicer.Slice(de) > 0
	every := max(hd.opts.lookEvery, time.Duration(hd.index.len())*lookPerHolding)
	if de.Tight() {
		// Other holders may be short of what is available here.
		every = time.Duration(scale) * hd.opts.tick
	}
	du.look = hg.wanted.Swap(false) || de.Available > 0 && now.Sub(us.looked) >= every
	if du.budget() {
		hg.usage.looked = now
	}
	du.arm, du.renew = hd.shelve(hg, now)
	return du
}

// flush writes one batch and gives the turns back. It reports false if the
// table does not answer, in which case the pass ends.
func (hd *Holder) flush(ctx context.Context, batch []duty, now time.Time) bool {
	defer func() {
		for _, du := range batch {
			du.hg.unlock()
		}
	}()
	err := hd.together(ctx, batch, now)
	hd.noteAway(err)
	if err == nil || hd.away.Load() {
		return err == nil
	}
	for _, du := range batch {
		err := hd.execute(ctx, du.hg, hd.planFor(du))
		if err != nil {
			hd.opts.meter.Log(eventFlush, slog.String("budget", du.hg.ref.String()), slog.Any("error", err))
		} else if du.settle {
			du.hg.usage.settled(now, du.hg.usage.requests)
		}
		if errors.Is(err, store.ErrUnavailable) {
			return false
		}
	}
	return true
}

// together writes all holdings of the batch in one commit. After any failure
// each holding is written alone.
func (hd *Holder) together(ctx context.Context, batch []duty, now time.Time) error {
	var writes []store.Write
	intents := make([]intent, len(batch))
	for no, du := range batch {
		in, err := hd.intend(ctx, du)
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
	for no, du := range batch {
		if len(intents[no].writes) > 0 {
			failed = errors.Join(failed, hd.conclude(du.hg, intents[no], err))
		}
		if err == nil && du.settle {
			du.hg.usage.settled(now, du.hg.usage.requests)
		}
	}
	return failed
}

// intend prepares the commit of one duty.
func (hd *Holder) intend(ctx context.Context, du duty) (intent, error) {
	if du.budget() {
		in, err := hd.prepare(ctx, du.hg, hd.planFor(du))
		if err != nil || len(in.writes) > 0 || !du.renew {
			return in, err
		}
	}
	return hd.renewal(ctx, du.hg, du.arm)
}

func (hd *Holder) planFor(du duty) plan {
	return func(hg *holding, en escrow.Entry) (escrow.Entry, error) {
		if en.Budget.Wanted > 0 || en.Budget.Free() < 0 {
			// A lowered total takes back what is not reserved, and pieces that
			// are too small for a request here add up elsewhere.
			hg.pool.Withdraw(hg.pool.Available())
			hg.pool.WithdrawShelf(hg.pool.Counts().Shelf)
		}
		if over := hd.opts.slicer.Excess(hd.demand(hg, hg.usage.typical, true, en.Budget)); over > 0 {
			over -= hg.pool.WithdrawShelf(over)
			hg.pool.Withdraw(over)
		}
		co := hg.pool.Counts()
		due := du.settle || du.renew || co.Returning > 0 || du.look && co.Unsettled > 0
		amount := ident.Tokens(0)
		if du.ahead && en.Budget.Wanted == 0 {
			amount = hd.opts.slicer.Slice(hd.demand(hg, hg.usage.typical, true, en.Budget))
		}
		if !due && amount <= 0 {
			return en, nil
		}
		en, err := pending(hg, en)
		if err == nil && du.arm > 0 {
			en, err = en.Arm(min(du.arm, en.Grant.Shelf()))
		}
		if err != nil || amount <= 0 {
			return en, err
		}
		return en.Draw(min(amount, en.Budget.Free()))
	}
}
