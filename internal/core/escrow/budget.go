// Package escrow holds the ledger rows of prepaid token budgets with their
// transitions, the pool of one holder, and the policies that size a grant.
//
// For every budget, prepaid = settled + held + free. Held tokens are granted
// to a holder and neither settled nor returned.
package escrow

import (
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Errors of the transitions. The row is unchanged when one is returned.
var (
	// ErrInsufficient means that the budget has fewer free tokens than were
	// requested.
	ErrInsufficient = errors.New("escrow: not enough free tokens")
	// ErrClosed means that the grant is closed.
	ErrClosed = errors.New("escrow: grant is closed")
	// ErrExceedsOutstanding means that an amount is above the outstanding tokens
	// of the grant.
	ErrExceedsOutstanding = errors.New("escrow: amount exceeds the outstanding tokens of the grant")
	// ErrInvalidAmount means that an amount is negative, zero where it must be
	// positive, or too large.
	ErrInvalidAmount = errors.New("escrow: amount out of range")
)

// BudgetRow is the ledger row of one budget. It is immutable.
type BudgetRow struct {
	Prepaid ident.Tokens `json:"prepaid"`
	Settled ident.Tokens `json:"settled"`
	// Granted is the sum of the outstanding tokens of all grants.
	Granted ident.Tokens `json:"granted"`
	// Holders counts the grants with outstanding tokens.
	Holders int `json:"holders"`
	// Wanted is the largest number of tokens that a refused request lacked since
	// the last draw. Holders that read it return the escrow that they do not
	// need.
	Wanted ident.Tokens `json:"wanted,omitempty"`
	// Revision is the revision of the configuration that set Prepaid, or zero if
	// operators top up the budget.
	Revision ident.Revision `json:"revision,omitempty"`
	// Era is the era of the store in which the row was written, or written again.
	Era uint64 `json:"era,omitempty"`
	// Known is the latest state of earlier eras that a holder has seen, and Unaccounted
	// how many of the tokens committed in it no holder has written again. It is negative
	// if holders have written more.
	Known       Committed    `json:"known,omitzero"`
	Unaccounted ident.Tokens `json:"unaccounted,omitempty"`
	// DrawsFrom is the time, in milliseconds of the store's clock, before which no tokens
	// are drawn.
	DrawsFrom int64 `json:"drawsFrom,omitempty"`
}

// Free returns the tokens that can still be granted.
func (br BudgetRow) Free() ident.Tokens { return br.Prepaid - br.committed() }

// committed returns the tokens that cannot be granted any more.
func (br BudgetRow) committed() ident.Tokens {
	return br.Settled + br.Granted + max(0, br.Unaccounted)
}

// Committed returns the committed tokens of the row, which has the version.
func (br BudgetRow) Committed(version uint64) Committed {
	return Committed{Era: br.Era, Version: version, Tokens: br.committed()}
}

// WithEra returns a copy that is written in the era.
func (br BudgetRow) WithEra(era uint64) BudgetRow {
	br.Era = era
	return br
}

// Valid reports whether no part of the balance is negative.
func (br BudgetRow) Valid() bool {
	return br.Settled >= 0 && br.Granted >= 0 && br.Free() >= 0 && br.Holders >= 0
}

// WithWanted returns a copy that records the tokens that a refused request
// lacked.
func (br BudgetRow) WithWanted(want ident.Tokens) BudgetRow {
	br.Wanted = max(br.Wanted, want)
	return br
}

// WithPrepaid returns a copy with the prepaid total of a configuration. A row
// with the total of the same or a newer configuration is returned unchanged.
func (br BudgetRow) WithPrepaid(prepaid ident.Tokens, rev ident.Revision) BudgetRow {
	if rev > br.Revision {
		br.Prepaid, br.Revision = prepaid, rev
	}
	return br
}

// TopUp adds prepaid tokens.
func (br BudgetRow) TopUp(amount ident.Tokens) (BudgetRow, error) {
	if amount <= 0 || br.Prepaid+amount < br.Prepaid {
		return br, ErrInvalidAmount
	}
	br.Prepaid += amount
	return br, nil
}

// TopUpRow marks one top-up as applied: the row exists if the amount was added
// to the budget.
type TopUpRow struct {
	Amount ident.Tokens   `json:"amount"`
	By     ident.Operator `json:"by,omitempty"`
}
