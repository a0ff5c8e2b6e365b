package fleet

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/app/gate"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

// modelTotal sums up the reported capacity of the upstreams of a model or service.
type modelTotal struct {
	// share is this router's share of the slots of the usable upstreams.
	share float64
	// fastest is the load report with the highest token rate per slot.
	fastest route.Load
}

// updateTotals sums up the reports once per change, so that requests need not do
// it.
func (fl *Fleet) updateTotals() {
	now := fl.clk.Now()
	totals := make(map[ident.Model]modelTotal)
	for _, ca := range fl.view.Load().All() {
		ld := ca.Load()
		for _, mo := range ca.Models() {
			mt := totals[mo]
			if ca.Usable(now) {
				mt.share += float64(ld.Slots) / float64(max(1, ld.Routers))
			}
			if perSlot(ld) > perSlot(mt.fastest) {
				mt.fastest = ld
			}
			totals[mo] = mt
		}
	}
	fl.totals.Store(totals)
}

func perSlot(ld route.Load) float64 { return ld.TokensPerSecond / float64(max(1, ld.Slots)) }

// Share returns this router's share of the slots of all usable upstreams that meet
// the demand.
func (fl *Fleet) Share(de gate.Demand) int { return int(fl.totals.Load()[modelOf(de)].share) }

// LatestStart returns the last time at which the demand can start at an idle
// upstream with the highest token rate and finish by its deadline.
func (fl *Fleet) LatestStart(de gate.Demand) time.Time {
	rd := route.Demand{Prompt: promptEstimate(de), Output: de.Output}
	return route.LatestStart(fl.totals.Load()[modelOf(de)].fastest, rd, de.Deadline)
}

// modelOf returns the model of the demand, or the model name that represents its
// plain service.
func modelOf(de gate.Demand) ident.Model {
	if de.Kind == config.Plain {
		return serviceModel(de.Service)
	}
	return de.Model
}
