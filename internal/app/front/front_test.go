package front_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/core/route"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// book is a purse and its one hold. It records the ends of the hold.
type book struct {
	mu   sync.Mutex
	ends []string
	used ident.Tokens
}

func (bo *book) Reserve(context.Context, ident.BudgetRef, ident.Tokens, config.Weight) (front.Hold, error) {
	return bo, nil
}

func (bo *book) end(how string) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.ends = append(bo.ends, how)
}

func (bo *book) Settle(used ident.Tokens) { bo.end("settle"); bo.used = used }
func (bo *book) Release()                 { bo.end("release") }
func (bo *book) Keep()                    { bo.end("keep") }

// desk is a gate that places attempts at the sidecars in turn.
type desk struct {
	sidecars []*side
	placed   []front.Turn
	busy     atomic.Int64
	blocks   bool
}

func (de *desk) Admit(front.Request, time.Time) (func(), error) { return func() {}, nil }

func (de *desk) Place(ctx context.Context, _ front.Request, pl front.Placing) (front.Target, error) {
	if de.blocks && pl.Turn != front.First {
		<-ctx.Done()
	}
	at := len(de.placed)
	if ctx.Err() != nil || at >= len(de.sidecars) {
		return front.Target{}, refuse.New(refuse.NoUpstream, "none left")
	}
	de.placed = append(de.placed, pl.Turn)
	de.busy.Add(1)
	return front.Target{
		Upstream: config.Upstream{ID: ident.Upstream([]string{"u1", "u2", "u3", "u4", "u5"}[at])},
		Sidecar:  de.sidecars[at], Done: func(front.Verdict) { de.busy.Add(-1) },
	}, nil
}

// side is a sidecar that plays its events back. After the last one it is
// silent until the attempt is cancelled, and then sends the end.
type side struct {
	open   error
	events []peer.Event
	// lost ends the stream with an error after the events.
	lost      bool
	resume    []peer.Event
	resumeErr error
	delay     time.Duration
	cancelled atomic.Int64
}

func (si *side) Open(context.Context, peer.Dispatch) (peer.Stream, error) {
	if si.open != nil {
		return nil, si.open
	}
	return &tape{si: si, events: si.events, stop: make(chan struct{})}, nil
}

func (si *side) Resume(context.Context, ident.Request, uint32, uint64) (peer.Stream, error) {
	return &tape{si: &side{}, events: si.resume, stop: make(chan struct{})}, si.resumeErr
}

func (si *side) Report() (peer.Report, bool) { return peer.Report{}, false }

type tape struct {
	si     *side
	events []peer.Event
	at     int
	once   sync.Once
	stop   chan struct{}
}

func (ta *tape) Recv(ctx context.Context) (peer.Event, error) {
	if ta.si.delay > 0 && ta.at == 0 {
		select {
		case <-time.After(ta.si.delay):
		case <-ta.stop:
		}
	}
	if ta.at < len(ta.events) {
		ta.at++
		return ta.events[ta.at-1], nil
	}
	if ta.si.lost {
		return peer.Event{}, refuse.New(refuse.LinkLost, "cut")
	}
	select {
	case <-ta.stop:
		return failed(refuse.Cancelled, 7), nil
	case <-ctx.Done():
		return peer.Event{}, ctx.Err()
	}
}

func (ta *tape) Ack(uint64) {}
func (ta *tape) Cancel()    { ta.once.Do(func() { ta.si.cancelled.Add(1); close(ta.stop) }) }
func (ta *tape) Close()     {}

func data(seq uint64) peer.Event {
	return peer.Event{Kind: peer.Data, Seq: seq, Chunk: engine.Chunk{Data: []byte("x"), Tokens: 1}}
}

func final(used ident.Tokens) peer.Event { return peer.Event{Kind: peer.Final, Charged: used} }

func failed(re refuse.Reason, used ident.Tokens) peer.Event {
	return peer.Event{Kind: peer.Failed, Charged: used, Refusal: refuse.New(re, "failed")}
}

func refused(re refuse.Reason) peer.Event {
	return peer.Event{Kind: peer.Refused, Refusal: refuse.New(re, "refused")}
}

// keyring answers cancellations of keys.
type keyring struct {
	won bool
	err error
}

func (ke keyring) Cancel(context.Context, ident.Account, ident.Key, []byte) (bool, error) {
	return ke.won, ke.err
}

func request(idempotent bool) front.Request {
	return front.Request{
		ID: "r1", Account: config.Account{ID: "a1"}, Budget: "b1", Class: config.Normal, Key: "k1", Kind: config.Plain,
		Service: "s1", Idempotent: idempotent, Deadline: time.Now().Add(10 * time.Second), Prompt: 10, MaxTokens: 20,
	}
}

func policy(opts ...retry.Option) front.PolicyRetries {
	return front.NewPolicyRetries(retry.NewBudget(), route.NewRand(1), opts...)
}

// TestSettleOnce guards against requests that are charged twice or not at all,
// against a second run without proof, and against a refusal that claims too
// much, at each way in which attempts end.
func TestSettleOnce(t *testing.T) {
	unreachable := refuse.New(refuse.Unreachable, "no connection")
	cases := []struct {
		name       string
		idempotent bool
		sidecars   []*side
		keys       keyring
		want       string
		used       ident.Tokens
		attempts   int
		outcome    refuse.Outcome
	}{
		{"answered", false, []*side{{events: []peer.Event{data(1), final(5)}}}, keyring{}, "settle", 5, 1, ""},
		{"retried on proof", false, []*side{{events: []peer.Event{refused(refuse.Busy)}}, {events: []peer.Event{final(5)}}}, keyring{}, "settle", 5, 2, ""},
		{"retried when nothing was sent", false, []*side{{open: unreachable}, {events: []peer.Event{final(5)}}}, keyring{}, "settle", 5, 2, ""},
		{"retried when idempotent", true, []*side{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}, {events: []peer.Event{final(5)}}}, keyring{}, "settle", 5, 2, ""},
		{"not retried after a part of the answer", true, []*side{{events: []peer.Event{data(1), failed(refuse.UpstreamFailed, 3)}}, {}}, keyring{}, "settle", 3, 1, refuse.Unknown},
		{"not retried when it may have run", false, []*side{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}, {}}, keyring{}, "settle", 3, 1, refuse.Unknown},
		{"key won", false, []*side{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}}, keyring{won: true}, "release", 0, 1, refuse.NotRun},
		{"key not won", false, []*side{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}}, keyring{err: errors.New("down")}, "settle", 3, 1, refuse.Unknown},
		{"permanent", false, []*side{{events: []peer.Event{refused(refuse.KeyReused)}}, {}}, keyring{}, "release", 0, 1, refuse.NotRun},
		{"idempotent without an answer", true, []*side{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}}, keyring{}, "release", 0, 1, refuse.Unknown},
		{"refused after an unknown attempt", true, []*side{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}, {events: []peer.Event{refused(refuse.KeyReused)}}}, keyring{}, "release", 0, 2, refuse.Unknown},
		{"usage resolved", false, []*side{{events: []peer.Event{data(1)}, lost: true, resume: []peer.Event{data(2), final(9)}}}, keyring{}, "settle", 9, 1, refuse.Unknown},
		{"usage not known", false, []*side{{events: []peer.Event{data(1)}, lost: true, resumeErr: errors.New("gone")}}, keyring{}, "keep", 0, 1, refuse.Unknown},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bo, de, re := &book{}, &desk{sidecars: ca.sidecars}, policy()
				sv := front.New("i1", bo, de, front.WithKeys(ca.keys), front.WithRetries(re))
				an, err := sv.Serve(t.Context(), request(ca.idempotent), func(engine.Chunk) error { return nil })
				if werr := sv.Wait(t.Context()); werr != nil {
					t.Fatal(werr)
				}
				if diff := cmp.Diff([]string{ca.want}, bo.ends); diff != "" || bo.used != ca.used {
					t.Errorf("hold ended with %d tokens, want %d (-want +got):\n%s", bo.used, ca.used, diff)
				}
				if an.Attempts != ca.attempts || de.busy.Load() != 0 {
					t.Errorf("%d attempts, %d upstreams still busy, want %d and 0", an.Attempts, de.busy.Load(), ca.attempts)
				}
				if (err == nil) != (ca.outcome == "") || err != nil && refuse.From(err).Outcome != ca.outcome {
					t.Errorf("error %v, want outcome %q", err, ca.outcome)
				}
			})
		})
	}
}

// TestCallerGone guards against work that goes on for nobody, and against its
// usage not being charged.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		si := &side{events: []peer.Event{data(1)}}
		bo, de := &book{}, &desk{sidecars: []*side{si}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sv := front.New("i1", bo, de, front.WithRetries(policy()))
		_, err := sv.Serve(ctx, request(true), func(engine.Chunk) error { cancel(); return nil })
		if err == nil || si.cancelled.Load() != 1 {
			t.Errorf("error %v, %d cancellations, want an error and 1", err, si.cancelled.Load())
		}
		if diff := cmp.Diff([]string{"settle"}, bo.ends); diff != "" || bo.used != 7 {
			t.Errorf("charged %d, want 7 (-want +got):\n%s", bo.used, diff)
		}
	})
}

// TestReturn guards against a refusal of a request that did not run while it
// can still be on time, and against a wait beyond its deadline.
func TestReturn(t *testing.T) {
	busy := func() *side { return &side{events: []peer.Event{refused(refuse.Busy)}} }
	for _, blocks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			bo, de := &book{}, &desk{sidecars: []*side{busy(), busy(), {events: []peer.Event{final(5)}}}, blocks: blocks}
			sv := front.New("i1", bo, de, front.WithRetries(policy(retry.WithMaxAttempts(1))))
			rq := request(false)
			_, err := sv.Serve(t.Context(), rq, func(engine.Chunk) error { return nil })
			if blocks {
				if err == nil || refuse.From(err).Outcome != refuse.NotRun || time.Now().After(rq.Deadline) {
					t.Errorf("error %v, want notRun by the deadline", err)
				}
				return
			}
			if diff := cmp.Diff([]front.Turn{front.First, front.Return, front.Return}, de.placed); err != nil || diff != "" {
				t.Errorf("error %v, turns (-want +got):\n%s", err, diff)
			}
		})
	}
}

// TestHedge guards against lookups that wait for one slow upstream, against two
// charges, and against a loser that goes on.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := policy()
		rq := request(true)
		for range 40 {
			re.Observe(rq, 20*time.Millisecond)
		}
		slow := &side{events: []peer.Event{data(1), final(5)}, delay: 5 * time.Second}
		fast := &side{events: []peer.Event{data(1), final(6)}, delay: time.Millisecond}
		bo, de := &book{}, &desk{sidecars: []*side{slow, fast}}
		sv := front.New("i1", bo, de, front.WithRetries(re), front.WithHedges(re))
		chunks, began := 0, time.Now()
		_, err := sv.Serve(t.Context(), rq, func(engine.Chunk) error { chunks++; return nil })
		if took := time.Since(began); err != nil || chunks != 1 || took > 100*time.Millisecond {
			t.Errorf("error %v, %d chunks after %v, want one in 100ms", err, chunks, took)
		}
		if werr := sv.Wait(t.Context()); werr != nil {
			t.Fatal(werr)
		}
		if diff := cmp.Diff([]string{"settle"}, bo.ends); diff != "" || bo.used != 6 {
			t.Errorf("charged %d, want 6 (-want +got):\n%s", bo.used, diff)
		}
		if slow.cancelled.Load() != 1 || de.busy.Load() != 0 {
			t.Errorf("%d cancellations of the loser, %d upstreams busy, want 1 and 0", slow.cancelled.Load(), de.busy.Load())
		}
	})
}

// TestLeave guards against new work at a router that is leaving.
func TestLeave(t *testing.T) {
	de := &desk{sidecars: []*side{{events: []peer.Event{final(1)}}}}
	sv := front.New("i1", &book{}, de)
	sv.Leave()
	_, err := sv.Serve(t.Context(), request(true), func(engine.Chunk) error { return nil })
	if err == nil || refuse.From(err).Reason != refuse.Leaving || len(de.placed) > 0 {
		t.Errorf("error %v with %d attempts, want leaving and none", err, len(de.placed))
	}
}
