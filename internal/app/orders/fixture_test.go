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

// linkFunc is a function that implements orders.Link.
type linkFunc func(context.Context, engine.Order) error

// Order calls the function.
func (lf linkFunc) Order(ctx context.Context, or engine.Order) error { return lf(ctx, or) }

func rows(ta store.Table) orders.Rows { return orders.NewRows(ta, codec.JSON[orders.Row]{}) }

// issuer returns a router's issuer with the same link for all upstreams.
func issuer(ta store.Table, slots int, ln linkFunc) *orders.Issuer {
	ss := orders.NewSlots(ta, codec.JSON[orders.Slot]{}, slots)
	return orders.New(ta, rows(ta), ss, func(ident.Upstream) (orders.Link, bool) { return ln, true })
}

// loadRequest returns an operator's request to load model m1 at upstream e1.
func loadRequest(by ident.Operator) orders.Request {
	return orders.Request{Upstream: "e1", Kind: engine.LoadModel, Subject: "m1", By: by, Op: ident.Op("op-" + by)}
}

// acceptedFences returns the numbers that the engine accepted, in order.
func acceptedFences(en *model.Engine) []uint64 {
	var out []uint64
	for _, or := range en.Orders() {
		out = append(out, or.Fence)
	}
	return out
}

// startEngine serves the engine over HTTP and returns a direct link to it.
func startEngine(t *testing.T, en *model.Engine) linkFunc {
	sv := httptest.NewServer(en)
	t.Cleanup(sv.Close)
	return openai.New(sv.URL).Order
}

// blockingLink returns a link that delays an order until the last channel is
// closed. It closes the first channel when the order arrives.
func blockingLink(ln func(context.Context, engine.Order) error) (linkFunc, chan struct{}, chan struct{}) {
	arrived, release := make(chan struct{}), make(chan struct{})
	return func(ctx context.Context, or engine.Order) error {
		close(arrived)
		<-release
		return ln(ctx, or)
	}, arrived, release
}

// acceptAll accepts every order.
func acceptAll(context.Context, engine.Order) error { return nil }

// state returns the state of an order in the upstream's row.
func state(t *testing.T, tb *table.Table, up ident.Upstream, op ident.Op) orders.State {
	t.Helper()
	ro, _, err := rows(tb.Client()).Read(t.Context(), up)
	if err != nil {
		t.Fatal(err)
	}
	en, _ := ro.Find(op)
	return en.State
}
