package orders

import (
	"errors"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// Errors of the use case. Nothing was ordered when one is returned.
var (
	// ErrKind means that the kind of the order is not known.
	ErrKind = errors.New("orders: the kind is loadModel, loadAdapter or changeRole, and the subject is not empty")
	// ErrNoLink means that this router has no link to the upstream.
	ErrNoLink = errors.New("orders: this router has no link to the upstream, use another router")
	// ErrOpReused means that the op belongs to another order.
	ErrOpReused = errors.New("orders: the op belongs to another order")
	// ErrNotHeld means that the slot is not held by the named upstream.
	ErrNotHeld = errors.New("orders: the slot is not held by the upstream")
)

// Conflict means that another order was faster or is still in progress. The
// refused order took no number.
type Conflict struct {
	Upstream ident.Upstream
	Winner   Entry
}

// Error names the winner.
func (co *Conflict) Error() string {
	wi := co.Winner
	return fmt.Sprintf("orders: upstream %s has order %d (%s %s, %s) of %s",
		co.Upstream, wi.Fence, wi.Kind, wi.Subject, wi.State, wi.By)
}

// NoSlot means that all slots for loads are held.
type NoSlot struct{ Held []Slot }

// Error names the holders.
func (ns *NoSlot) Error() string {
	text := "orders: all slots for loads are held:"
	for _, sl := range ns.Held {
		text += fmt.Sprintf(" %d by %s (order %d)", sl.Number, sl.Upstream, sl.Fence)
	}
	return text
}

// Failed is an order that has a number but was not carried out for certain.
type Failed struct {
	Entry   Entry
	Refusal *refuse.Refusal
}

// Error names the fencing number and the outcome.
func (fa *Failed) Error() string {
	return fmt.Sprintf("orders: order %d is %s: %s", fa.Entry.Fence, fa.Entry.State, fa.Entry.Detail)
}

// Unwrap returns the refusal.
func (fa *Failed) Unwrap() error { return fa.Refusal }
