package fleet_test

import (
	"testing"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// TestLeavingVMs guards against new requests at an upstream whose VM is shown as
// leaving only by the platform's VM list, against a report that undoes the list,
// and against a list that undoes a report of the sidecar.
func TestLeavingVMs(t *testing.T) {
	vms := func(ids ...ident.VM) map[ident.VM]bool {
		set := make(map[ident.VM]bool)
		for _, id := range ids {
			set[id] = true
		}
		return set
	}
	leavingReport := report(0, 100)
	leavingReport.Leaving = true
	cases := []struct {
		name  string
		setup func(to *topology)
		want  string
	}{
		{"listed", func(to *topology) { to.SetLeavingVMs(vms("e0", "e1")) }, "e2"},
		{"reports do not undo it", func(to *topology) {
			to.SetLeavingVMs(vms("e0", "e2"))
			to.deliver(report(0, 100), "e0", "e1", "e2")
		}, "e1"},
		{"every upstream", func(to *topology) { to.SetLeavingVMs(vms("e0", "e1", "e2")) }, "wait"},
		{"shown as live again", func(to *topology) {
			to.SetLeavingVMs(vms("e0", "e1", "e2"))
			to.SetLeavingVMs(vms("e0", "e2"))
		}, "e1"},
		{"the list does not undo the sidecar", func(to *topology) {
			to.SetLeavingVMs(vms("e0", "e2"))
			to.deliver(leavingReport, "e0")
			to.SetLeavingVMs(vms("e2"))
		}, "e1"},
		{"linked after the list", func(to *topology) {
			conf := to.conf
			to.Sync(conf.WithoutUpstream("e0").WithoutUpstream("e1"))
			to.SetLeavingVMs(vms("e0", "e2"))
			to.Sync(conf)
		}, "e1"},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			to := newTopology(t, "r1", 3)
			ca.setup(to)
			for range 20 {
				if _, got := to.pick(demand()); got != ca.want {
					t.Fatalf("got %s, want %s", got, ca.want)
				}
			}
		})
	}
}
