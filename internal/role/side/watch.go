package side

import (
	"context"

	"github.com/balsamwood/balsamwood/internal/adapt/httpsd"
	"github.com/balsamwood/balsamwood/internal/app/roster"
)

// watch calls leave when the platform's list shows this VM as leaving, and ends
// with ctx.
func (si *Sidecar) watch(ctx context.Context, leave func()) {
	roster.New(httpsd.New(si.set.Platform.VMs), func(le roster.Leaving) {
		if le[si.set.VM] && ctx.Err() == nil {
			si.met.Log(evListed)
			leave()
		}
	}, roster.WithMeter(si.met)).Run(ctx)
}
