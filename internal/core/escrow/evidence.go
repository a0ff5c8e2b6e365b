package escrow

import (
	"slices"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// State is the state of an incarnation.
type State string

const (
	// Open means that the incarnation may draw grants.
	Open State = "open"
	// Closing means that the incarnation may draw no more grants and that some
	// of its escrow may still be held.
	Closing State = "closing"
	// Closed means that the incarnation has ended. Grants whose use is not
	// proved can still be held.
	Closed State = "closed"
)

// IncarnationRow describes one start of one router.
type IncarnationRow struct {
	VM     ident.VM     `json:"vm"`
	Domain ident.Domain `json:"domain"`
	// Opened is the time of the start in Unix milliseconds.
	Opened int64 `json:"opened"`
	State  State `json:"state"`
	// Address is the address of the router, or empty if it is not known.
	Address string `json:"address,omitempty"`
	// PeerAddress is the address at which other routers request the return of
	// unused escrow, or empty if the router takes no such requests.
	PeerAddress string `json:"peerAddress,omitempty"`
}

// WithState returns a copy in the given state.
func (ir IncarnationRow) WithState(st State) IncarnationRow {
	ir.State = st
	return ir
}

// Use is the total number of tokens used from one budget.
type Use struct {
	Account ident.Account `json:"account"`
	Budget  ident.Budget  `json:"budget"`
	Tokens  ident.Tokens  `json:"tokens"`
}

// ClosureRow is the evidence of one sidecar about a closed incarnation: the
// sidecar forwards no more work of the incarnation, and the work that it
// forwarded used these tokens.
type ClosureRow struct {
	Used []Use `json:"used,omitempty"`
}

// Total returns the tokens used from the budget.
func (cr ClosureRow) Total(rf ident.BudgetRef) ident.Tokens {
	var sum ident.Tokens
	for _, us := range cr.Used {
		if us.Account == rf.Account && us.Budget == rf.Budget {
			sum += us.Tokens
		}
	}
	return sum
}

// WitnessRow is the evidence that a sidecar may have run work of an
// incarnation. The sidecar writes it before the first work, on the condition
// that the incarnation is open, so that no witness is added after the closure.
type WitnessRow struct {
	VM ident.VM `json:"vm"`
}

// Evidence names the sidecars whose closure rows are needed to recover an
// incarnation. A sidecar is identified by its own incarnation, because a
// restarted sidecar no longer knows the usage from before. Evidence that names
// no sidecar proves nothing, unless it is marked as complete.
type Evidence struct {
	needed   []ident.Incarnation
	gone     []ident.Incarnation
	complete bool
}

// WithComplete returns a copy that is marked as complete: the named sidecars are
// proved to be all that can have had work of the incarnation, even if none is
// named.
func (ev Evidence) WithComplete() Evidence {
	ev.complete = true
	return ev
}

// WithSidecar returns a copy that needs the sidecar's closure row.
func (ev Evidence) WithSidecar(side ident.Incarnation) Evidence {
	if !slices.Contains(ev.needed, side) {
		ev.needed = append(slices.Clone(ev.needed), side)
	}
	return ev
}

// WithGone returns a copy in which the sidecar is proved to have ended without
// ever having had a link with the incarnation, so that its closure row is not
// needed.
func (ev Evidence) WithGone(side ident.Incarnation) Evidence {
	ev = ev.WithSidecar(side)
	ev.gone = append(slices.Clone(ev.gone), side)
	return ev
}

// Empty reports whether the evidence proves nothing.
func (ev Evidence) Empty() bool { return len(ev.needed) == 0 && !ev.complete }

// Needed returns the sidecars whose closure rows are needed.
func (ev Evidence) Needed() []ident.Incarnation {
	return slices.DeleteFunc(slices.Clone(ev.needed), func(it ident.Incarnation) bool {
		return slices.Contains(ev.gone, it)
	})
}

// Statement is the usage report that an incarnation makes at its end: it used
// these totals and uses nothing more.
type Statement struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Used        []Use             `json:"used"`
}
