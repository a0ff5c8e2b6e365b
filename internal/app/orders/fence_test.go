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

// TestStaleOrder guards against the execution of an order whose router was
// paused while another operator superseded it. Without the sidecar's check, an
// engine that ignores fencing numbers executes it.
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
			toEngine := startEngine(t, en)
			link := toEngine
			start := func() {
				if tc.gated {
					link = orders.NewFenceGate(rows(tb.Client()), "e1", toEngine).Order
				}
			}
			start()
			ln := func(ctx context.Context, or engine.Order) error { return link(ctx, or) }
			paused, arrived, resume := blockingLink(ln)
			errs := make(chan error)
			go func() {
				_, err := issuer(tb.Client(), 2, paused).Issue(t.Context(), loadRequest("ann"))
				errs <- err
			}()
			<-arrived
			rq := loadRequest("bob")
			rq.Supersede = 1
			if re, err := issuer(tb.Client(), 2, ln).Issue(t.Context(), rq); err != nil || re.Fence != 2 {
				t.Fatalf("superseding order: %+v, %v", re, err)
			}
			if tc.restart {
				start()
			}
			close(resume)
			var fa *orders.FailedError
			if err := <-errs; errors.As(err, &fa) != (tc.state == orders.Refused) {
				t.Errorf("stale order: %v", err)
			}
			if diff := cmp.Diff(tc.want, acceptedFences(en)); diff != "" {
				t.Errorf("accepted by the engine (-want +got):\n%s", diff)
			}
			if got := state(t, tb, "e1", "op-ann"); got != tc.state {
				t.Errorf("state in the row is %s, want %s", got, tc.state)
			}
		})
	}
}

// TestFenceGate guards against a sidecar that forwards an order without knowing
// the highest fencing number, and against an older order that is forwarded after
// a newer one, also if the newer one was cancelled while it waited.
func TestFenceGate(t *testing.T) {
	tb := table.New()
	cl := tb.Client()
	slow, arrived, release := blockingLink(acceptAll)
	var forwarded []uint64
	fg := orders.NewFenceGate(rows(cl), "e1", func(ctx context.Context, or engine.Order) error {
		forwarded = append(forwarded, uint64(or.Fence))
		if or.Fence == 3 {
			return slow(ctx, or)
		}
		return nil
	})
	cl.SetDown(true)
	if rf := refuse.From(fg.Order(t.Context(), engine.Order{Fence: 1})); rf.Reason != refuse.StoreUnavailable {
		t.Errorf("without the table: %v", rf)
	}
	cl.SetDown(false)
	errs := make(chan error, 1)
	go func() { errs <- fg.Order(t.Context(), engine.Order{Fence: 3}) }()
	<-arrived
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	if rf := refuse.From(fg.Order(cancelled, engine.Order{Fence: 5})); rf.Outcome != refuse.NotRun {
		t.Errorf("an order that was cancelled while it waited: %v", rf)
	}
	close(release)
	if err := <-errs; err != nil {
		t.Error(err)
	}
	rf := refuse.From(fg.Order(t.Context(), engine.Order{Fence: 4}))
	if rf.Reason != refuse.Rejected || rf.Outcome != refuse.NotRun {
		t.Errorf("an order below the highest number: %v", rf)
	}
	if diff := cmp.Diff([]uint64{3}, forwarded); diff != "" {
		t.Errorf("forwarded (-want +got):\n%s", diff)
	}
}
