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
	// ErrShort means that the budget has fewer free tokens than were asked for.
	ErrShort = errors.New("escrow: not enough free tokens")
	// ErrClosed means that the grant is closed.
	ErrClosed = errors.New("escrow: grant is closed")
	// ErrExcess means that more tokens were settled or returned than are held.
	ErrExcess = errors.New("escrow: more than the outstanding tokens")
	// ErrAmount means that an amount is negative, or zero where it must not be.
	ErrAmount = errors.New("escrow: invalid amount")
)

// BudgetRow is the ledger row of one budget. It is immutable.
type BudgetRow struct {
	Prepaid ident.Tokens `json:"prepaid"`
	Settled ident.Tokens `json:"settled"`
	// Granted is the sum of the outstanding tokens of all grants.
	Granted ident.Tokens `json:"granted"`
	// Holders counts the grants with outstanding tokens.
	Holders int `json:"holders"`
	// Wanted is the largest worst case that was refused since the last draw.
	// Holders that see it return what they do not need.
	Wanted ident.Tokens `json:"wanted,omitempty"`
	// Revision is the configuration that Prepaid was taken from, or zero if the
	// budget is topped up by operators.
	Revision ident.Revision `json:"revision,omitempty"`
}

// Free returns the tokens that can still be granted.
func (br BudgetRow) Free() ident.Tokens { return br.Prepaid - br.Settled - br.Granted }

// Valid reports whether no part of the balance is negative.
func (br BudgetRow) Valid() bool {
	return br.Settled >= 0 && br.Granted >= 0 && br.Free() >= 0 && br.Holders >= 0
}

// WithWanted returns a copy that records an unmet demand.
func (br BudgetRow) WithWanted(want ident.Tokens) BudgetRow {
	br.Wanted = max(br.Wanted, want)
	return br
}

// WithPrepaid returns a copy with the prepaid total of a configuration. A row
// that was written under a newer configuration stays as it is.
func (br BudgetRow) WithPrepaid(prepaid ident.Tokens, rev ident.Revision) BudgetRow {
	if rev > br.Revision {
		br.Prepaid, br.Revision = prepaid, rev
	}
	return br
}

// TopUp adds prepaid tokens.
func (br BudgetRow) TopUp(amount ident.Tokens) (BudgetRow, error) {
	if amount <= 0 || br.Prepaid+amount < br.Prepaid {
		return br, ErrAmount
	}
	br.Prepaid += amount
	return br, nil
}

// TopUpRow is the marker of one top-up. Its presence means that the amount was
// added to the budget.
type TopUpRow struct {
	Amount ident.Tokens   `json:"amount"`
	By     ident.Operator `json:"by,omitempty"`
}
