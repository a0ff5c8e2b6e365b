package side

import (
	"context"

	"github.com/balsamwood/balsamwood/internal/adapt/httpsd"
	"github.com/balsamwood/balsamwood/internal/app/roster"
)

// watchVMList calls leave when the platform's list shows this VM as leaving. It
// returns when ctx ends.
func (si *Sidecar) watchVMList(ctx context.Context, leave func()) {
	roster.New(httpsd.New(si.settings.Platform.VMs), func(le roster.LeavingVMs) {
		if le[si.settings.VM] && ctx.Err() == nil {
			si.met.Log(evVMLeaving)
			leave()
		}
	}, roster.WithMeter(si.met)).Run(ctx)
}
