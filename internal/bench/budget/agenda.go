package budget

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// virtual is a clock that the simulation moves.
type virtual struct{ now time.Time }

// Now returns the virtual time.
func (vi *virtual) Now() time.Time { return vi.now }

// running is a request that is being served.
type running struct {
	ends        time.Time
	worst, used ident.Tokens
	hold        budget.Hold
	// served and ideal say whether the holders and the omniscient allocator
	// accepted the request.
	served, ideal bool
}

// account counts the tokens of accepted requests.
type account struct{ used, reserved ident.Tokens }

func (ac account) free(prepaid ident.Tokens) ident.Tokens { return prepaid - ac.used - ac.reserved }

func (ac *account) begin(it running) { ac.reserved += it.worst }

func (ac *account) end(it running) {
	ac.reserved -= it.worst
	ac.used += it.used
}

type agenda []running

func (ag agenda) Len() int           { return len(ag) }
func (ag agenda) Less(i, j int) bool { return ag[i].ends.Before(ag[j].ends) }
func (ag agenda) Swap(i, j int)      { ag[i], ag[j] = ag[j], ag[i] }

// Push adds a request, as heap.Interface requires.
func (ag *agenda) Push(it any) { *ag = append(*ag, it.(running)) }

// Pop removes the last request, as heap.Interface requires.
func (ag *agenda) Pop() any {
	old := *ag
	it := old[len(old)-1]
	*ag = old[:len(old)-1]
	return it
}

func codecs() budget.Codecs {
	return budget.Codecs{
		Budget: codec.JSON[escrow.BudgetRow]{}, Grant: codec.JSON[escrow.GrantRow]{},
		TopUp: codec.JSON[escrow.TopUpRow]{}, Incarnation: codec.JSON[escrow.IncarnationRow]{},
		Closure: codec.JSON[escrow.ClosureRow]{},
	}
}
