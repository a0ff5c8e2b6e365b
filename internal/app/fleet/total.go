package fleet

import (
	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// total is the reported capacity of all usable upstreams of a model or service.
type total struct {
	slots   int
	running int
}

// sum adds up the reports, so that a request does not have to.
func (fl *Fleet) sum() {
	now := fl.clk.Now()
	totals := make(map[ident.Model]total)
	for _, ca := range fl.view.Load().All() {
		if !ca.Usable(now) {
			continue
		}
		ld := ca.Load()
		for _, mo := range ca.Models() {
			to := totals[mo]
			to.slots += ld.Slots
			to.running += ld.Running + ld.Waiting
			totals[mo] = to
		}
	}
	fl.totals.Store(totals)
}

// Slots returns the reported slots of all usable upstreams that meet the
// demand, and how many are taken.
func (fl *Fleet) Slots(de front.Demand) (slots, running int) {
	mo := de.Model
	if de.Kind == config.Plain {
		mo = serviceModel(de.Service)
	}
	to := fl.totals.Load()[mo]
	return to.slots, to.running
}
