package orders

import (
	"errors"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// Errors of Issuer and Slots. Nothing was ordered or freed when one is returned.
var (
	// ErrInvalidKind means that the kind of the order is not known or its
	// subject is empty.
	ErrInvalidKind = errors.New("orders: the kind must be loadModel, loadAdapter or changeRole, and the subject must not be empty")
	// ErrNoLink means that this router has no link to the upstream.
	ErrNoLink = errors.New("orders: this router has no link to the upstream, use another router")
	// ErrOpReused means that a different order has used the op.
	ErrOpReused = errors.New("orders: the op belongs to a different order")
	// ErrNotHeld means that the slot is not held by the named upstream.
	ErrNotHeld = errors.New("orders: the slot is not held by the upstream")
)

// ConflictError means that another order was issued first or is still in progress.
// No fencing number was assigned to the refused order.
type ConflictError struct {
	Upstream ident.Upstream
	Existing Entry
}

// Error describes the conflicting order.
func (co *ConflictError) Error() string {
	ex := co.Existing
	return fmt.Sprintf("orders: conflict at upstream %s with order %d (%s %s, %s) of %s",
		co.Upstream, ex.Fence, ex.Kind, ex.Subject, ex.State, ex.By)
}

// NoSlotError means that all slots for loads from the weight store are held.
type NoSlotError struct{ Held []Slot }

// Error lists the holders of the slots.
func (ns *NoSlotError) Error() string {
	text := "orders: all slots for loads are held:"
	for _, sl := range ns.Held {
		text += fmt.Sprintf(" %d by %s (order %d)", sl.Number, sl.Upstream, sl.Fence)
	}
	return text
}

// FailedError means that an order has a fencing number, but was refused or may not
// have been executed.
type FailedError struct {
	Entry   Entry
	Refusal *refuse.Refusal
}

// Error returns the fencing number, the state and the detail of the order.
func (fa *FailedError) Error() string {
	return fmt.Sprintf("orders: order %d is %s: %s", fa.Entry.Fence, fa.Entry.State, fa.Entry.Detail)
}

// Unwrap returns the refusal.
func (fa *FailedError) Unwrap() error { return fa.Refusal }
