package budget

import (
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// unlockSchedule says when locked tokens unlock by expiry: at a constant rate over
// the span, which starts at the time until of the store's clock. Both are in
// milliseconds. It is immutable.
type unlockSchedule struct {
	until, span int64
	// slack is the time beyond the lease of the holder, in milliseconds.
	slack  int64
	locked ident.Tokens
}

func unlockScheduleOf(gr escrow.GrantRow) unlockSchedule {
	return unlockSchedule{until: gr.LockedUntil, span: gr.UnlockSpan, slack: gr.LockSlack, locked: gr.Locked()}
}

// WithWrite returns a schedule that unlocks no token earlier than the schedules
// before and after a write, because a write without a response may have taken
// effect or not.
func (us unlockSchedule) WithWrite(nx unlockSchedule) unlockSchedule {
	return unlockSchedule{
		until: max(us.until, nx.until), span: max(us.span, nx.span), slack: max(us.slack, nx.slack), locked: min(us.locked, nx.locked),
	}
}

// WithLease returns a schedule that unlocks no token before the lease of the holder
// and the slack have ended. Zero means that there is no lease.
func (us unlockSchedule) WithLease(until int64) unlockSchedule {
	if until > 0 {
		us.until = max(us.until, until+us.slack)
	}
	return us
}

// unlockedAt returns how many tokens have unlocked by expiry at the time ms.
func (us unlockSchedule) unlockedAt(ms int64) ident.Tokens {
	return escrow.UnlockedAt(us.locked, us.until, us.span, ms)
}

// unlockTime returns the time at which the given number of tokens has unlocked by
// expiry, and whether there is one.
func (us unlockSchedule) unlockTime(tokens ident.Tokens) (ms int64, ok bool) {
	if tokens > us.locked || us.locked <= 0 {
		return 0, false
	}
	return us.until + int64(float64(us.span)*float64(tokens)/float64(us.locked)) + 1, true
}
