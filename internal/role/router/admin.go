package router

import (
	"net/http"

	"github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	app "github.com/balsamwood/balsamwood/internal/app/admin"
)

// adminHandler returns the handler of the administration API.
func (ro *Router) adminHandler() http.Handler {
	sv := app.New(ro.acceptor, ro.ledger, ro.claims, ro.nodes(), app.WithMeter(ro.met), app.WithOrders(ro.orders()))
	return admin.New(sv, ro.settings.AdminKeys, admin.WithMeter(ro.met)).Handler()
}

func (ro *Router) nodes() app.Nodes { return app.NewNodes(ro.table, codec.JSON[app.Node]{}) }

// reporter returns the reporter of the revisions in force at this router and at
// its sidecars.
func (ro *Router) reporter() *app.Reporter {
	return app.NewReporter(ro.nodes(), func() app.Node {
		st := ro.follower.InForce()
		return app.Node{
			VM: ro.settings.VM, Domain: ro.settings.Domain, Incarnation: ro.incarnation,
			Revision: st.Revision, Since: st.Since.UTC(),
		}.WithSidecars(ro.fleet.Revisions())
	}, ro.met)
}
