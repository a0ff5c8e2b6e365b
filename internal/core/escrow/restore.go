package escrow

import (
	"cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Committed is how many tokens of a budget were settled, granted or unaccounted for in
// one state of its row. The state is named by the era of the store and the version of
// the row.
type Committed struct {
	Era     uint64       `json:"era,omitempty"`
	Version uint64       `json:"version,omitempty"`
	Tokens  ident.Tokens `json:"tokens,omitempty"`
}

// After reports whether the state comes after the other one.
func (co Committed) After(other Committed) bool {
	return cmp.Or(cmp.Compare(co.Era, other.Era), cmp.Compare(co.Version, other.Version)) > 0
}

// Restoration is what a holder knows about a budget when the store has returned from an
// older copy, whose rows lack what was written since.
type Restoration struct {
	// Era is the store's era, and Version the version of the budget row in it.
	Era     uint64
	Version uint64
	// Known is the latest state of the budget row that the holder has seen before, and
	// Grant the holder's own row.
	Known Committed
	Grant GrantRow
	// DrawsFrom is the time, in milliseconds of the store's clock, before which no tokens
	// are drawn, so that all holders can write first what the copy lacks.
	DrawsFrom int64
}

// Restore writes again what the copy lacks: the holder's own grant, and the tokens that
// the latest known state had committed beyond all that holders have written again. The
// latter belong to holders that have ended or cannot write, and count as spent until
// these write them. Each holder calls it once in an era, in any order.
func (en Entry) Restore(rs Restoration) Entry {
	nx := en
	if bu := en.Budget; bu.Era < rs.Era {
		nx.Budget.Known = bu.Committed(rs.Version)
		nx.Budget.Unaccounted = max(0, bu.Unaccounted)
		nx.Budget.Era, nx.Budget.DrawsFrom = rs.Era, rs.DrawsFrom
	}
	if rs.Known.After(nx.Budget.Known) {
		nx.Budget.Unaccounted += rs.Known.Tokens - nx.Budget.Known.Tokens
		nx.Budget.Known = rs.Known
	}
	lost := (rs.Grant.Drawn - rs.Grant.Returned) - (en.Grant.Drawn - en.Grant.Returned)
	nx.Budget.Unaccounted -= lost
	nx.Budget.Settled += rs.Grant.Settled - en.Grant.Settled
	nx.Budget.Granted += rs.Grant.Outstanding() - en.Grant.Outstanding()
	nx.Grant = rs.Grant
	return nx.withHolderCount(en)
}
