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
	// shelving is taken out of available and not yet confirmed as shelved.
	shelving atomic.Int64
	shelf    atomic.Int64
	// loose was taken from the shelf and is still shelved in the grant's row.
	loose atomic.Int64
	// borrowed came from another holder, who has charged it already.
	borrowed atomic.Int64
}

// Counts is a reading of a pool's counters.
type Counts struct {
	Available, Reserved, Kept, Unsettled, Returning, Shelving, Shelf ident.Tokens
	// Loose is contained in the other counters.
	Loose ident.Tokens
	// Borrowed is contained in the other counters and not in the grant.
	Borrowed ident.Tokens
}

// Sum returns the outstanding amount that the counters add up to.
func (co Counts) Sum() ident.Tokens {
	return co.Available + co.Reserved + co.Kept + co.Unsettled + co.Returning + co.Shelving + co.Shelf - co.Borrowed
}

// Counts reads the counters one after the other.
func (po *Pool) Counts() Counts {
	return Counts{
		Available: ident.Tokens(po.available.Load()),
		Reserved:  ident.Tokens(po.reserved.Load()),
		Kept:      ident.Tokens(po.kept.Load()),
		Unsettled: ident.Tokens(po.unsettled.Load()),
		Returning: ident.Tokens(po.returning.Load()),
		Shelving:  ident.Tokens(po.shelving.Load()),
		Shelf:     ident.Tokens(po.shelf.Load()),
		Loose:     ident.Tokens(po.loose.Load()),
		Borrowed:  ident.Tokens(po.borrowed.Load()),
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
	// What was borrowed is used first, because the lender has charged it.
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
	// Borrowed tokens cannot be returned: the lender has charged them.
	got -= takeUpTo(&po.borrowed, got)
	po.returning.Add(got)
	return ident.Tokens(got)
}

// Lend charges up to amount available tokens for use by another holder.
func (po *Pool) Lend(amount ident.Tokens) ident.Tokens {
	if amount <= 0 {
		return 0
	}
	got := takeUpTo(&po.available, int64(amount))
	po.unsettled.Add(got - takeUpTo(&po.borrowed, got))
	return ident.Tokens(got)
}

// Borrow adds tokens that another holder lent.
func (po *Pool) Borrow(amount ident.Tokens) {
	po.borrowed.Add(int64(amount))
	po.available.Add(int64(amount))
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

// Shelve takes up to amount available tokens out for the shelf.
func (po *Pool) Shelve(amount ident.Tokens) {
	own := po.available.Load() - po.borrowed.Load()
	po.shelving.Add(takeUpTo(&po.available, max(0, min(own, int64(amount)))))
}

// ConfirmShelf takes over what the table has recorded as shelved and armed.
func (po *Pool) ConfirmShelf(shelved, armed ident.Tokens) {
	po.shelving.Add(-int64(shelved))
	po.shelf.Add(int64(shelved))
	rest := int64(armed) - takeUpTo(&po.loose, int64(armed))
	po.shelf.Add(-rest)
	po.available.Add(rest)
}

// Loosen makes up to amount tokens of the shelf available before the table
// knows of it.
func (po *Pool) Loosen(amount ident.Tokens) ident.Tokens {
	got := takeUpTo(&po.shelf, int64(amount))
	po.loose.Add(got)
	po.available.Add(got)
	return ident.Tokens(got)
}

// WithdrawShelf takes up to amount tokens of the shelf out for return and
// reports how many it took.
func (po *Pool) WithdrawShelf(amount ident.Tokens) ident.Tokens {
	got := takeUpTo(&po.shelf, int64(amount))
	po.loose.Add(got)
	po.returning.Add(got)
	return ident.Tokens(got)
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
