package side

import (
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// newFenceGate returns the check of fencing numbers that an order must pass before
// it is sent to the engine. Orders reach an engine only through its sidecar, so
// that the check protects engines that do not check fencing numbers themselves.
func newFenceGate(set conf.Sidecar, up engine.Upstream) *orders.FenceGate {
	rows := orders.NewRows(dynamo.New(set.Platform.Table), codec.JSON[orders.Row]{})
	return orders.NewFenceGate(rows, set.Upstream, up.Order)
}
