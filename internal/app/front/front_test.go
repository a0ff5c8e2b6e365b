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

// fakeEscrow is a front.Reserver, and the only hold that it returns. It records how
// the hold ended.
type fakeEscrow struct {
	mu   sync.Mutex
	ends []string
	used ident.Tokens
}

func (es *fakeEscrow) Reserve(context.Context, ident.BudgetRef, ident.Tokens, config.Preference) (front.Hold, error) {
	return es, nil
}

func (es *fakeEscrow) end(how string) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.ends = append(es.ends, how)
}

func (es *fakeEscrow) Settle(used ident.Tokens) { es.end("settle"); es.used = used }
func (es *fakeEscrow) Release()                 { es.end("release") }
func (es *fakeEscrow) MarkUnknown()             { es.end("unknown") }

// fakeGate places attempts at the sidecars in turn. If blocks is set, all but the
// first attempt wait until their context ends.
type fakeGate struct {
	sidecars []*fakeSidecar
	placed   []front.PlacementReason
	busy     atomic.Int64
	blocks   bool
}

func (ga *fakeGate) Admit(front.Request, time.Time) (func(), error) { return func() {}, nil }

func (ga *fakeGate) Place(ctx context.Context, _ front.Request, pl front.Placement) (front.Target, error) {
	if ga.blocks && pl.Reason != front.First {
		<-ctx.Done()
	}
	ix := len(ga.placed)
	if ctx.Err() != nil || ix >= len(ga.sidecars) {
		return front.Target{}, refuse.New(refuse.NoUpstream, "none left")
	}
	ga.placed = append(ga.placed, pl.Reason)
	ga.busy.Add(1)
	return front.Target{
		Upstream: config.Upstream{ID: ident.Upstream([]string{"u1", "u2", "u3", "u4", "u5"}[ix])},
		Sidecar:  ga.sidecars[ix], Done: func(front.AttemptResult) { ga.busy.Add(-1) },
	}, nil
}

// fakeSidecar sends its events. After the last one it is silent until the attempt
// is cancelled, and then reports the failure with a usage of 7 tokens.
type fakeSidecar struct {
	openErr error
	events  []peer.Event
	// cut ends the stream with an error after the events.
	cut       bool
	resume    []peer.Event
	resumeErr error
	delay     time.Duration
	cancelled atomic.Int64
}

func (si *fakeSidecar) Open(context.Context, peer.Dispatch) (peer.Stream, error) {
	if si.openErr != nil {
		return nil, si.openErr
	}
	return &fakeStream{si: si, events: si.events, stop: make(chan struct{})}, nil
}

func (si *fakeSidecar) Resume(context.Context, ident.Request, uint32, uint64) (peer.Stream, error) {
	return &fakeStream{si: &fakeSidecar{}, events: si.resume, stop: make(chan struct{})}, si.resumeErr
}

func (si *fakeSidecar) Report() (peer.Report, bool) { return peer.Report{}, false }

type fakeStream struct {
	si     *fakeSidecar
	events []peer.Event
	pos    int
	once   sync.Once
	stop   chan struct{}
}

func (st *fakeStream) Recv(ctx context.Context) (peer.Event, error) {
	if st.si.delay > 0 && st.pos == 0 {
		select {
		case <-time.After(st.si.delay):
		case <-st.stop:
		}
	}
	if st.pos < len(st.events) {
		st.pos++
		return st.events[st.pos-1], nil
	}
	if st.si.cut {
		return peer.Event{}, refuse.New(refuse.LinkLost, "cut")
	}
	select {
	case <-st.stop:
		return failed(refuse.Cancelled, 7), nil
	case <-ctx.Done():
		return peer.Event{}, ctx.Err()
	}
}

func (st *fakeStream) Ack(uint64) {}
func (st *fakeStream) Cancel()    { st.once.Do(func() { st.si.cancelled.Add(1); close(st.stop) }) }
func (st *fakeStream) Close()     {}

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

// fakeKeyCanceller returns a fixed result for the cancellation of a key.
type fakeKeyCanceller struct {
	cancelled bool
	err       error
}

func (kc fakeKeyCanceller) Cancel(context.Context, ident.Account, ident.Key, []byte) (bool, error) {
	return kc.cancelled, kc.err
}

func request(idempotent bool) front.Request {
	return front.Request{
		ID: "r1", Account: config.Account{ID: "a1"}, Budget: "b1", Class: config.Normal, Key: "k1", Kind: config.Plain,
		Service: "s1", Idempotent: idempotent, Deadline: time.Now().Add(10 * time.Second), Prompt: 10, MaxTokens: 20,
	}
}

func policy(opts ...retry.Option) front.BudgetedPolicy {
	return front.NewBudgetedPolicy(retry.NewBudget(), route.NewRand(1), opts...)
}

// TestSettleOnce guards against requests that are charged twice or not at all,
// against retries without proof that the first attempt did not run, and against
// refusals with a false outcome, for each way in which attempts end.
func TestSettleOnce(t *testing.T) {
	unreachable := refuse.New(refuse.Unreachable, "no connection")
	cases := []struct {
		name       string
		idempotent bool
		sidecars   []*fakeSidecar
		keys       fakeKeyCanceller
		want       string
		used       ident.Tokens
		attempts   int
		outcome    refuse.Outcome
	}{
		{"complete response", false, []*fakeSidecar{{events: []peer.Event{data(1), final(5)}}}, fakeKeyCanceller{}, "settle", 5, 1, ""},
		{"retried on proof", false, []*fakeSidecar{{events: []peer.Event{refused(refuse.Busy)}}, {events: []peer.Event{final(5)}}}, fakeKeyCanceller{}, "settle", 5, 2, ""},
		{"retried when nothing was sent", false, []*fakeSidecar{{openErr: unreachable}, {events: []peer.Event{final(5)}}}, fakeKeyCanceller{}, "settle", 5, 2, ""},
		{"retried when idempotent", true, []*fakeSidecar{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}, {events: []peer.Event{final(5)}}}, fakeKeyCanceller{}, "settle", 5, 2, ""},
		{"not retried after a partial response", true, []*fakeSidecar{{events: []peer.Event{data(1), failed(refuse.UpstreamFailed, 3)}}, {}}, fakeKeyCanceller{}, "settle", 3, 1, refuse.Unknown},
		{"not retried when it may have run", false, []*fakeSidecar{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}, {}}, fakeKeyCanceller{}, "settle", 3, 1, refuse.Unknown},
		{"key cancelled", false, []*fakeSidecar{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}}, fakeKeyCanceller{cancelled: true}, "release", 0, 1, refuse.NotRun},
		{"key not cancelled", false, []*fakeSidecar{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}}, fakeKeyCanceller{err: errors.New("down")}, "settle", 3, 1, refuse.Unknown},
		{"permanent refusal", false, []*fakeSidecar{{events: []peer.Event{refused(refuse.KeyReused)}}, {}}, fakeKeyCanceller{}, "release", 0, 1, refuse.NotRun},
		{"idempotent without a response", true, []*fakeSidecar{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}}, fakeKeyCanceller{}, "release", 0, 1, refuse.Unknown},
		{"refused after an unknown attempt", true, []*fakeSidecar{{events: []peer.Event{failed(refuse.UpstreamFailed, 3)}}, {events: []peer.Event{refused(refuse.KeyReused)}}}, fakeKeyCanceller{}, "release", 0, 2, refuse.Unknown},
		{"usage resolved", false, []*fakeSidecar{{events: []peer.Event{data(1)}, cut: true, resume: []peer.Event{data(2), final(9)}}}, fakeKeyCanceller{}, "settle", 9, 1, refuse.Unknown},
		{"usage not known", false, []*fakeSidecar{{events: []peer.Event{data(1)}, cut: true, resumeErr: errors.New("gone")}}, fakeKeyCanceller{}, "unknown", 0, 1, refuse.Unknown},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				es, ga, bp := &fakeEscrow{}, &fakeGate{sidecars: ca.sidecars}, policy()
				sv := front.New("i1", es, ga, front.WithKeyCanceller(ca.keys), front.WithRetries(bp))
				rsp, err := sv.Serve(t.Context(), request(ca.idempotent), func(engine.Chunk) error { return nil })
				if werr := sv.Wait(t.Context()); werr != nil {
					t.Fatal(werr)
				}
				if diff := cmp.Diff([]string{ca.want}, es.ends); diff != "" || es.used != ca.used {
					t.Errorf("hold ended with %d tokens, want %d (-want +got):\n%s", es.used, ca.used, diff)
				}
				if rsp.Attempts != ca.attempts || ga.busy.Load() != 0 {
					t.Errorf("%d attempts, %d upstreams still busy, want %d and 0", rsp.Attempts, ga.busy.Load(), ca.attempts)
				}
				if (err == nil) != (ca.outcome == "") || err != nil && refuse.From(err).Outcome != ca.outcome {
					t.Errorf("error %v, want outcome %q", err, ca.outcome)
				}
			})
		})
	}
}

// TestCallerGone guards against attempts that continue after the caller has left,
// and against usage of such attempts that is not charged.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		si := &fakeSidecar{events: []peer.Event{data(1)}}
		es, ga := &fakeEscrow{}, &fakeGate{sidecars: []*fakeSidecar{si}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sv := front.New("i1", es, ga, front.WithRetries(policy()))
		_, err := sv.Serve(ctx, request(true), func(engine.Chunk) error { cancel(); return nil })
		if err == nil || si.cancelled.Load() != 1 {
			t.Errorf("error %v, %d cancellations, want an error and 1", err, si.cancelled.Load())
		}
		if diff := cmp.Diff([]string{"settle"}, es.ends); diff != "" || es.used != 7 {
			t.Errorf("charged %d, want 7 (-want +got):\n%s", es.used, diff)
		}
	})
}

// TestRequeue guards against refusing a request that did not run although it can
// still meet its deadline, and against waiting beyond the deadline.
func TestRequeue(t *testing.T) {
	busy := func() *fakeSidecar { return &fakeSidecar{events: []peer.Event{refused(refuse.Busy)}} }
	for _, blocks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			es, ga := &fakeEscrow{}, &fakeGate{sidecars: []*fakeSidecar{busy(), busy(), {events: []peer.Event{final(5)}}}, blocks: blocks}
			sv := front.New("i1", es, ga, front.WithRetries(policy(retry.WithMaxAttempts(1))))
			rq := request(false)
			_, err := sv.Serve(t.Context(), rq, func(engine.Chunk) error { return nil })
			if blocks {
				if err == nil || refuse.From(err).Outcome != refuse.NotRun || time.Now().After(rq.Deadline) {
					t.Errorf("error %v, want notRun by the deadline", err)
				}
				return
			}
			if diff := cmp.Diff([]front.PlacementReason{front.First, front.Requeue, front.Requeue}, ga.placed); err != nil || diff != "" {
				t.Errorf("error %v, reasons (-want +got):\n%s", err, diff)
			}
		})
	}
}

// TestHedge guards against lookups that wait for one slow upstream, against
// charging both attempts, and against a losing attempt that is not cancelled.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bp := policy()
		rq := request(true)
		for range 40 {
			bp.Observe(rq, 20*time.Millisecond)
		}
		slow := &fakeSidecar{events: []peer.Event{data(1), final(5)}, delay: 5 * time.Second}
		fast := &fakeSidecar{events: []peer.Event{data(1), final(6)}, delay: time.Millisecond}
		es, ga := &fakeEscrow{}, &fakeGate{sidecars: []*fakeSidecar{slow, fast}}
		sv := front.New("i1", es, ga, front.WithRetries(bp), front.WithHedges(bp))
		chunks, start := 0, time.Now()
		_, err := sv.Serve(t.Context(), rq, func(engine.Chunk) error { chunks++; return nil })
		if elapsed := time.Since(start); err != nil || chunks != 1 || elapsed > 100*time.Millisecond {
			t.Errorf("error %v, %d chunks after %v, want one in 100ms", err, chunks, elapsed)
		}
		if werr := sv.Wait(t.Context()); werr != nil {
			t.Fatal(werr)
		}
		if diff := cmp.Diff([]string{"settle"}, es.ends); diff != "" || es.used != 6 {
			t.Errorf("charged %d, want 6 (-want +got):\n%s", es.used, diff)
		}
		if slow.cancelled.Load() != 1 || ga.busy.Load() != 0 {
			t.Errorf("%d cancellations of the loser, %d upstreams busy, want 1 and 0", slow.cancelled.Load(), ga.busy.Load())
		}
	})
}

// TestLeave guards against accepting new requests at a router that is leaving.
func TestLeave(t *testing.T) {
	ga := &fakeGate{sidecars: []*fakeSidecar{{events: []peer.Event{final(1)}}}}
	sv := front.New("i1", &fakeEscrow{}, ga)
	sv.Leave()
	_, err := sv.Serve(t.Context(), request(true), func(engine.Chunk) error { return nil })
	if err == nil || refuse.From(err).Reason != refuse.Leaving || len(ga.placed) > 0 {
		t.Errorf("error %v with %d attempts, want leaving and none", err, len(ga.placed))
	}
}
