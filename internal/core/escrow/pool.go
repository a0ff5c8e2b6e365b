package escrow

import (
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Pool is the escrow of one holder for one budget. All methods are safe for
// concurrent use and take no mutex. Its counters add up to the outstanding amount
// of the holder's grant, as Counts.Sum computes it.
type Pool struct {
	available atomic.Int64
	reserved  atomic.Int64
	unknown   atomic.Int64
	unsettled atomic.Int64
	// returning counts tokens that were taken from available or locked and whose
	// return is not yet recorded in the grant row.
	returning atomic.Int64
	// locking counts tokens that were taken from available and whose lock is not
	// yet recorded in the grant row.
	locking atomic.Int64
	locked  atomic.Int64
	// unrecorded counts tokens that were taken from locked and that the grant row
	// still counts as locked.
	unrecorded atomic.Int64
	// borrowed counts tokens that other holders lent and have charged to the
	// budget.
	borrowed atomic.Int64
}

// Counts holds the values of a pool's counters.
type Counts struct {
	Available, Reserved, Unknown, Unsettled, Returning, Locking, Locked ident.Tokens
	// Unrecorded counts tokens that were taken from the locked ones without a write
	// of the grant row. They are contained in the other counters.
	Unrecorded ident.Tokens
	// Borrowed counts tokens that other holders lent. They are contained in the
	// other counters, but not in the grant.
	Borrowed ident.Tokens
}

// Sum returns the outstanding amount that the counters add up to.
func (co Counts) Sum() ident.Tokens {
	return co.Available + co.Reserved + co.Unknown + co.Unsettled + co.Returning + co.Locking + co.Locked - co.Borrowed
}

// Unused returns the tokens that are held for later requests or are being returned.
func (co Counts) Unused() ident.Tokens { return co.Available + co.Returning + co.Locking + co.Locked }

// Counts reads the counters one after the other, not as one atomic snapshot.
func (po *Pool) Counts() Counts {
	return Counts{
		Available:  ident.Tokens(po.available.Load()),
		Reserved:   ident.Tokens(po.reserved.Load()),
		Unknown:    ident.Tokens(po.unknown.Load()),
		Unsettled:  ident.Tokens(po.unsettled.Load()),
		Returning:  ident.Tokens(po.returning.Load()),
		Locking:    ident.Tokens(po.locking.Load()),
		Locked:     ident.Tokens(po.locked.Load()),
		Unrecorded: ident.Tokens(po.unrecorded.Load()),
		Borrowed:   ident.Tokens(po.borrowed.Load()),
	}
}

// Available returns the tokens that can be reserved now.
func (po *Pool) Available() ident.Tokens { return ident.Tokens(po.available.Load()) }

// Reserve moves the tokens from available to reserved. It reports false and
// moves nothing if fewer are available.
func (po *Pool) Reserve(tokens ident.Tokens) bool {
	if tokens < 0 || !take(&po.available, int64(tokens)) {
		return false
	}
	po.reserved.Add(int64(tokens))
	return true
}

// Settle ends a reservation with its metered use and returns how many tokens it
// charges. Use above the reservation is taken from the available tokens as far
// as they suffice; the rest is not charged, because the budget has not granted
// it.
func (po *Pool) Settle(reserved, used ident.Tokens) ident.Tokens {
	used = max(0, used)
	if extra := used - reserved; extra > 0 {
		used = reserved + ident.Tokens(takeUpTo(&po.available, int64(extra)))
	}
	// Borrowed tokens are used first. They are not settled here, because the
	// lender has charged them.
	po.unsettled.Add(int64(used) - takeUpTo(&po.borrowed, int64(used)))
	po.reserved.Add(-int64(reserved))
	if rest := reserved - used; rest > 0 {
		po.available.Add(int64(rest))
	}
	return used
}

// Release ends a reservation that used nothing.
func (po *Pool) Release(reserved ident.Tokens) {
	po.reserved.Add(-int64(reserved))
	po.available.Add(int64(reserved))
}

// MarkUnknown marks a reservation as unknown: its use is not known, so that it
// stays held.
func (po *Pool) MarkUnknown(reserved ident.Tokens) {
	po.unknown.Add(int64(reserved))
	po.reserved.Add(-int64(reserved))
}

// ClearUnknown turns an unknown reservation back into an open one.
func (po *Pool) ClearUnknown(reserved ident.Tokens) {
	po.reserved.Add(int64(reserved))
	po.unknown.Add(-int64(reserved))
}

// Credit makes drawn tokens available.
func (po *Pool) Credit(drawn ident.Tokens) { po.available.Add(int64(drawn)) }

// Withdraw takes up to amount available tokens and returns how many of them are to
// be returned to the budget.
func (po *Pool) Withdraw(amount ident.Tokens) ident.Tokens {
	got := takeUpTo(&po.available, int64(amount))
	// Borrowed tokens are dropped. They cannot be returned, because the lender has
	// charged them.
	got -= takeUpTo(&po.borrowed, got)
	po.returning.Add(got)
	return ident.Tokens(got)
}

// Lend takes up to amount available tokens for use by another holder, charges
// them to this one, and returns how many it took. Tokens that are borrowed
// themselves are lent first and not charged again.
func (po *Pool) Lend(amount ident.Tokens) ident.Tokens {
	if amount <= 0 {
		return 0
	}
	got := takeUpTo(&po.available, int64(amount))
	po.unsettled.Add(got - takeUpTo(&po.borrowed, got))
	return ident.Tokens(got)
}

// Borrow makes tokens available that another holder lent.
func (po *Pool) Borrow(amount ident.Tokens) {
	po.borrowed.Add(int64(amount))
	po.available.Add(int64(amount))
}

// Reinstate makes withdrawn tokens available again after a failed return.
func (po *Pool) Reinstate(amount ident.Tokens) {
	po.returning.Add(-int64(amount))
	po.available.Add(int64(amount))
}

// Confirm removes the tokens that the grant row has recorded as settled and
// returned.
func (po *Pool) Confirm(settled, returned ident.Tokens) {
	po.unsettled.Add(-int64(settled))
	po.returning.Add(-int64(returned))
}

// LockTokens takes up to amount available tokens, without those that are borrowed,
// to be locked by the next write of the grant row.
func (po *Pool) LockTokens(amount ident.Tokens) {
	own := po.available.Load() - po.borrowed.Load()
	po.locking.Add(takeUpTo(&po.available, max(0, min(own, int64(amount)))))
}

// ConfirmLock applies the tokens that the grant row has recorded as locked and
// unlocked. What had unlocked by expiry before is not made available again.
func (po *Pool) ConfirmLock(locked, unlocked ident.Tokens) {
	po.locking.Add(-int64(locked))
	po.locked.Add(int64(locked))
	rest := int64(unlocked) - takeUpTo(&po.unrecorded, int64(unlocked))
	po.locked.Add(-rest)
	po.available.Add(rest)
}

// UnlockExpired makes up to amount locked tokens available because their lock has
// expired, without a write of the grant row, and reports how many it unlocked.
func (po *Pool) UnlockExpired(amount ident.Tokens) ident.Tokens {
	got := takeUpTo(&po.locked, int64(amount))
	po.unrecorded.Add(got)
	po.available.Add(got)
	return ident.Tokens(got)
}

// WithdrawLocked takes up to amount locked tokens for return to the budget and
// reports how many it took.
func (po *Pool) WithdrawLocked(amount ident.Tokens) ident.Tokens {
	got := takeUpTo(&po.locked, int64(amount))
	po.unrecorded.Add(got)
	po.returning.Add(got)
	return ident.Tokens(got)
}

// take subtracts n from the counter. It reports false and changes nothing if the
// counter is below n.
func take(co *atomic.Int64, n int64) bool {
	for {
		cur := co.Load()
		if cur < n {
			return false
		}
		if co.CompareAndSwap(cur, cur-n) {
			return true
		}
	}
}

// takeUpTo subtracts n from the counter, or as much as the counter has, and
// returns how much it subtracted.
func takeUpTo(co *atomic.Int64, n int64) int64 {
	for {
		cur := co.Load()
		got := min(cur, n)
		if got <= 0 {
			return 0
		}
		if co.CompareAndSwap(cur, cur-got) {
			return got
		}
	}
}
