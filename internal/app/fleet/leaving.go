package fleet

import (
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

// SetLeavingVMs sets the VMs that the platform's VM list shows as leaving. Their
// upstreams receive no new requests, whatever their sidecars report. The caller
// must not modify the map afterwards.
func (fl *Fleet) SetLeavingVMs(leaving map[ident.VM]bool) {
	if fl.applyLeavingVMs(leaving) {
		fl.updateTotals()
		fl.onChange()
	}
}

// applyLeavingVMs updates the upstreams whose state in the list changed, and
// reports whether there is one. The lock keeps Sync from adding an upstream with
// the state of the old list.
func (fl *Fleet) applyLeavingVMs(leaving map[ident.VM]bool) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	before := fl.leavingVMs.Load()
	fl.leavingVMs.Store(leaving)
	changed := false
	for id, lu := range fl.upstreams.Load() {
		if before[lu.up.VM] != leaving[lu.up.VM] {
			changed = true
			fl.updateLeaving(id, lu)
		}
	}
	return changed
}

// updateLeaving applies the list to one upstream. The list is loaded within the
// update, so that a concurrent report cannot undo it.
func (fl *Fleet) updateLeaving(id ident.Upstream, lu *linkedUpstream) {
	newly := false
	fl.view.Update(func(vi route.View) (route.View, bool) {
		ca, ok := vi.Get(id)
		if !ok {
			return vi, false
		}
		leaving := fl.leavingVMs.Load()[lu.up.VM] || lu.isLeaving()
		newly = leaving && !ca.Leaving()
		return vi.With(ca.WithLeaving(leaving)), true
	})
	if newly {
		fl.met.Log(evLeaving, slog.String("upstream", string(id)), slog.String("source", "VM list"))
	}
}
