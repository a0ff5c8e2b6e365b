package admin

import (
	"context"
	"errors"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// ErrNoOrders means that this process issues no orders.
var ErrNoOrders = errors.New("admin: this process issues no orders")

// Order issues an order to a model engine. If the issuer returns an error, the
// result still contains the op, with which the order can be repeated.
func (se *Service) Order(ctx context.Context, co ChangeOptions, rq orders.Request) (orders.Result, error) {
	if se.orders == nil {
		return orders.Result{}, ErrNoOrders
	}
	sn, err := se.acceptor.Current(ctx)
	if err != nil {
		return orders.Result{}, err
	}
	if up, ok := sn.Upstream(rq.Upstream); !ok || up.Kind != config.Engine {
		return orders.Result{}, fmt.Errorf("%w: model engine %s", ErrNotFound, rq.Upstream)
	}
	co = co.withOp()
	rq.By, rq.Op, rq.DryRun = co.By, co.Op, co.DryRun
	re, err := se.orders.Issue(ctx, rq)
	re.Op = co.Op
	return re, err
}

// Orders lists the latest orders of an upstream, oldest first.
func (se *Service) Orders(ctx context.Context, up ident.Upstream) ([]orders.Entry, error) {
	if se.orders == nil {
		return nil, ErrNoOrders
	}
	return se.orders.Orders(ctx, up)
}

// Slots lists the slots for loads that are held.
func (se *Service) Slots(ctx context.Context) ([]orders.Slot, error) {
	if se.orders == nil {
		return nil, ErrNoOrders
	}
	return se.orders.Slots().All(ctx)
}

// FreeSlot frees the slot for loads that the upstream holds.
func (se *Service) FreeSlot(ctx context.Context, num int, up ident.Upstream) error {
	if se.orders == nil {
		return ErrNoOrders
	}
	return se.orders.Slots().Free(ctx, num, up)
}
