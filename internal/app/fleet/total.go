package fleet

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/app/gate"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

// total is the reported capacity of the upstreams of a model or service.
type total struct {
	// share is this router's share of the slots of the usable upstreams.
	share float64
	// best is the load of the upstream with the highest rate per slot.
	best route.Load
}

// sum adds up the reports, so that a request does not have to.
func (fl *Fleet) sum() {
	now := fl.clk.Now()
	totals := make(map[ident.Model]total)
	for _, ca := range fl.view.Load().All() {
		ld := ca.Load()
		for _, mo := range ca.Models() {
			to := totals[mo]
			if ca.Usable(now) {
				to.share += float64(ld.Slots) / float64(max(1, ld.Routers))
			}
			if perSlot(ld) > perSlot(to.best) {
				to.best = ld
			}
			totals[mo] = to
		}
	}
	fl.totals.Store(totals)
}

func perSlot(ld route.Load) float64 { return ld.TokensPerSecond / float64(max(1, ld.Slots)) }

// Share returns this router's share of the slots of all usable upstreams that
// meet the demand.
func (fl *Fleet) Share(de gate.Demand) int { return int(fl.totals.Load()[modelOf(de)].share) }

// LatestStart returns the last time at which the demand can start at an idle
// upstream of the highest rate and finish by its deadline.
func (fl *Fleet) LatestStart(de gate.Demand) time.Time {
	rd := route.Demand{Prompt: promptEstimate(de), Output: de.Output}
	return route.LatestStart(fl.totals.Load()[modelOf(de)].best, rd, de.Deadline)
}

func modelOf(de gate.Demand) ident.Model {
	if de.Kind == config.Plain {
		return serviceModel(de.Service)
	}
	return de.Model
}
