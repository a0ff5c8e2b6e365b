package relay_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// TestClaimResponseLost guards against a call that runs twice, or is refused
// although it could run, after the table's response to its claim was lost.
func TestClaimResponseLost(t *testing.T) {
	complete := response{Text: "ab", Kind: peer.Final, Charged: 2}
	cases := map[string]struct {
		plan  func(string) fault
		first response
		again response
		runs  int
	}{
		"written":         {plan: first(lostAfter), first: complete, again: response{Text: "ab", Kind: peer.Final, Replay: true}, runs: 1},
		"not written":     {plan: first(lostBefore, noFault), first: complete, again: response{Text: "ab", Kind: peer.Final, Replay: true}, runs: 1},
		"twice":           {plan: first(lostBefore, lostAfter), first: complete, again: response{Text: "ab", Kind: peer.Final, Replay: true}, runs: 1},
		"outcome written": {plan: first(noFault, lostAfter), first: complete, again: response{Text: "ab", Kind: peer.Final, Replay: true}, runs: 1},
		"late write":      {plan: first(appliedLate, lostBefore, lostBefore, lostBefore, lostBefore), first: unknownOutcome(refuse.StoreUnavailable), again: complete, runs: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eng, tab := newScriptedEngine(2, time.Second), newTable()
				one := service(t, eng, relay.WithTable(tab, rows))
				two := service(t, eng, relay.WithTable(tab, rows))
				tab.setFaults(tc.plan)
				equal(t, "first response", tc.first, openAndRead(t, one, nonIdempotent("r1", "k")))
				time.Sleep(10 * time.Second)
				equal(t, "response elsewhere", tc.again, openAndRead(t, two, nonIdempotent("r2", "k")))
				runs, _ := eng.count("k")
				equal(t, "runs", tc.runs, runs)
			})
		})
	}
}

// TestClaimRace guards against two sidecars, or two routers at one sidecar,
// that both run a call with the same key.
func TestClaimRace(t *testing.T) {
	for _, shared := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			eng, tab := newScriptedEngine(2, time.Second), newTable()
			one := service(t, eng, relay.WithTable(tab, rows))
			two := one
			if !shared {
				two = service(t, eng, relay.WithTable(tab, rows))
			}
			got := make(chan response, 2)
			go func() { got <- openAndRead(t, one, nonIdempotent("r1", "k")) }()
			go func() { got <- openAndRead(t, two, nonIdempotent("r2", "k")) }()
			var charged ident.Tokens
			complete := 0
			for range 2 {
				rsp := <-got
				charged += rsp.Charged
				if rsp.Text == "ab" {
					complete++
				} else {
					equal(t, "loser", unknownOutcome(refuse.InProgress), rsp)
				}
			}
			runs, _ := eng.count("k")
			equal(t, "runs", 1, runs)
			equal(t, "charged", 2, charged)
			equal(t, "both read the run of a shared sidecar", shared, complete == 2)
		})
	}
}

// TestPausedHolder guards against a sidecar that is paused while it claims a
// key, and then runs the call although meanwhile its deadline has passed, the
// sidecar has started to leave or the router's incarnation was closed.
func TestPausedHolder(t *testing.T) {
	cases := map[refuse.Reason]func(*relay.Service, *peer.Dispatch){
		refuse.DeadlinePassed: func(_ *relay.Service, di *peer.Dispatch) { di.Call.Deadline = time.Now().Add(time.Minute) },
		refuse.Leaving:        func(sv *relay.Service, _ *peer.Dispatch) { time.AfterFunc(time.Minute, sv.Leave) },
		refuse.ClosedIncarnation: func(sv *relay.Service, _ *peer.Dispatch) {
			time.AfterFunc(time.Minute, func() { _, _ = sv.CloseIncarnation(context.Background(), "router1") })
		},
	}
	for re, meanwhile := range cases {
		for name, tc := range map[string]struct {
			plan  func(string) fault
			want  response
			state claim.State
		}{
			"cancelled":         {plan: first(appliedBlocked), want: notRun(re), state: claim.Cancelled},
			"response lost":     {plan: first(appliedBlocked, lostAfter), want: notRun(re), state: claim.Cancelled},
			"table unavailable": {plan: first(appliedBlocked, unavailable), want: unknownOutcome(re), state: claim.Cancelled},
			"not written":       {plan: first(appliedBlocked, lostBefore), want: unknownOutcome(re), state: claim.Cancelled},
		} {
			t.Run(string(re)+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					eng, tab := newScriptedEngine(2, time.Second), newTable()
					sv := service(t, eng, relay.WithTable(tab, rows))
					tab.setFaults(tc.plan)
					di := nonIdempotent("r1", "k")
					di.Call.Deadline = time.Now().Add(2 * time.Hour)
					meanwhile(sv, &di)
					equal(t, "response", tc.want, openAndRead(t, sv, di))
					time.Sleep(time.Minute)
					rc, _, err := relay.NewClaims(tab, rows).Lookup(t.Context(), "a", "k")
					if err != nil {
						t.Fatal(err)
					}
					equal(t, "state", tc.state, rc.State)
					runs, _ := eng.count("k")
					equal(t, "runs", 0, runs)
				})
			})
		}
	}
}

// TestStoreOutage guards against a call that runs without a claim, a refusal
// of a call that ran, and an outcome that is lost, in an outage of the table.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng, tab := newScriptedEngine(2, time.Second), newTable()
		sv := service(t, eng, relay.WithTable(tab, rows))
		cl := relay.NewClaims(tab, rows)
		tab.setFaults(always(unavailable))
		equal(t, "before the claim", notRun(refuse.StoreUnavailable), openAndRead(t, sv, nonIdempotent("r1", "k")))
		if _, err := cl.CancelKey(t.Context(), "a", "k", []byte("body")); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("cancellation in the outage: %v", err)
		}
		tab.setFaults(always(noFault))
		st := open(t, sv, nonIdempotent("r2", "k"))
		tab.setFaults(always(unavailable))
		equal(t, "after the claim", response{Text: "ab", Kind: peer.Final, Charged: 2}, read(t.Context(), t, st, 1))
		time.Sleep(time.Hour)
		equal(t, "again in the outage", response{Text: "ab", Kind: peer.Final, Replay: true}, openAndRead(t, sv, nonIdempotent("r3", "k")))
		tab.setFaults(always(noFault))
		time.Sleep(time.Minute)
		rc, ok, err := cl.Lookup(t.Context(), "a", "k")
		if err != nil || !ok || rc.Outcome == nil {
			t.Fatalf("no outcome: %+v, %v, %v", rc, ok, err)
		}
		equal(t, "outcome", claim.Outcome{Status: 200, Body: []byte("ab")}, *rc.Outcome)
		if _, ok, _ := cl.Lookup(t.Context(), "other", "k"); ok {
			t.Error("another account reads the outcome")
		}
	})
}

// TestCancelKey guards against a cancellation that succeeds although the call
// runs, and a call that runs although its cancellation succeeded.
func TestCancelKey(t *testing.T) {
	cases := map[string]struct {
		plan   func(string) fault
		after  time.Duration // from the dispatch to the cancellation
		print  string
		cancel claim.Cancellation
		want   response
	}{
		"before":        {after: -time.Second, print: "body", cancel: claim.NeverRun, want: notRun(refuse.Cancelled)},
		"response lost": {plan: first(lostAfter), after: -time.Second, print: "body", cancel: claim.NeverRun, want: notRun(refuse.Cancelled)},
		"not written":   {plan: first(lostBefore), after: -time.Second, print: "body", cancel: claim.NeverRun, want: notRun(refuse.Cancelled)},
		"running":       {after: time.Second, print: "body", cancel: claim.MayBeRunning, want: response{Text: "ab", Kind: peer.Final, Charged: 2}},
		"done":          {after: time.Minute, print: "body", cancel: claim.AlreadyRun, want: response{Text: "ab", Kind: peer.Final, Charged: 2}},
		"another body":  {after: time.Minute, print: "x", cancel: claim.FingerprintMismatch, want: response{Text: "ab", Kind: peer.Final, Charged: 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eng, tab := newScriptedEngine(2, time.Second), newTable()
				sv := service(t, eng, relay.WithTable(tab, rows))
				if tc.plan != nil {
					tab.setFaults(tc.plan)
				}
				got := make(chan response, 1)
				time.AfterFunc(max(0, -tc.after), func() { got <- openAndRead(t, sv, nonIdempotent("r1", "k")) })
				time.Sleep(max(0, tc.after))
				ca, err := relay.NewClaims(tab, rows).CancelKey(t.Context(), "a", "k", []byte(tc.print))
				if err != nil {
					t.Fatal(err)
				}
				equal(t, "cancellation", tc.cancel, ca)
				equal(t, "response", tc.want, <-got)
			})
		})
	}
}

// TestUpstreamProof guards against a key that cannot be used again although the
// upstream refused its call before it ran, and against a failed call that runs
// again at another sidecar.
func TestUpstreamProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng, tab := newScriptedEngine(0, 0), newTable()
		one := service(t, eng, relay.WithTable(tab, rows))
		two := service(t, newScriptedEngine(2, 0), relay.WithTable(tab, rows))
		eng.err = refuse.New(refuse.Rejected, "no room")
		equal(t, "refused", notRun(refuse.Rejected), openAndRead(t, one, nonIdempotent("r1", "k")))
		equal(t, "elsewhere", response{Text: "ab", Kind: peer.Final, Charged: 2}, openAndRead(t, two, nonIdempotent("r2", "k")))
		eng.err = errEngine
		failed := response{Kind: peer.Failed, Outcome: refuse.Unknown, Reason: refuse.UpstreamFailed}
		equal(t, "failed", failed, openAndRead(t, one, nonIdempotent("r3", "k3")))
		time.Sleep(time.Second)
		failed.Replay = true
		equal(t, "failed elsewhere", failed, openAndRead(t, two, nonIdempotent("r4", "k3")))
	})
}

// TestPlainPrice guards against a call of a plain service that is not charged
// its fixed price, or is charged although it did not run.
func TestPlainPrice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := newScriptedEngine(2, 0)
		eng.tokens = 0
		sv := relay.NewService(config.Upstream{ID: "p1", Kind: config.Plain}, "s1", eng)
		t.Cleanup(sv.Close)
		equal(t, "ran", response{Text: "ab", Kind: peer.Final, Charged: 100}, openAndRead(t, sv, dispatch("r1", "")))
		eng.chunks, eng.err = 0, refuse.New(refuse.Unreachable, "no listener")
		equal(t, "not run", notRun(refuse.Unreachable), openAndRead(t, sv, dispatch("r2", "")))
	})
}
