package orders_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// TestLostResponse guards against an order that is sent twice, or never, because
// the response to a commit of its row was lost.
func TestLostResponse(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []table.Fault
	}{
		{"number applied", []table.Fault{table.ResponseLost}},
		{"number dropped", []table.Fault{table.RequestLost}},
		{"number late", []table.Fault{table.Delayed}},
		{"result applied", []table.Fault{table.None, table.ResponseLost}},
		{"result dropped", []table.Fault{table.None, table.RequestLost}},
		{"result late", []table.Fault{table.None, table.Delayed}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			en, tb := model.New(), table.New()
			cl := tb.Client()
			cl.FailCommits(tc.faults...)
			is := issuer(cl, 1, startEngine(t, en))
			if re, err := is.Issue(t.Context(), loadRequest("ann")); err != nil || re.Fence != 1 || re.Repeated {
				t.Errorf("got %+v, %v", re, err)
			}
			if late := cl.Deliver(); late != 0 {
				t.Errorf("%d late commits took effect", late)
			}
			if re, err := is.Issue(t.Context(), loadRequest("ann")); err != nil || !re.Repeated || re.State != orders.Done {
				t.Errorf("repeated: %+v, %v", re, err)
			}
			if diff := cmp.Diff([]uint64{1}, acceptedFences(en)); diff != "" {
				t.Errorf("accepted by the engine (-want +got):\n%s", diff)
			}
			if all, err := is.Slots().All(t.Context()); err != nil || len(all) != 0 {
				t.Errorf("slots %v, %v", all, err)
			}
		})
	}
}

// TestUncertainCommit guards against an error that says that no number was
// reserved although the response to the commit was lost and the table cannot be
// read afterwards.
func TestUncertainCommit(t *testing.T) {
	cl := table.New().Client()
	lost := false
	cl.SetFaults(func(commit bool) table.Fault {
		switch {
		case commit:
			lost = true
			return table.ResponseLost
		case lost:
			return table.Down
		}
		return table.None
	})
	if _, err := issuer(cl, 1, acceptAll).Issue(t.Context(), loadRequest("ann")); !errors.Is(err, store.ErrUncertain) {
		t.Errorf("got %v", err)
	}
}

// TestRace guards against two calls that both send an order when their commits
// race, for two operators and for the same op at two routers.
func TestRace(t *testing.T) {
	for _, tc := range []struct {
		name   string
		second ident.Operator
		fault  table.Fault
	}{
		{"two operators", "bob", table.None},
		{"two operators, response lost", "bob", table.RequestLost},
		{"one op", "ann", table.None},
		{"one op, response lost", "ann", table.RequestLost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			en, tb := model.New(), table.New()
			toEngine := startEngine(t, en)
			cl, raced := tb.Client(), false
			cl.SetFaults(func(commit bool) table.Fault {
				if !commit || raced {
					return table.None
				}
				raced = true
				if _, err := issuer(tb.Client(), 2, toEngine).Issue(t.Context(), loadRequest(tc.second)); err != nil {
					t.Error(err)
				}
				return tc.fault
			})
			re, err := issuer(cl, 2, toEngine).Issue(t.Context(), loadRequest("ann"))
			var co *orders.ConflictError
			if tc.second == "ann" && (err != nil || !re.Repeated) {
				t.Errorf("repeated op: %+v, %v", re, err)
			}
			if tc.second == "bob" && (!errors.As(err, &co) || co.Existing.By != "bob" || co.Existing.Fence != 1) {
				t.Errorf("loser: %+v, %v", re, err)
			}
			if diff := cmp.Diff([]uint64{1}, acceptedFences(en)); diff != "" {
				t.Errorf("accepted by the engine (-want +got):\n%s", diff)
			}
		})
	}
}

// TestInProgress guards against two routers that issue the same load
// concurrently, and against an op that is used for two different orders.
func TestInProgress(t *testing.T) {
	tb := table.New()
	slow, arrived, release := blockingLink(acceptAll)
	errs := make(chan error)
	go func() {
		_, err := issuer(tb.Client(), 2, slow).Issue(t.Context(), loadRequest("ann"))
		errs <- err
	}()
	<-arrived
	other := issuer(tb.Client(), 2, func(context.Context, engine.Order) error {
		t.Error("a second order was sent")
		return nil
	})
	reused, early := loadRequest("bob"), loadRequest("bob")
	reused.Op, early.Supersede = "op-ann", 7
	dry := loadRequest("bob")
	dry.DryRun = true
	var co *orders.ConflictError
	for _, rq := range []orders.Request{loadRequest("bob"), early, dry} {
		if _, err := other.Issue(t.Context(), rq); !errors.As(err, &co) || co.Existing.By != "ann" {
			t.Errorf("second order: %v", err)
		}
	}
	if _, err := other.Issue(t.Context(), reused); !errors.Is(err, orders.ErrOpReused) {
		t.Errorf("reused op: %v", err)
	}
	re, err := other.Issue(t.Context(), loadRequest("ann"))
	if refuse.From(err).Outcome != refuse.Unknown || !re.Repeated || re.State != orders.Issued {
		t.Errorf("repeated op: %+v, %v", re, err)
	}
	close(release)
	if err := <-errs; err != nil {
		t.Error(err)
	}
	if re, err := other.Issue(t.Context(), dry); err != nil || re.Fence != 2 || !re.DryRun {
		t.Errorf("dry run: %+v, %v", re, err)
	}
}

// TestSlots guards against more concurrent loads than there are slots, and
// against a slot that is freed while its load may still be in progress.
func TestSlots(t *testing.T) {
	tb := table.New()
	linkErr := errors.New("link lost")
	is := issuer(tb.Client(), 2, func(context.Context, engine.Order) error { return linkErr })
	issue := func(up ident.Upstream, op ident.Op, kind engine.OrderKind) error {
		_, err := is.Issue(t.Context(), orders.Request{Upstream: up, Kind: kind, Subject: "m", By: "ann", Op: op})
		return err
	}
	var fa *orders.FailedError
	var ns *orders.NoSlotError
	check := func(what string, ok bool) {
		t.Helper()
		if all, err := is.Slots().All(t.Context()); !ok || err != nil {
			t.Errorf("%s: slots %v, %v", what, all, err)
		}
	}
	check("first load", errors.As(issue("e1", "1", engine.LoadModel), &fa) && fa.Entry.State == orders.Unknown)
	check("second load", errors.As(issue("e2", "2", engine.LoadAdapter), &fa))
	linkErr = nil
	check("third load", errors.As(issue("e3", "3", engine.LoadModel), &ns) && len(ns.Held) == 2)
	check("change of role", issue("e3", "4", engine.ChangeRole) == nil)
	linkErr = refuse.New(refuse.Rejected, "no")
	check("refused load", errors.As(issue("e1", "5", engine.LoadModel), &fa) && fa.Entry.State == orders.Refused)
	check("held after a refusal", errors.As(issue("e3", "6", engine.LoadModel), &ns))
	linkErr = nil
	check("load again", issue("e1", "7", engine.LoadModel) == nil)
	check("freed by the result", issue("e3", "8", engine.LoadModel) == nil)
	check("other holder", errors.Is(is.Slots().Free(t.Context(), 1, "e1"), orders.ErrNotHeld))
	check("no holder", errors.Is(is.Slots().Free(t.Context(), 0, "e1"), orders.ErrNotHeld))
	check("freed by the operator", is.Slots().Free(t.Context(), 1, "e2") == nil)
	all, err := is.Slots().All(t.Context())
	check("none held", err == nil && len(all) == 0)
}

// TestUnavailable guards against an order that is sent without a fencing number
// in an outage of the table, and against a result that the operator does not
// get, or that is not written after a short outage, if the table is unavailable
// when the engine responds.
func TestUnavailable(t *testing.T) {
	for _, tc := range []struct {
		outage time.Duration
		want   orders.State
	}{{2 * time.Second, orders.Done}, {time.Minute, orders.Issued}} {
		synctest.Test(t, func(t *testing.T) { testUnavailable(t, tc.outage, tc.want) })
	}
}

func testUnavailable(t *testing.T, outage time.Duration, want orders.State) {
	tb := table.New()
	cl := tb.Client()
	is := issuer(cl, 1, func(context.Context, engine.Order) error {
		cl.SetDown(true)
		time.AfterFunc(outage, func() { cl.SetDown(false) })
		return nil
	})
	if re, err := is.Issue(t.Context(), loadRequest("ann")); err != nil || re.State != orders.Done {
		t.Errorf("table down after the order: %+v, %v", re, err)
	}
	if got := state(t, tb, "e1", "op-ann"); got != want {
		t.Errorf("outage of %s: state in the row is %s, want %s", outage, got, want)
	}
	cl.SetDown(true)
	if _, err := is.Issue(t.Context(), loadRequest("bob")); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("table down: %v", err)
	}
}
