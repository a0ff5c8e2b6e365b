package relay_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

const alphabet = "abcdefghijklmnopqrstuvwxyz"

// TestAdmission guards against work that runs although a condition for new work
// does not hold, and against a refusal of such work that does not say notRun.
func TestAdmission(t *testing.T) {
	cases := map[refuse.Reason]func(sv *relay.Service, di *peer.Dispatch){
		refuse.DeadlinePassed: func(_ *relay.Service, di *peer.Dispatch) { di.Call.Deadline = time.Now() },
		refuse.KeyRequired:    func(_ *relay.Service, di *peer.Dispatch) { di.Idempotent, di.Call.Key = false, "" },
		refuse.Leaving:        func(sv *relay.Service, _ *peer.Dispatch) { sv.Leave() },
		refuse.StoreUnavailable: func(_ *relay.Service, di *peer.Dispatch) {
			di.Idempotent = false
		},
		refuse.ClosedIncarnation: func(_ *relay.Service, di *peer.Dispatch) { di.Router = "closed" },
		refuse.Busy: func(sv *relay.Service, _ *peer.Dispatch) {
			if _, err := sv.Open(context.Background(), dispatch("busy", "")); err != nil {
				panic(err)
			}
		},
	}
	for re, prepare := range cases {
		t.Run(string(re), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eng := newScriptedEngine(2, time.Second)
				sv := service(t, eng, relay.WithMaxRunning(1), relay.WithClosedIncarnations("closed"))
				di := dispatch("r", "k")
				prepare(sv, &di)
				equal(t, "response", notRun(re), openAndRead(t, sv, di))
				runs, _ := eng.count("k")
				equal(t, "runs", 0, runs)
			})
		})
	}
}

// TestAttach guards against a second run, or a second charge, of an attempt or
// a key that is known.
func TestAttach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := newScriptedEngine(26, time.Second)
		sv := service(t, eng, relay.WithMaxRunning(1), relay.WithRetention(time.Hour))
		complete := response{Text: alphabet, Kind: peer.Final, Charged: 26}
		replay := response{Text: alphabet, Kind: peer.Final, Replay: true}
		got := make(chan response, 2)
		retry := dispatch("r2", "k")
		retry.Router = "router2"
		time.AfterFunc(0, func() { got <- openAndRead(t, sv, dispatch("r1", "k")) })
		time.AfterFunc(5*time.Second, func() { got <- openAndRead(t, sv, retry) })
		equal(t, "charged", 26, (<-got).Charged+(<-got).Charged)
		equal(t, "same attempt", complete, openAndRead(t, sv, dispatch("r1", "k")))
		equal(t, "same key", replay, openAndRead(t, sv, retry))
		other := dispatch("r3", "k")
		other.Fingerprint = []byte("other")
		equal(t, "other body", notRun(refuse.KeyReused), openAndRead(t, sv, other))
		otherAccount := dispatch("r4", "k")
		otherAccount.Account = "z"
		equal(t, "other account", complete, openAndRead(t, sv, otherAccount))
		runs, _ := eng.count("k")
		equal(t, "runs", 2, runs)
		equal(t, "second router", nil, sv.Used("router2"))
		time.AfterFunc(time.Second, func() { got <- openAndRead(t, sv, dispatch("r5", "")) })
		open(t, sv, dispatch("r5", ""))
		equal(t, "same attempt without a key", complete, <-got)
	})
}

// TestResume guards against chunks that are lost or repeated when an attempt is
// resumed on several streams after time-outs, with acknowledgements that are
// lost or late.
func TestResume(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			eng := newScriptedEngine(26, time.Second)
			sv := service(t, eng, relay.WithOutputBuffer(8, 8), relay.WithGrace(20*time.Second))
			di := dispatch("r", "")
			di.Call.Deadline = time.Now().Add(time.Hour)
			st := open(t, sv, di)
			var text []byte
			acked := 0
			for kind := peer.Accepted; kind != peer.Final; {
				ctx, stop := context.WithTimeout(t.Context(), time.Duration(rnd.IntN(5000))*time.Millisecond)
				ev, err := st.Recv(ctx)
				stop()
				if err == nil {
					kind = ev.Kind
					text = append(text, ev.Chunk.Data...)
				} else if !errors.Is(err, context.DeadlineExceeded) {
					t.Fatalf("seed %d: %v", seed, err)
				}
				if rnd.IntN(2) == 0 {
					acked = max(acked, rnd.IntN(len(text)+1))
					st.Ack(uint64(acked))
				} else if rnd.IntN(8) == 0 {
					// An acknowledgement counts for delivered chunks only.
					acked = len(text)
					st.Ack(26)
				}
				if rnd.IntN(3) > 0 {
					continue
				}
				// Chunks that were not acknowledged may be lost in transit.
				text = text[:acked+rnd.IntN(len(text)-acked+1)]
				old := st
				if st, err = sv.Resume(t.Context(), "r", 1, uint64(len(text)+1)); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				kind, acked = peer.Accepted, len(text)
				old.Ack(26)
				old.Cancel()
			}
			equal(t, "text", alphabet, string(text))
			runs, _ := eng.count("")
			equal(t, "runs", 1, runs)
		})
	}
}

// TestRelease guards against a call that continues at the upstream after its
// reader became inactive or the router's incarnation was closed, and against
// usage that is not charged.
func TestRelease(t *testing.T) {
	cases := map[string]struct {
		act     func(sv *relay.Service, st peer.Stream)
		want    refuse.Reason
		charged ident.Tokens
	}{
		"inactive": {act: func(*relay.Service, peer.Stream) {}, want: refuse.LinkLost, charged: 10},
		"closed": {act: func(sv *relay.Service, _ peer.Stream) {
			_, _ = sv.CloseIncarnation(context.Background(), "router1")
		}, want: refuse.ClosedIncarnation, charged: 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eng := newScriptedEngine(50, time.Second)
				sv := service(t, eng, relay.WithGrace(10500*time.Millisecond))
				st := open(t, sv, dispatch("r", "k"))
				time.Sleep(3500 * time.Millisecond)
				tc.act(sv, st)
				time.Sleep(8 * time.Second)
				_, ended := eng.count("k")
				equal(t, "ended calls", 1, ended)
				used, err := sv.CloseIncarnation(t.Context(), "router1")
				if err != nil {
					t.Fatal(err)
				}
				equal(t, "used", []relay.Usage{{Budget: ident.BudgetRef{Account: "a", Budget: "b"}, Used: tc.charged}}, used)
				_, err = st.Recv(t.Context())
				equal(t, "stream", unknownOutcome(tc.want), refusalOf(err))
			})
		})
	}
}

// TestCancel guards against a cancelled call that continues at the upstream, and
// against usage that is not reported to its router.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := newScriptedEngine(50, time.Second)
		sv := service(t, eng, relay.WithGrace(10500*time.Millisecond))
		st := open(t, sv, dispatch("r", "k"))
		time.Sleep(3500 * time.Millisecond)
		st.Cancel()
		first, err := st.Recv(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		equal(t, "first event", peer.Accepted, first.Kind)
		ev, err := st.Recv(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		equal(t, "kind", peer.Failed, ev.Kind)
		equal(t, "charged", ident.Tokens(3), ev.Charged)
		equal(t, "refusal", unknownOutcome(refuse.Cancelled), refusalOf(ev.Refusal))
		_, ended := eng.count("k")
		equal(t, "ended calls", 1, ended)
		used, err := sv.CloseIncarnation(t.Context(), "router1")
		if err != nil {
			t.Fatal(err)
		}
		equal(t, "used", []relay.Usage{{Budget: ident.BudgetRef{Account: "a", Budget: "b"}, Used: 3}}, used)
	})
}

// TestDeadline guards against a call that continues after its deadline, and
// against a truncated response that counts as complete.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := newScriptedEngine(80, time.Second)
		sv := service(t, eng)
		want := response{Text: strings.Repeat(alphabet, 3)[:59], Kind: peer.Failed, Charged: 59, Outcome: refuse.Unknown, Reason: refuse.TimedOut}
		di := dispatch("r1", "")
		di.Call.Deadline = time.Now().Add(59500 * time.Millisecond)
		equal(t, "late", want, openAndRead(t, sv, di))
		eng.chunks, eng.err = 3, errEngine
		want = response{Text: "abc", Kind: peer.Failed, Charged: 3, Outcome: refuse.Unknown, Reason: refuse.UpstreamFailed}
		equal(t, "cut", want, openAndRead(t, sv, dispatch("r2", "k")))
		eng.chunks, eng.err = 5, nil
		equal(t, "again", response{Text: "abcde", Kind: peer.Final, Charged: 2}, openAndRead(t, sv, dispatch("r3", "k")))
	})
}

// TestReserved guards against a call that is charged more than was reserved.
func TestReserved(t *testing.T) {
	over := refuse.OverBudget
	cases := map[string]struct {
		chunks         int
		tokens, prompt ident.Tokens
		reserved, max  ident.Tokens
		want           response
	}{
		"within":            {chunks: 4, tokens: 2, prompt: 10, reserved: 18, max: 8, want: response{Text: "abcd", Kind: peer.Final, Charged: 18}},
		"response too long": {chunks: 9, tokens: 2, prompt: 10, reserved: 18, max: 8, want: response{Text: "abcd", Kind: peer.Failed, Charged: 18, Outcome: refuse.Unknown, Reason: over}},
		"no limit set":      {chunks: 9, tokens: 2, prompt: 0, reserved: 5, max: 0, want: response{Text: "ab", Kind: peer.Failed, Charged: 4, Outcome: refuse.Unknown, Reason: over}},
		"prompt too long":   {chunks: 2, tokens: 2, prompt: 30, reserved: 18, max: 8, want: response{Text: "ab", Kind: peer.Final, Charged: 18}},
		"nothing reserved":  {chunks: 2, tokens: 2, reserved: 0, max: 8, want: response{Kind: peer.Failed, Outcome: refuse.Unknown, Reason: over}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eng := newScriptedEngine(tc.chunks, time.Second)
				eng.tokens, eng.prompt = tc.tokens, tc.prompt
				sv := service(t, eng)
				di := dispatch("r", "k")
				di.Reserved, di.Call.MaxTokens = tc.reserved, tc.max
				equal(t, "response", tc.want, openAndRead(t, sv, di))
			})
		})
	}
}

// TestSlowReader guards against a reader that delays other attempts, or whose
// buffered output grows without a bound.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := newScriptedEngine(26, time.Second)
		sv := service(t, eng, relay.WithOutputBuffer(4, 4), relay.WithRetention(5*time.Second), relay.WithGrace(time.Minute))
		slow := open(t, sv, dispatch("slow", "k"))
		equal(t, "other attempt", response{Text: alphabet, Kind: peer.Final, Charged: 26}, openAndRead(t, sv, dispatch("r1", "")))
		equal(t, "ended calls", 1, func() int { _, n := eng.count(""); return n }())
		equal(t, "same key", response{Text: alphabet, Kind: peer.Final, Replay: true}, openAndRead(t, sv, dispatch("r2", "k")))
		_, err := slow.Recv(t.Context())
		equal(t, "slow reader", unknownOutcome(refuse.Truncated), refusalOf(err))
		di := dispatch("alone", "")
		di.Call.Deadline = time.Now().Add(time.Hour)
		alone := open(t, sv, di)
		time.Sleep(30 * time.Second)
		// The reader needs longer than the retention, but is never inactive for
		// the grace period.
		for seq := range uint64(25) {
			if _, err := alone.Recv(t.Context()); err != nil {
				t.Fatal(err)
			}
			alone.Ack(seq)
			time.Sleep(10 * time.Second)
		}
		equal(t, "alone", response{Text: alphabet[24:], Kind: peer.Final, Charged: 26}, read(t.Context(), t, alone, 25))
	})
}

// TestLeave guards against a process that ends before a response is delivered or
// an outcome is stored, or that waits forever for a reader that is gone.
func TestLeave(t *testing.T) {
	const grace = 40 * time.Second
	for _, outage := range []time.Duration{time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) { testLeave(t, grace, outage) })
	}
}

func testLeave(t *testing.T, grace, outage time.Duration) {
	tab := newTable()
	sv := service(t, newScriptedEngine(26, time.Second), relay.WithGrace(grace), relay.WithTable(tab, rows))
	start := time.Now()
	streams := map[ident.Request]peer.Stream{}
	for _, di := range []peer.Dispatch{dispatch("read", ""), dispatch("lost", ""), nonIdempotent("act", "k")} {
		st := open(t, sv, di)
		streams[di.Request] = st
	}
	tab.setFaults(always(unavailable))
	time.AfterFunc(outage, func() { tab.setFaults(always(noFault)) })
	sv.Leave()
	equal(t, "new work", notRun(refuse.Leaving), openAndRead(t, sv, dispatch("r2", "")))
	for _, re := range []ident.Request{"read", "act"} {
		equal(t, "response", response{Text: alphabet, Kind: peer.Final, Charged: 26}, read(t.Context(), t, streams[re], 1))
	}
	if err := sv.Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	rc, _, _ := relay.NewClaims(tab, rows).Lookup(t.Context(), "a", "k")
	equal(t, "outcome", claim.Done, rc.State)
	over := time.Since(start) - max(grace, outage)
	equal(t, "waited for the reader and the table only", true, over >= 0 && over < 10*time.Second)
	rp, _ := sv.Report()
	equal(t, "leaving", true, rp.Leaving)
}

// TestCloseIncarnation guards against work of a closed incarnation that runs
// or is read again, and against a response to another router that is cut off.
func TestCloseIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng := newScriptedEngine(26, time.Second)
		sv := service(t, eng)
		open(t, sv, dispatch("r1", "k"))
		retry := dispatch("r2", "k")
		retry.Router = "router2"
		got := make(chan response, 1)
		time.AfterFunc(time.Second, func() { got <- openAndRead(t, sv, retry) })
		time.Sleep(5 * time.Second)
		used, err := sv.CloseIncarnation(t.Context(), "router1")
		if err != nil {
			t.Fatal(err)
		}
		want := []relay.Usage{{Budget: ident.BudgetRef{Account: "a", Budget: "b"}, Used: 26}}
		equal(t, "used", want, used)
		equal(t, "other router", response{Text: alphabet, Kind: peer.Final, Replay: true}, <-got)
		equal(t, "known attempt", unknownOutcome(refuse.ClosedIncarnation), openAndRead(t, sv, dispatch("r1", "k")))
		equal(t, "known key", unknownOutcome(refuse.ClosedIncarnation), openAndRead(t, sv, dispatch("r3", "k")))
		_, err = sv.Resume(t.Context(), "r1", 1, 1)
		equal(t, "resume", unknownOutcome(refuse.ClosedIncarnation), refusalOf(err))
		time.Sleep(time.Hour)
		equal(t, "new work", notRun(refuse.ClosedIncarnation), openAndRead(t, sv, dispatch("r4", "")))
		runs, _ := eng.count("k")
		equal(t, "runs", 1, runs)
		again, err := sv.CloseIncarnation(t.Context(), "router1")
		if err != nil {
			t.Fatal(err)
		}
		equal(t, "used later", want, again)
	})
}
