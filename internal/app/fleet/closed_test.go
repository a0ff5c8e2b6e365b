package fleet_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/fleet"
	"github.com/balsamwood/balsamwood/internal/app/gate"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// TestClosedDomains guards against new requests at an upstream in a closed failure domain,
// against a report that undoes the closure, and against requests that wait although all
// upstreams are closed. Each of the engines e0 to e2 is in a domain of its own.
func TestClosedDomains(t *testing.T) {
	withKey := demand()
	withKey.Key = "k1"
	sync := func(to *topology, closed ...ident.Domain) {
		sn := to.conf
		for _, id := range closed {
			sn = sn.WithClosedDomain(id)
		}
		to.Sync(sn)
	}
	for _, tc := range []struct {
		name  string
		setup func(to *topology)
		de    gate.Demand
		want  string
	}{
		{"closed", func(to *topology) { sync(to, "d0", "d1") }, demand(), "e2"},
		{"with a key", func(to *topology) { sync(to, "d0", "d2") }, withKey, "e1"},
		{"reports do not undo it", func(to *topology) { sync(to, "d0", "d1"); to.deliver(report(0, 100), "e0", "e1") }, demand(), "e2"},
		{"linked after the closure", func(to *topology) {
			to.Sync(to.conf.WithoutUpstream("e0"))
			sync(to, "d0", "d2")
		}, demand(), "e1"},
		{"all", func(to *topology) { sync(to, "d0", "d1", "d2") }, demand(), string(refuse.NoUpstream)},
		{"unknown domain", func(to *topology) { sync(to, "d0", "d1", "d9") }, demand(), "e2"},
		{"opened", func(to *topology) { sync(to, "d0", "d1", "d2"); sync(to, "d0", "d2") }, demand(), "e1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			to := newTopology(t, "r1", 3)
			tc.setup(to)
			for range 20 {
				if _, got := to.pick(tc.de); got != tc.want {
					t.Fatalf("got %s, want %s", got, tc.want)
				}
			}
		})
	}
	t.Run("last resort", func(t *testing.T) {
		to := newTopology(t, "r1", 0)
		to.conf = to.conf.WithUpstream(config.Upstream{ID: "s0", VM: "v", Kind: config.Plain, Domain: "d1", Service: "register"})
		sync(to, "d1")
		de := gate.Demand{Kind: config.Plain, Service: "register", Deadline: demand().Deadline}
		if _, got := to.pick(de); got != string(refuse.NoUpstream) {
			t.Errorf("got %s", got)
		}
	})
}

// TestLinksOfClosedDomain guards against a router whose links all lead to upstreams in a
// closed failure domain, and against the loss of links that configuration and orders use.
func TestLinksOfClosedDomain(t *testing.T) {
	fl, err := fleet.New("r1", func(config.Upstream, func(peer.Report)) fleet.Link { return &fakeLink{} }, fleet.WithMaxLinks(3))
	if err != nil {
		t.Fatal(err)
	}
	fl.Start(t.Context())
	sn := config.Snapshot{}
	for _, id := range []ident.Upstream{"a0", "a1", "a2", "a3", "b0", "b1", "b2", "b3"} {
		sn = sn.WithUpstream(config.Upstream{ID: id, VM: ident.VM(id), Kind: config.Engine, Domain: ident.Domain(id[:1]), Models: []ident.Model{"m"}})
	}
	count := func() map[ident.Domain]int {
		out := map[ident.Domain]int{}
		for id := range fl.Links() {
			out[ident.Domain(id[:1])]++
		}
		return out
	}
	fl.Sync(sn)
	before := count()
	fl.Sync(sn.WithClosedDomain("a"))
	after := count()
	if diff := cmp.Diff(map[ident.Domain]int{"a": before["a"], "b": 3}, after); diff != "" {
		t.Errorf("links by domain (-want +got):\n%s", diff)
	}
}
