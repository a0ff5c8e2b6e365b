package router

import (
	"net/http"

	"github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	use "github.com/balsamwood/balsamwood/internal/app/admin"
)

// adminHandler returns the handler of the administration API.
func (ro *Router) adminHandler() http.Handler {
	sv := use.New(ro.acceptor, ro.ledger, ro.claims, ro.nodes(), use.WithMeter(ro.met), use.WithOrders(ro.orders()))
	return admin.New(sv, ro.settings.AdminKeys, admin.WithMeter(ro.met)).Handler()
}

func (ro *Router) nodes() use.Nodes { return use.NewNodes(ro.table, codec.JSON[use.Node]{}) }

// reporter returns the reporter of the revisions in force at this router and at
// its sidecars.
func (ro *Router) reporter() *use.Reporter {
	return use.NewReporter(ro.nodes(), func() use.Node {
		st := ro.follower.InForce()
		return use.Node{
			VM: ro.settings.VM, Domain: ro.settings.Domain, Incarnation: ro.incarnation,
			Revision: st.Revision, Since: st.Since.UTC(),
		}.WithSidecars(ro.fleet.Revisions())
	}, ro.met)
}
