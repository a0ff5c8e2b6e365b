package escrow

import (
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Pool is the escrow of one holder for one budget. All methods are safe for
// concurrent use and take no lock. The sum of its counters is the outstanding
// amount of the holder's grant.
type Pool struct {
	available atomic.Int64
	reserved  atomic.Int64
	kept      atomic.Int64
	unsettled atomic.Int64
	// returning is taken out of available and not yet confirmed as returned.
	returning atomic.Int64
}

// Counts is a reading of a pool's counters.
type Counts struct {
	Available, Reserved, Kept, Unsettled, Returning ident.Tokens
}

// Sum returns the outstanding amount that the counters add up to.
func (co Counts) Sum() ident.Tokens {
	return co.Available + co.Reserved + co.Kept + co.Unsettled + co.Returning
}

// Counts reads the counters one after the other.
func (po *Pool) Counts() Counts {
	return Counts{
		Available: ident.Tokens(po.available.Load()),
		Reserved:  ident.Tokens(po.reserved.Load()),
		Kept:      ident.Tokens(po.kept.Load()),
		Unsettled: ident.Tokens(po.unsettled.Load()),
		Returning: ident.Tokens(po.returning.Load()),
	}
}

// Available returns the tokens that can be reserved now.
func (po *Pool) Available() ident.Tokens { return ident.Tokens(po.available.Load()) }

// Reserve takes tokens from the available ones, or nothing at all.
func (po *Pool) Reserve(tokens ident.Tokens) bool {
	if tokens < 0 || !take(&po.available, int64(tokens)) {
		return false
	}
	po.reserved.Add(int64(tokens))
	return true
}

// Settle ends a reservation with its metered use and returns what is charged.
// Use above the reservation is covered from the available tokens as far as
// they reach; the rest is not charged, because the budget has not granted it.
func (po *Pool) Settle(reserved, used ident.Tokens) ident.Tokens {
	used = max(0, used)
	if extra := used - reserved; extra > 0 {
		used = reserved + ident.Tokens(takeUpTo(&po.available, int64(extra)))
	}
	po.unsettled.Add(int64(used))
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

// Keep marks a reservation whose use is unknown. It stays held.
func (po *Pool) Keep(reserved ident.Tokens) {
	po.kept.Add(int64(reserved))
	po.reserved.Add(-int64(reserved))
}

// Unkeep turns a kept reservation back into an open one.
func (po *Pool) Unkeep(reserved ident.Tokens) {
	po.reserved.Add(int64(reserved))
	po.kept.Add(-int64(reserved))
}

// Credit adds drawn tokens.
func (po *Pool) Credit(drawn ident.Tokens) { po.available.Add(int64(drawn)) }

// Withdraw takes up to amount available tokens out for return and reports how
// many it took.
func (po *Pool) Withdraw(amount ident.Tokens) ident.Tokens {
	got := takeUpTo(&po.available, int64(amount))
	po.returning.Add(got)
	return ident.Tokens(got)
}

// Reinstate makes withdrawn tokens available again.
func (po *Pool) Reinstate(amount ident.Tokens) {
	po.returning.Add(-int64(amount))
	po.available.Add(int64(amount))
}

// Confirm removes what the table has recorded as settled and returned.
func (po *Pool) Confirm(settled, returned ident.Tokens) {
	po.unsettled.Add(-int64(settled))
	po.returning.Add(-int64(returned))
}

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
