package fleet

import (
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

// Listed takes the VMs that the platform shows as leaving, which the caller must
// not change afterwards. Their upstreams get no new work, whatever their sidecars
// report.
func (fl *Fleet) Listed(leaving map[ident.VM]bool) {
	if fl.apply(leaving) {
		fl.sum()
		fl.onChange()
	}
}

// apply marks the upstreams whose state in the list changed, and reports whether
// there is one. The lock keeps Sync from adding an upstream by the old list.
func (fl *Fleet) apply(leaving map[ident.VM]bool) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	before := fl.listed.Load()
	fl.listed.Store(leaving)
	changed := false
	for id, no := range fl.nodes.Load() {
		if before[no.up.VM] != leaving[no.up.VM] {
			changed = true
			fl.mark(id, no)
		}
	}
	return changed
}

// mark applies the list to one upstream. The list is loaded within the update, so
// that a report at the same moment cannot undo it.
func (fl *Fleet) mark(id ident.Upstream, no *node) {
	newly := false
	fl.view.Update(func(vi route.View) (route.View, bool) {
		ca, ok := vi.Get(id)
		if !ok {
			return vi, false
		}
		leaving := fl.listed.Load()[no.up.VM] || no.departed()
		newly = leaving && !ca.Leaving()
		return vi.With(ca.WithLeaving(leaving)), true
	})
	if newly {
		fl.met.Log(evLeaving, slog.String("upstream", string(id)), slog.String("source", "VM list"))
	}
}
