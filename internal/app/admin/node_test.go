package admin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// TestReporter guards against table writes by routers whose state does not
// change, against a change that is not written after an outage of the table, and
// against rows that remain after their routers have stopped.
func TestReporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := table.New()
		cl := tb.Client()
		ns := admin.NewNodes(cl, codec.JSON[admin.Node]{})
		base := admin.Node{VM: "vm-1", Domain: "d1", Incarnation: "i1"}
		state := snap.NewCell(base)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); admin.NewReporter(ns, state.Load, meter.Nop{}).Run(ctx) }()

		writes := func(step string, no admin.Node, want int64) {
			t.Helper()
			state.Store(no)
			before := tb.Writes()
			time.Sleep(time.Minute)
			synctest.Wait()
			if got := tb.Writes() - before; got != want {
				t.Errorf("%s: %d writes, want %d", step, got, want)
			}
		}
		writes("no configuration", base, 0)
		base.Revision, base.Since = 7, time.Now()
		writes("first revision", base, 1)
		writes("unchanged", base, 0)
		writes("sidecars", base.WithSidecars(map[ident.Upstream]ident.Revision{"e1": 7, "e2": 6, "e3": 5}), 1)
		cl.SetDown(true)
		base.Revision = 8
		writes("table down", base, 0)
		cl.SetDown(false)
		writes("table up again", base, 1)
		got, err := ns.All(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		want := []admin.Node{base}
		if diff := cmp.Diff(want, got, cmp.Comparer(func(le, ri time.Time) bool { return le.Equal(ri) })); diff != "" {
			t.Errorf("rows (-want +got):\n%s", diff)
		}
		stop()
		<-done
		if got, err := ns.All(t.Context()); err != nil || len(got) != 0 {
			t.Errorf("rows after the router stopped: %v %v", got, err)
		}
	})
}

// TestWithSidecars guards against a sidecar that is counted as using the router's
// revision while it reports a different one.
func TestWithSidecars(t *testing.T) {
	no := admin.Node{Revision: 7}.WithSidecars(map[ident.Upstream]ident.Revision{"e1": 7, "e3": 5, "e2": 8})
	want := admin.Node{Revision: 7, InSync: 1, OutOfSync: []admin.SidecarRevision{{"e2", 8}, {"e3", 5}}}
	if diff := cmp.Diff(want, no); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
