package side

import (
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// newGate returns the check of fencing numbers before the upstream. The sidecar
// is the only way to the engine, so it protects engines that check none.
func newGate(set conf.Sidecar, up engine.Upstream) *orders.Gate {
	rows := orders.NewRows(dynamo.New(set.Platform.Table), codec.JSON[orders.Row]{})
	return orders.NewGate(rows, set.Upstream, up.Order)
}
