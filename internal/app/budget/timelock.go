package budget

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	eventUnlockExpired = meter.Event{Number: 3005, Level: slog.LevelWarn, Text: "the table did not respond for the lock time, time-locked escrow is unlocked by expiry"}
	eventReclaimed     = meter.Event{Number: 3006, Level: slog.LevelInfo, Text: "time-locked escrow of a dead incarnation reclaimed"}
)

const (
	// excessFactor is the multiple of the target that is locked at once.
	excessFactor = 4
	// availableTolerance is the share of the target by which the available tokens
	// may differ from it before some are locked or unlocked.
	availableTolerance = 0.3
	// spanTolerance is the factor by which the span over which tokens unlock may
	// differ from the one that fits the rate of use, and spanInterval the time between
	// two writes for that reason.
	spanTolerance = 2
	spanInterval  = time.Second
	// excessFor is how long more than the target has to be available before it is locked,
	// because the next request often uses what the last one has released.
	excessFor = 2 * time.Second
	// shortageFor is how long less than the target has to be available before more is
	// unlocked for a budget with few requests, because the last one often releases enough
	// for the next.
	shortageFor = time.Second
	// activeFor is how long a budget counts as in use after its last request.
	activeFor = 5 * time.Second
	// maxRenewalsPerSecond is the number of grant rows that one holder writes in
	// a second to extend locks; with more budgets it writes each less often.
	maxRenewalsPerSecond = 100
	// renewIntervalPerHolder scales the time between two such writes of one row
	// with the holders of the budget, which share the write rate of its partition.
	renewIntervalPerHolder = 10 * time.Millisecond
)

// lockTiming returns the time between two writes that extend the lock of a
// holding, and the time for which its tokens stay locked after a write.
func (hd *Holder) lockTiming(hg *holding, now time.Time) (renew, lockFor time.Duration) {
	tl := hd.opts.timeLock
	renew, lockFor = tl.RenewInterval, tl.LockTime
	if hd.scarce(hg) {
		lockFor = tl.ScarceLockTime
	}
	if now.Sub(hg.usage.lastUse) > activeFor {
		renew, lockFor = tl.IdleRenewInterval, tl.IdleLockTime
	}
	if hd.opts.sharedLock {
		return renew, lockFor
	}
	minRenew := max(time.Duration(hg.budgetRow.Holders)*renewIntervalPerHolder, time.Duration(hd.index.len())*time.Second/maxRenewalsPerSecond)
	if renew >= minRenew || renew <= 0 {
		return renew, lockFor
	}
	return minRenew, time.Duration(float64(lockFor) * float64(minRenew) / float64(renew))
}

// scarce reports whether the budget will be used up soon.
func (hd *Holder) scarce(hg *holding) bool {
	left, ok := hd.timeLeft(hg)
	return ok && left < hd.opts.timeLock.ScarceBelow
}

// timeLeft returns how long the budget lasts at the recent use of all holders, and false
// while that is not known.
func (hd *Holder) timeLeft(hg *holding) (time.Duration, bool) {
	return hg.usage.timeToExhaustion(hg.budgetRow.Prepaid - hg.budgetRow.Settled)
}

// unlockSpan returns the time, in milliseconds, over which the locked tokens
// unlock by expiry.
func (tl timeLock) unlockSpan(tokens ident.Tokens, rate float64) int64 {
	span := tl.MaxUnlockSpan
	if rate > 0 {
		span = time.Duration(min(float64(tokens)/(tl.UnlockFactor*rate), span.Seconds()) * float64(time.Second))
	}
	return max(span, tl.MinUnlockSpan).Milliseconds()
}

// availableTarget returns the number of tokens that are not to be locked.
func (hd *Holder) availableTarget(hg *holding) ident.Tokens {
	if hd.scarce(hg) {
		return ident.Tokens(hg.usage.rate * hd.opts.timeLock.ScarceAvailableFor.Seconds())
	}
	low := hd.opts.headroom(hg.preference()).LowRequests * hg.usage.typical
	// A pass and a draw may follow each other before more is unlocked.
	seconds := max(hd.opts.timeLock.AvailableFor, hd.opts.flushInterval+2*hd.drawTime()).Seconds()
	return max(ident.Tokens(hg.usage.rate*seconds), low)
}

// planLock decides how many tokens are locked or unlocked. It takes those to be
// locked from the available ones, and returns how many are to be unlocked and
// whether the row is to be written.
func (hd *Holder) planLock(hg *holding, now time.Time) (unlock ident.Tokens, renew bool) {
	if _, ok := hd.opts.timeLock.clock(); !ok || !hg.grant.exists() {
		return 0, false
	}
	co, want := hg.pool.Counts(), hd.availableTarget(hg)
	tolerance := ident.Tokens(float64(want) * availableTolerance)
	excess, shortage := co.Available > want+tolerance, co.Available < want-tolerance && co.Locked > 0
	if !excess {
		hg.excessSince = now
	}
	if !shortage {
		hg.shortageSince = now
	}
	switch {
	case excess && (hd.scarce(hg) || co.Available > excessFactor*want || now.Sub(hg.excessSince) >= excessFor):
		hg.pool.LockTokens(co.Available - want)
	case shortage && (hd.frequent(hg) || now.Sub(hg.shortageSince) >= shortageFor):
		unlock = min(want-co.Available, co.Locked)
	}
	co = hg.pool.Counts()
	due := co.Locked > 0 && hd.lockDue(hg, now)
	return unlock, unlock > 0 || co.Locking > 0 || co.Unrecorded > 0 || due
}

// frequent reports whether another request is expected within the time for which tokens
// are left unlocked.
func (hd *Holder) frequent(hg *holding) bool {
	return hg.usage.rate*hd.opts.timeLock.AvailableFor.Seconds() > float64(hg.usage.typical)
}

// lockDue reports whether the grant row is to be written for its lock: to extend
// it, or, if a lease extends it, because its terms have changed.
func (hd *Holder) lockDue(hg *holding, now time.Time) bool {
	interval, lockFor := hd.lockTiming(hg, now)
	if !hd.opts.sharedLock {
		return now.Sub(hg.lockRenewed) >= interval
	}
	span, wanted := hg.grant.val.UnlockSpan, hd.opts.timeLock.unlockSpan(hg.grant.val.Locked(), hg.usage.rate)
	switch {
	case hg.grant.val.LockSlack != hd.opts.timeLock.slack(lockFor):
		return true
	case max(span, wanted) > spanTolerance*min(span, wanted):
		return now.Sub(hg.lockRenewed) >= spanInterval
	default:
		return false
	}
}

// slack returns the time, in milliseconds, by which a lock is to last longer than
// the lease.
func (tl timeLock) slack(lockFor time.Duration) int64 {
	return max(0, lockFor-tl.LockTime).Milliseconds()
}

// clock returns a lower bound of the store's clock in milliseconds, and false
// while it is not known.
func (tl timeLock) clock() (int64, bool) {
	if tl.now == nil {
		return 0, false
	}
	return tl.now()
}

// extendLock extends the time until which the locked tokens may not be used. The
// holder applies it from the moment at which the write is sent, because a write
// without a response may have taken effect.
func (hd *Holder) extendLock(hg *holding, en escrow.Entry) escrow.Entry {
	ms, ok := hd.opts.timeLock.clock()
	if !ok || en.Grant.Locked() == 0 {
		return en
	}
	now := hd.opts.clock.Now()
	_, lockFor := hd.lockTiming(hg, now)
	until, unlockSpan := ms+lockFor.Milliseconds(), hd.opts.timeLock.unlockSpan(en.Grant.Locked(), hg.usage.rate)
	en.Grant = en.Grant.WithLockedUntil(until, unlockSpan)
	if hd.opts.sharedLock {
		en.Grant = en.Grant.WithLockSlack(hd.opts.timeLock.slack(lockFor))
	}
	hg.unlockSchedule, hg.lockRenewed = hg.unlockSchedule.WithWrite(unlockScheduleOf(en.Grant)), now
	return en
}

// unlockExpired makes available what has unlocked by expiry since the last write
// that may have taken effect, and reports whether there was any. The caller
// holds the rows lock: between reading the locked tokens for a write and
// extending their lock, none may be unlocked, because a successor would reclaim
// them as unused.
func (hd *Holder) unlockExpired(hg *holding) bool {
	ms, ok := hd.opts.timeLock.clock()
	if !ok {
		return false
	}
	got := hd.lease.unlock(func(until int64) ident.Tokens {
		unlocked := hg.unlockSchedule.WithLease(until).unlockedAt(ms)
		return hg.pool.UnlockExpired(max(0, unlocked-hg.pool.Counts().Unrecorded))
	})
	if got > 0 {
		hd.opts.meter.Log(eventUnlockExpired, slog.String("budget", hg.ref.String()), slog.Int64("tokens", int64(got)),
			slog.Int64("storeMs", ms), slog.Int64("shelvedUntil", hg.unlockSchedule.until))
	}
	return got > 0
}

// unlocksIn returns the time until the given number of tokens has unlocked by
// expiry, in addition to those that the holder has made available already. It
// reports false if they never will.
func (hd *Holder) unlocksIn(hg *holding, tokens ident.Tokens) (time.Duration, bool) {
	ms, ok := hd.opts.timeLock.clock()
	at, will := hg.unlockSchedule.WithLease(hd.lease.end()).unlockTime(hg.pool.Counts().Unrecorded + tokens)
	return time.Duration(at-ms) * time.Millisecond, ok && will
}

// unlockTokens unlocks what a request lacks and, in addition, the target of
// available tokens, as far as tokens are locked, with one write of the grant
// row. The caller holds the rows lock.
func (hd *Holder) unlockTokens(ctx context.Context, hg *holding, missing ident.Tokens) error {
	return hd.executeGrant(ctx, hg, missing+hd.availableTarget(hg))
}

// errNoClock means that no response of the store has carried its clock yet.
var errNoClock = errors.New("budget: the store's clock is not known")

// Reclaim frees the time-locked escrow of an incarnation that is known to be
// dead, as far as its lock proves it to be unused, and returns how many tokens it
// freed. The incarnation draws no more grants afterwards, and its rows are
// retired. now returns a time of the store's clock, in milliseconds, at which the
// incarnation was dead. Reclaim can be repeated.
func (le *Ledger) Reclaim(ctx context.Context, inc ident.Incarnation, refs []ident.BudgetRef, now func() (int64, bool), me meter.Meter) (ident.Tokens, error) {
	if err := le.setState(ctx, inc, escrow.Closing); isRetired(err) {
		return 0, nil
	} else if err != nil {
		return 0, err
	}
	leaseUntil, err := le.leaseUntil(ctx, inc)
	if err != nil {
		return 0, err
	}
	var sum ident.Tokens
	var failed error
	for _, rf := range refs {
		var freed, held ident.Tokens
		err := le.changeGrant(ctx, rf, inc, func(en escrow.Entry) (escrow.Entry, error) {
			ms, ok := now()
			if !ok {
				return en, errNoClock
			}
			nx, err := en.Reclaim(ms, leaseUntil, le.era())
			// A repetition after a lost response frees nothing more.
			if en.Grant.Locked() > 0 {
				freed = nx.Grant.Returned - en.Grant.Returned
			}
			held = nx.Grant.Outstanding()
			return nx, err
		})
		if errors.Is(err, ErrUnknownGrant) {
			continue
		}
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		sum += freed
		me.Log(eventReclaimed, slog.String("incarnation", string(inc)), slog.String("budget", rf.String()),
			slog.Int64("freed", int64(freed)), slog.Int64("held", int64(held)))
	}
	if failed != nil {
		return sum, failed
	}
	return sum, le.Retire(ctx, inc, refs)
}
