package budget

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// virtualClock is a clock that the simulation advances.
type virtualClock struct{ now time.Time }

// Now returns the virtual time.
func (vc *virtualClock) Now() time.Time { return vc.now }

// request is a request in flight.
type request struct {
	endTime           time.Time
	reservation, used ident.Tokens
	hold              budget.Hold
	// served and ideal report whether the holders and the omniscient allocator
	// accepted the request.
	served, ideal bool
}

// account counts the used and the reserved tokens of accepted requests.
type account struct{ used, reserved ident.Tokens }

func (ac account) free(prepaid ident.Tokens) ident.Tokens { return prepaid - ac.used - ac.reserved }

func (ac *account) start(rq request) { ac.reserved += rq.reservation }

func (ac *account) end(rq request) {
	ac.reserved -= rq.reservation
	ac.used += rq.used
}

// requestHeap is a min-heap of requests in flight by the time of their end.
type requestHeap []request

func (rh requestHeap) Len() int           { return len(rh) }
func (rh requestHeap) Less(i, j int) bool { return rh[i].endTime.Before(rh[j].endTime) }
func (rh requestHeap) Swap(i, j int)      { rh[i], rh[j] = rh[j], rh[i] }

// Push adds a request, as heap.Interface requires.
func (rh *requestHeap) Push(rq any) { *rh = append(*rh, rq.(request)) }

// Pop removes the last request, as heap.Interface requires.
func (rh *requestHeap) Pop() any {
	old := *rh
	rq := old[len(old)-1]
	*rh = old[:len(old)-1]
	return rq
}

func codecs() budget.Codecs {
	return budget.Codecs{
		Budget: codec.JSON[escrow.BudgetRow]{}, Grant: codec.JSON[escrow.GrantRow]{},
		TopUp: codec.JSON[escrow.TopUpRow]{}, Incarnation: codec.JSON[escrow.IncarnationRow]{},
		Closure: codec.JSON[escrow.ClosureRow]{},
	}
}
