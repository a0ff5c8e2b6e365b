package escrow

import "github.com/balsamwood/balsamwood/internal/core/ident"

// GrantRow is the ledger row of one holder for one budget. Its counters are
// cumulative, so that a settlement written twice counts once. It is immutable.
type GrantRow struct {
	Drawn    ident.Tokens `json:"drawn"`
	Settled  ident.Tokens `json:"settled"`
	Returned ident.Tokens `json:"returned"`
	// Seq numbers the writes of the holder, and Op identifies the last one.
	Seq    uint64   `json:"seq"`
	Op     ident.Op `json:"op"`
	Closed bool     `json:"closed,omitempty"`
	// LockedTotal counts the tokens that were locked.
	LockedTotal ident.Tokens `json:"shelved,omitempty"`
	// UnlockedTotal counts those of them that were unlocked again.
	UnlockedTotal ident.Tokens `json:"armed,omitempty"`
	// LockedUntil is the time, in milliseconds of the store's clock, before
	// which the holder may not use the locked tokens.
	LockedUntil int64 `json:"shelvedUntil,omitempty"`
	// UnlockSpan is the time, in milliseconds, over which the locked tokens then
	// unlock by expiry at a constant rate, unless the row is written again.
	UnlockSpan int64 `json:"shelfSpan,omitempty"`
	// LockSlack is the time, in milliseconds, by which the locked tokens stay locked
	// beyond the lease of the holder.
	LockSlack int64 `json:"lockSlack,omitempty"`
	// Era is the era of the store in which the holder wrote the row.
	Era uint64 `json:"era,omitempty"`
	// ResolvedBy names the operator who settled the grant without evidence.
	ResolvedBy ident.Operator `json:"resolvedBy,omitempty"`
}

// Outstanding returns the tokens that are drawn and neither settled nor
// returned.
func (gr GrantRow) Outstanding() ident.Tokens { return gr.Drawn - gr.Settled - gr.Returned }

// Locked returns the tokens that are locked.
func (gr GrantRow) Locked() ident.Tokens { return gr.LockedTotal - gr.UnlockedTotal }

// WithEra returns a copy that is written in the era.
func (gr GrantRow) WithEra(era uint64) GrantRow {
	gr.Era = era
	return gr
}

// WithLockedUntil returns a copy whose locked tokens unlock by expiry from the
// time at on, over the span, both in milliseconds of the store's clock.
func (gr GrantRow) WithLockedUntil(at, span int64) GrantRow {
	gr.LockedUntil, gr.UnlockSpan = at, span
	return gr
}

// WithLockSlack returns a copy whose tokens stay locked so many milliseconds beyond
// the lease of the holder.
func (gr GrantRow) WithLockSlack(ms int64) GrantRow {
	gr.LockSlack = ms
	return gr
}

// LockEnd returns the time from which on the locked tokens unlock by expiry, given
// the end of the holder's lease, or zero if it has none. All are in milliseconds
// of the store's clock.
func (gr GrantRow) LockEnd(leaseUntil int64) int64 {
	if leaseUntil == 0 {
		return gr.LockedUntil
	}
	return max(gr.LockedUntil, leaseUntil+gr.LockSlack)
}

// UnlockedAt returns how many of the locked tokens have unlocked by expiry at the
// time now. The times and the span are in milliseconds of the store's clock.
func UnlockedAt(locked ident.Tokens, until, span, now int64) ident.Tokens {
	switch past := now - until; {
	case past <= 0:
		return 0
	case past >= span:
		return locked
	default:
		return ident.Tokens(float64(locked) * float64(past) / float64(span))
	}
}

// WithOp returns a copy with the next sequence number and an operation id.
func (gr GrantRow) WithOp(op ident.Op) GrantRow {
	gr.Seq++
	gr.Op = op
	return gr
}

// WithResolvedBy returns a copy that names the operator who resolved the grant.
func (gr GrantRow) WithResolvedBy(by ident.Operator) GrantRow {
	gr.ResolvedBy = by
	return gr
}

// Entry is the pair of rows that a transition of a grant changes together. It is
// immutable.
type Entry struct {
	Budget BudgetRow
	Grant  GrantRow
}

// Draw moves free tokens of the budget to the grant.
func (en Entry) Draw(amount ident.Tokens) (Entry, error) {
	switch {
	case amount <= 0:
		return en, ErrInvalidAmount
	case en.Grant.Closed:
		return en, ErrClosed
	case amount > en.Budget.Free():
		return en, ErrInsufficient
	}
	nx := en
	nx.Grant.Drawn += amount
	nx.Budget.Granted += amount
	nx.Budget.Wanted = 0
	return nx.withHolderCount(en), nil
}

// Settle charges outstanding tokens to the budget.
func (en Entry) Settle(used ident.Tokens) (Entry, error) {
	if err := en.checkOutstanding(used); err != nil {
		return en, err
	}
	nx := en
	nx.Grant.Settled += used
	nx.Budget.Settled += used
	nx.Budget.Granted -= used
	return nx.withHolderCount(en), nil
}

// Return gives outstanding tokens back to the budget, where they are free.
func (en Entry) Return(amount ident.Tokens) (Entry, error) {
	if err := en.checkOutstanding(amount); err != nil {
		return en, err
	}
	nx := en
	nx.Grant.Returned += amount
	nx.Budget.Granted -= amount
	return nx.withHolderCount(en), nil
}

// Lock locks outstanding tokens, so that the holder may not use them.
func (en Entry) Lock(amount ident.Tokens) (Entry, error) {
	if amount < 0 {
		return en, ErrInvalidAmount
	}
	if err := en.checkOutstanding(amount + en.Grant.Locked()); err != nil {
		return en, err
	}
	en.Grant.LockedTotal += amount
	return en, nil
}

// Unlock unlocks locked tokens.
func (en Entry) Unlock(amount ident.Tokens) (Entry, error) {
	if amount < 0 || amount > en.Grant.Locked() {
		return en, ErrInvalidAmount
	}
	en.Grant.UnlockedTotal += amount
	return en, nil
}

// Reclaim frees the tokens that were still locked at the time now, given the end of
// the holder's lease, both in milliseconds of the store's clock. The holder must
// have been dead at that time, so that it cannot have used them. What had unlocked
// by expiry stays held and is locked no longer, so that a reclaim that is repeated
// frees nothing more. Nothing is freed if the holder did not write the row in the
// store's era: it may have unlocked and used since what the row shows as locked.
func (en Entry) Reclaim(now, leaseUntil int64, era uint64) (Entry, error) {
	locked := en.Grant.Locked()
	amount := locked - UnlockedAt(locked, en.Grant.LockEnd(leaseUntil), en.Grant.UnlockSpan, now)
	if en.Grant.Era < era {
		amount = 0
	}
	nx, err := en.Unlock(locked)
	if err != nil {
		return en, err
	}
	return nx.Return(amount)
}

// Close closes a grant. It returns ErrExceedsOutstanding if the grant still has
// outstanding tokens.
func (en Entry) Close() (Entry, error) {
	if en.Grant.Outstanding() != 0 {
		return en, ErrExceedsOutstanding
	}
	en.Grant.Closed = true
	return en, nil
}

// Recover closes the grant of a dead holder. used is the total that its
// requests used according to complete evidence; it includes what the holder
// settled itself. The remainder becomes free. A total above the drawn tokens
// is charged only as far as tokens are held, and the rest is reported as
// uncovered.
func (en Entry) Recover(used ident.Tokens) (nx Entry, uncovered ident.Tokens, err error) {
	if used < 0 {
		return en, 0, ErrInvalidAmount
	}
	if en.Grant.Closed {
		return en, 0, ErrClosed
	}
	charge := max(0, used-en.Grant.Settled)
	uncovered = max(0, charge-en.Grant.Outstanding())
	nx, err = en.Settle(charge - uncovered)
	if err != nil {
		return en, 0, err
	}
	if nx, err = nx.Return(nx.Grant.Outstanding()); err != nil {
		return en, 0, err
	}
	nx, err = nx.Close()
	return nx, uncovered, err
}

// Resolve closes a grant for which there is no complete evidence. An operator
// states the total use, which must not exceed the drawn tokens.
func (en Entry) Resolve(used ident.Tokens, by ident.Operator) (Entry, error) {
	nx, uncovered, err := en.Recover(used)
	if err != nil {
		return en, err
	}
	if uncovered > 0 {
		return en, ErrExceedsOutstanding
	}
	nx.Grant = nx.Grant.WithResolvedBy(by)
	return nx, nil
}

// checkOutstanding returns an error unless the grant is open and the amount is
// at most its outstanding tokens.
func (en Entry) checkOutstanding(amount ident.Tokens) error {
	switch {
	case amount < 0:
		return ErrInvalidAmount
	case en.Grant.Closed:
		return ErrClosed
	case amount > en.Grant.Outstanding():
		return ErrExceedsOutstanding
	}
	return nil
}

// withHolderCount returns a copy whose number of holders includes the change
// since old.
func (en Entry) withHolderCount(old Entry) Entry {
	was, is := old.Grant.Outstanding() > 0, en.Grant.Outstanding() > 0
	if is && !was {
		en.Budget.Holders++
	}
	if was && !is {
		en.Budget.Holders--
	}
	return en
}
