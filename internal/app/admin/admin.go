// Package admin holds the use cases of operators: client accounts, keys,
// budgets, upstreams, services, held escrow, outcomes, and what is in force
// where.
package admin

import (
	"errors"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Errors of the use cases. Nothing was changed when one is returned.
var (
	// ErrNotFound means that the named part does not exist.
	ErrNotFound = errors.New("admin: not found")
	// ErrExists means that the part to be added exists.
	ErrExists = errors.New("admin: already exists")
	// ErrNotEmpty means that a budget still has free or held tokens.
	ErrNotEmpty = errors.New("admin: the budget still has free or held tokens")
	// ErrInUse means that another part of the configuration needs the part.
	ErrInUse = errors.New("admin: still in use")
	// ErrWrongVM means that the VM is not that of the incarnation.
	ErrWrongVM = errors.New("admin: the incarnation belongs to another VM")
	// ErrOpReused means that another operator used the op.
	ErrOpReused = errors.New("admin: the op belongs to a change of another operator")
	// ErrAmbiguous means that a key is named by digits that several keys share.
	ErrAmbiguous = errors.New("admin: several keys start with these digits")
)

// Events of administration.
var (
	evToppedUp = meter.Event{Number: 6003, Level: slog.LevelInfo, Text: "budget topped up"}
	evResolved = meter.Event{Number: 6004, Level: slog.LevelWarn, Text: "held escrow resolved by an operator"}
	evClosing  = meter.Event{Number: 6005, Level: slog.LevelWarn, Text: "incarnation closed by an operator"}
)

// Service is the set of use cases. It is safe for concurrent use.
type Service struct {
	acceptor *update.Acceptor
	ledger   *budget.Ledger
	claims   relay.Claims
	nodes    Nodes
	orders   *orders.Issuer
	met      meter.Meter
}

// Option configures a Service.
type Option func(*Service)

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(se *Service) { se.met = me } }

// WithOrders sets the use case that issues orders. By default orders are
// refused.
func WithOrders(is *orders.Issuer) Option { return func(se *Service) { se.orders = is } }

// New returns the use cases.
func New(ac *update.Acceptor, le *budget.Ledger, cl relay.Claims, no Nodes, opts ...Option) *Service {
	se := &Service{acceptor: ac, ledger: le, claims: cl, nodes: no, met: meter.Nop{}}
	for _, op := range opts {
		op(se)
	}
	return se
}

// Terms say on whose behalf and under which conditions a change is made.
type Terms struct {
	By ident.Operator
	// Op identifies the change, so that it counts once when it is sent again.
	// An empty op is replaced by a new one.
	Op ident.Op
	// Base is the revision that the operator has seen, or nil for the current
	// one. A change on another base is refused with *update.Conflict.
	Base *ident.Revision
	// DryRun checks the change without accepting it.
	DryRun bool
}

func (te Terms) withOp() Terms {
	if te.Op == "" {
		te.Op = ident.NewOp()
	}
	return te
}
