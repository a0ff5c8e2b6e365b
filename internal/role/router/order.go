package router

import (
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// orders returns the use case that issues orders over this router's links.
func (ro *Router) orders() *orders.Issuer {
	rows := orders.NewRows(ro.table, codec.JSON[orders.Row]{})
	slots := orders.NewSlots(ro.table, codec.JSON[orders.Slot]{}, orders.DefaultSlots)
	return orders.New(ro.table, rows, slots, ro.orderLink, orders.WithMeter(ro.met))
}

// orderLink returns the link to the upstream if it is connected.
func (ro *Router) orderLink(up ident.Upstream) (orders.Link, bool) {
	cl, ok := ro.fleet.Links()[up].(*link.Client)
	if !ok || !cl.Connected() {
		return nil, false
	}
	return cl, true
}
