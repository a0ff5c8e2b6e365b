package fleet_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/fleet"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// TestLinks guards against a number of links, and so control traffic, that grows
// with the models and upstreams, and against a model without a link.
func TestLinks(t *testing.T) {
	for name, tc := range map[string]struct{ upstreams, models, limit, want int }{
		"all fit":           {upstreams: 10, models: 1, limit: 64, want: 10},
		"one model":         {upstreams: 600, models: 1, limit: 64, want: 64},
		"models share":      {upstreams: 600, models: 5, limit: 64, want: 60},
		"each stays served": {upstreams: 600, models: 5, limit: 5, want: 15},
	} {
		fl, err := fleet.New("r1", func(config.Upstream, func(peer.Report)) fleet.Link { return &fakeLink{} }, fleet.WithMaxLinks(tc.limit))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		fl.Start(ctx)
		sn := config.Snapshot{}
		for no := range tc.upstreams {
			id := fmt.Sprint("e", no)
			sn = sn.WithUpstream(config.Upstream{
				ID: ident.Upstream(id), VM: ident.VM(id), Kind: config.Engine,
				Domain: ident.Domain(fmt.Sprint("d", no%7)), Models: []ident.Model{ident.Model(fmt.Sprint("m", no%tc.models))},
			})
		}
		fl.Sync(sn)
		if diff := cmp.Diff(tc.want, len(fl.Links())); diff != "" {
			t.Errorf("%s: links (-want +got):\n%s", name, diff)
		}
		cancel()
		fl.Wait()
	}
}
