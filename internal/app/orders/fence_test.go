package orders_test

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// TestStaleOrder guards against an order of a router that was paused and wakes
// after another operator has superseded it. Without the sidecar's check an
// engine that ignores the number carries it out.
func TestStaleOrder(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		checks, gated, restart bool
		want                   []uint64
		state                  orders.State
	}{
		{"engine checks", true, true, false, []uint64{2}, orders.Refused},
		{"engine checks, sidecar restarted", true, true, true, []uint64{2}, orders.Refused},
		{"engine ignores", false, true, false, []uint64{2}, orders.Refused},
		{"engine ignores, sidecar restarted", false, true, true, []uint64{2}, orders.Refused},
		{"engine checks, no gate", true, false, false, []uint64{2}, orders.Refused},
		{"engine ignores, no gate", false, false, false, []uint64{2, 1}, orders.Done},
	} {
		t.Run(tc.name, func(t *testing.T) {
			en, tb := model.New(model.WithFencing(tc.checks)), table.New()
			way := reach(t, en)
			enter := way
			start := func() {
				if tc.gated {
					enter = orders.NewGate(rows(tb.Client()), "e1", way).Order
				}
			}
			start()
			ln := func(ctx context.Context, or engine.Order) error { return enter(ctx, or) }
			paused, arrived, wake := held(ln)
			errs := make(chan error)
			go func() {
				_, err := issuer(tb.Client(), 2, paused).Issue(t.Context(), load("ann"))
				errs <- err
			}()
			<-arrived
			rq := load("bob")
			rq.Supersede = 1
			if re, err := issuer(tb.Client(), 2, ln).Issue(t.Context(), rq); err != nil || re.Fence != 2 {
				t.Fatalf("superseding order: %+v, %v", re, err)
			}
			if tc.restart {
				start()
			}
			close(wake)
			var fa *orders.Failed
			if err := <-errs; errors.As(err, &fa) != (tc.state == orders.Refused) {
				t.Errorf("stale order: %v", err)
			}
			if diff := cmp.Diff(tc.want, fences(en)); diff != "" {
				t.Errorf("accepted by the engine (-want +got):\n%s", diff)
			}
			if got := state(t, tb, "e1", "op-ann"); got != tc.state {
				t.Errorf("the row says %s, want %s", got, tc.state)
			}
		})
	}
}

// TestGate guards against a sidecar that passes an order on without knowing the
// highest number, and against an older order that waits behind a newer one.
func TestGate(t *testing.T) {
	tb := table.New()
	cl := tb.Client()
	slow, arrived, release := held(done)
	var passed []uint64
	ga := orders.NewGate(rows(cl), "e1", func(ctx context.Context, or engine.Order) error {
		passed = append(passed, uint64(or.Fence))
		if or.Fence == 3 {
			return slow(ctx, or)
		}
		return nil
	})
	cl.SetDown(true)
	if rf := refuse.From(ga.Order(t.Context(), engine.Order{Fence: 1})); rf.Reason != refuse.StoreUnavailable {
		t.Errorf("without the table: %v", rf)
	}
	cl.SetDown(false)
	errs := make(chan error, 1)
	go func() { errs <- ga.Order(t.Context(), engine.Order{Fence: 3}) }()
	<-arrived
	gone, stop := context.WithCancel(t.Context())
	stop()
	if rf := refuse.From(ga.Order(gone, engine.Order{Fence: 5})); rf.Outcome != refuse.NotRun {
		t.Errorf("an order that waited in vain: %v", rf)
	}
	close(release)
	if err := <-errs; err != nil {
		t.Error(err)
	}
	rf := refuse.From(ga.Order(t.Context(), engine.Order{Fence: 4}))
	if rf.Reason != refuse.Rejected || rf.Outcome != refuse.NotRun {
		t.Errorf("an order below the highest number: %v", rf)
	}
	if diff := cmp.Diff([]uint64{3}, passed); diff != "" {
		t.Errorf("passed on (-want +got):\n%s", diff)
	}
}
