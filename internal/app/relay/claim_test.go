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

// TestClaimAnswerLost guards against a call that runs twice, or is refused
// although it could run, after the answer to its claim was lost.
func TestClaimAnswerLost(t *testing.T) {
	whole := answer{Text: "ab", Kind: peer.Final, Charged: 2}
	cases := map[string]struct {
		plan  func(string) fault
		first answer
		again answer
		runs  int
	}{
		"written":         {plan: first(lostAfter), first: whole, again: answer{Text: "ab", Kind: peer.Final, Replay: true}, runs: 1},
		"not written":     {plan: first(lostBefore, fine), first: whole, again: answer{Text: "ab", Kind: peer.Final, Replay: true}, runs: 1},
		"twice":           {plan: first(lostBefore, lostAfter), first: whole, again: answer{Text: "ab", Kind: peer.Final, Replay: true}, runs: 1},
		"outcome written": {plan: first(fine, lostAfter), first: whole, again: answer{Text: "ab", Kind: peer.Final, Replay: true}, runs: 1},
		"late write":      {plan: first(lands, lostBefore, lostBefore, lostBefore, lostBefore), first: unknown(refuse.StoreUnavailable), again: whole, runs: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eng, tab := newScript(2, time.Second), newTable()
				one := service(t, eng, relay.WithTable(tab, rows))
				two := service(t, eng, relay.WithTable(tab, rows))
				tab.setPlan(tc.plan)
				equal(t, "first answer", tc.first, ask(t, one, action("r1", "k")))
				time.Sleep(10 * time.Second)
				equal(t, "answer elsewhere", tc.again, ask(t, two, action("r2", "k")))
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
			eng, tab := newScript(2, time.Second), newTable()
			one := service(t, eng, relay.WithTable(tab, rows))
			two := one
			if !shared {
				two = service(t, eng, relay.WithTable(tab, rows))
			}
			got := make(chan answer, 2)
			go func() { got <- ask(t, one, action("r1", "k")) }()
			go func() { got <- ask(t, two, action("r2", "k")) }()
			var charged ident.Tokens
			whole := 0
			for range 2 {
				an := <-got
				charged += an.Charged
				if an.Text == "ab" {
					whole++
				} else {
					equal(t, "loser", unknown(refuse.InProgress), an)
				}
			}
			runs, _ := eng.count("k")
			equal(t, "runs", 1, runs)
			equal(t, "charged", 2, charged)
			equal(t, "both read the run of a shared sidecar", shared, whole == 2)
		})
	}
}

// TestPausedHolder guards against a sidecar that claimed a key, was paused,
// and runs the call after its deadline, after it was told to leave, or after
// the incarnation of the router was closed.
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
			want  answer
			state claim.State
		}{
			"cancelled":   {plan: first(sleeps), want: notRun(re), state: claim.Cancelled},
			"answer lost": {plan: first(sleeps, lostAfter), want: notRun(re), state: claim.Cancelled},
			"table down":  {plan: first(sleeps, down), want: unknown(re), state: claim.Cancelled},
			"not written": {plan: first(sleeps, lostBefore), want: unknown(re), state: claim.Cancelled},
		} {
			t.Run(string(re)+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					eng, tab := newScript(2, time.Second), newTable()
					sv := service(t, eng, relay.WithTable(tab, rows))
					tab.setPlan(tc.plan)
					di := action("r1", "k")
					di.Call.Deadline = time.Now().Add(2 * time.Hour)
					meanwhile(sv, &di)
					equal(t, "answer", tc.want, ask(t, sv, di))
					time.Sleep(time.Minute)
					rc, _, err := relay.NewClaims(tab, rows).Ask(t.Context(), "a", "k")
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
// of a call that ran, and an outcome that is lost in an outage.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng, tab := newScript(2, time.Second), newTable()
		sv := service(t, eng, relay.WithTable(tab, rows))
		cl := relay.NewClaims(tab, rows)
		tab.setPlan(always(down))
		equal(t, "before the claim", notRun(refuse.StoreUnavailable), ask(t, sv, action("r1", "k")))
		if _, err := cl.CancelKey(t.Context(), "a", "k", []byte("body")); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("cancellation in the outage: %v", err)
		}
		tab.setPlan(always(fine))
		st := open(t, sv, action("r2", "k"))
		tab.setPlan(always(down))
		equal(t, "after the claim", answer{Text: "ab", Kind: peer.Final, Charged: 2}, read(t.Context(), t, st, 1))
		time.Sleep(time.Hour)
		equal(t, "again in the outage", answer{Text: "ab", Kind: peer.Final, Replay: true}, ask(t, sv, action("r3", "k")))
		tab.setPlan(always(fine))
		time.Sleep(time.Minute)
		rc, ok, err := cl.Ask(t.Context(), "a", "k")
		if err != nil || !ok || rc.Outcome == nil {
			t.Fatalf("no outcome: %+v, %v, %v", rc, ok, err)
		}
		equal(t, "outcome", claim.Outcome{Status: 200, Body: []byte("ab")}, *rc.Outcome)
		if _, ok, _ := cl.Ask(t.Context(), "other", "k"); ok {
			t.Error("another account reads the outcome")
		}
	})
}

// TestCancelKey guards against a cancellation that is won although the call
// runs, and a call that runs although the cancellation was won.
func TestCancelKey(t *testing.T) {
	cases := map[string]struct {
		plan   func(string) fault
		after  time.Duration // from the dispatch to the cancellation
		print  string
		cancel claim.Cancellation
		want   answer
	}{
		"before":       {after: -time.Second, print: "body", cancel: claim.Won, want: notRun(refuse.Cancelled)},
		"answer lost":  {plan: first(lostAfter), after: -time.Second, print: "body", cancel: claim.Won, want: notRun(refuse.Cancelled)},
		"not written":  {plan: first(lostBefore), after: -time.Second, print: "body", cancel: claim.Won, want: notRun(refuse.Cancelled)},
		"running":      {after: time.Second, print: "body", cancel: claim.LostClaimed, want: answer{Text: "ab", Kind: peer.Final, Charged: 2}},
		"done":         {after: time.Minute, print: "body", cancel: claim.LostDone, want: answer{Text: "ab", Kind: peer.Final, Charged: 2}},
		"another body": {after: time.Minute, print: "x", cancel: claim.Foreign, want: answer{Text: "ab", Kind: peer.Final, Charged: 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eng, tab := newScript(2, time.Second), newTable()
				sv := service(t, eng, relay.WithTable(tab, rows))
				if tc.plan != nil {
					tab.setPlan(tc.plan)
				}
				got := make(chan answer, 1)
				time.AfterFunc(max(0, -tc.after), func() { got <- ask(t, sv, action("r1", "k")) })
				time.Sleep(max(0, tc.after))
				ve, err := relay.NewClaims(tab, rows).CancelKey(t.Context(), "a", "k", []byte(tc.print))
				if err != nil {
					t.Fatal(err)
				}
				equal(t, "cancellation", tc.cancel, ve)
				equal(t, "answer", tc.want, <-got)
			})
		})
	}
}

// TestUpstreamProof guards against a call that the upstream refused before
// running it, but whose key cannot be used again.
func TestUpstreamProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng, tab := newScript(0, 0), newTable()
		one := service(t, eng, relay.WithTable(tab, rows))
		two := service(t, newScript(2, 0), relay.WithTable(tab, rows))
		eng.err = refuse.New(refuse.Rejected, "no room")
		equal(t, "refused", notRun(refuse.Rejected), ask(t, one, action("r1", "k")))
		equal(t, "elsewhere", answer{Text: "ab", Kind: peer.Final, Charged: 2}, ask(t, two, action("r2", "k")))
		eng.err = errEngine
		failed := answer{Kind: peer.Failed, Outcome: refuse.Unknown, Reason: refuse.UpstreamFailed}
		equal(t, "failed", failed, ask(t, one, action("r3", "k3")))
		time.Sleep(time.Second)
		failed.Replay = true
		equal(t, "failed elsewhere", failed, ask(t, two, action("r4", "k3")))
	})
}

// TestPlainPrice guards against a call of a plain service that is not charged
// its fixed price, or is charged although it did not run.
func TestPlainPrice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := newScript(2, 0)
		eng.tokens = 0
		sv := relay.NewService(config.Upstream{ID: "p1", Kind: config.Plain}, "s1", eng)
		t.Cleanup(sv.Close)
		equal(t, "ran", answer{Text: "ab", Kind: peer.Final, Charged: 100}, ask(t, sv, dispatch("r1", "")))
		eng.chunks, eng.err = 0, refuse.New(refuse.Unreachable, "no listener")
		equal(t, "not run", notRun(refuse.Unreachable), ask(t, sv, dispatch("r2", "")))
	})
}
