package orders_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/openai"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// pass is a link or the way to an engine.
type pass func(context.Context, engine.Order) error

// Order passes the order on.
func (pa pass) Order(ctx context.Context, or engine.Order) error { return pa(ctx, or) }

func rows(ta store.Table) orders.Rows { return orders.NewRows(ta, codec.JSON[orders.Row]{}) }

// issuer returns a router's use case with one link for all upstreams.
func issuer(ta store.Table, slots int, ln pass) *orders.Issuer {
	ss := orders.NewSlots(ta, codec.JSON[orders.Slot]{}, slots)
	return orders.New(ta, rows(ta), ss, func(ident.Upstream) (orders.Link, bool) { return ln, true })
}

// load is an operator's order to load model m1 at upstream e1.
func load(by ident.Operator) orders.Request {
	return orders.Request{Upstream: "e1", Kind: engine.LoadModel, Subject: "m1", By: by, Op: ident.Op("op-" + by)}
}

// fences returns the numbers that the engine accepted, in order.
func fences(en *model.Engine) []uint64 {
	var out []uint64
	for _, or := range en.Orders() {
		out = append(out, or.Fence)
	}
	return out
}

// reach starts an engine and returns the way to it.
func reach(t *testing.T, en *model.Engine) pass {
	sv := httptest.NewServer(en)
	t.Cleanup(sv.Close)
	return openai.New(sv.URL).Order
}

// held returns a link that holds orders back until it is released.
func held(ln func(context.Context, engine.Order) error) (pass, chan struct{}, chan struct{}) {
	arrived, release := make(chan struct{}), make(chan struct{})
	return func(ctx context.Context, or engine.Order) error {
		close(arrived)
		<-release
		return ln(ctx, or)
	}, arrived, release
}

// done accepts every order.
func done(context.Context, engine.Order) error { return nil }

// state returns what the row says about an order.
func state(t *testing.T, tb *table.Table, up ident.Upstream, op ident.Op) orders.State {
	t.Helper()
	ro, _, err := rows(tb.Client()).Read(t.Context(), up)
	if err != nil {
		t.Fatal(err)
	}
	en, _ := ro.Find(op)
	return en.State
}
