// Package admin implements the operations of operators on client accounts, API
// keys, budgets, upstreams, services, orders to model engines, held escrow,
// outcomes, and the state of the routers.
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

// Errors of Service. Nothing was changed when one is returned.
var (
	// ErrNotFound means that the named object does not exist.
	ErrNotFound = errors.New("admin: not found")
	// ErrExists means that the object to be added already exists.
	ErrExists = errors.New("admin: already exists")
	// ErrNotEmpty means that a budget still has free or held tokens.
	ErrNotEmpty = errors.New("admin: the budget still has free or held tokens")
	// ErrInUse means that another object of the configuration refers to the
	// object to be removed.
	ErrInUse = errors.New("admin: still in use")
	// ErrWrongVM means that the incarnation runs on a different VM than named.
	ErrWrongVM = errors.New("admin: the incarnation belongs to another VM")
	// ErrOpReused means that another operator used the op.
	ErrOpReused = errors.New("admin: the op belongs to a change of another operator")
	// ErrAmbiguous means that the hashes of several keys start with the given
	// digits.
	ErrAmbiguous = errors.New("admin: several keys start with these digits")
)

// Events of administration.
var (
	evToppedUp          = meter.Event{Number: 6003, Level: slog.LevelInfo, Text: "budget topped up"}
	evResolved          = meter.Event{Number: 6004, Level: slog.LevelWarn, Text: "held escrow resolved by an operator"}
	evIncarnationClosed = meter.Event{Number: 6005, Level: slog.LevelWarn, Text: "incarnation closed by an operator"}
)

// Service executes the operations. It is safe for concurrent use.
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

// WithOrders sets the issuer of orders. By default orders are refused with
// ErrNoOrders.
func WithOrders(is *orders.Issuer) Option { return func(se *Service) { se.orders = is } }

// New returns a service that changes the configuration with ac and the ledger
// with le, and reads outcomes from cl and the state of the routers from no.
func New(ac *update.Acceptor, le *budget.Ledger, cl relay.Claims, no Nodes, opts ...Option) *Service {
	se := &Service{acceptor: ac, ledger: le, claims: cl, nodes: no, met: meter.Nop{}}
	for _, op := range opts {
		op(se)
	}
	return se
}

// ChangeOptions holds the operator, the identifier and the conditions of a change.
type ChangeOptions struct {
	By ident.Operator
	// Op identifies the change, so that it takes effect once even if it is sent
	// again. An empty op is replaced by a new one.
	Op ident.Op
	// Base is the revision on which the change is based, or nil for the current
	// one. If Base is not current, the change is refused with
	// *update.ConflictError.
	Base *ident.Revision
	// DryRun checks the change without accepting it.
	DryRun bool
}

// withOp returns a copy with a new op if it has none.
func (co ChangeOptions) withOp() ChangeOptions {
	if co.Op == "" {
		co.Op = ident.NewOp()
	}
	return co
}
