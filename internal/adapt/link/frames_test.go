package link_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// restarted guards against a re-dispatch to a restarted sidecar whose refusal
// is taken for proof that the call did not run.
func restarted(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		list := []peer.Event{{Kind: peer.Accepted}}[:0]
		if accepted {
			list = append(list, peer.Event{Kind: peer.Accepted})
		}
		fx := newFixture(t, fmt.Sprintf("restarted, accepted %v", accepted), answers(list...))
		di := dispatch("q", time.Minute)
		di.Idempotent, di.Call.Key = false, "k"
		st := fx.must(di)
		refusing := &script{answer: func(int, peer.Dispatch) (peer.Stream, error) {
			return nil, refuse.New(refuse.Busy, "no place")
		}}
		time.AfterFunc(time.Second, func() { fx.restart("s2", refusing) })
		var re reading
		re.read(fx.ctx, st)
		rf := refuse.From(re.err)
		opens, resumes := refusing.counts()
		if rf.Reason != refuse.LinkLost || rf.Outcome != refuse.Unknown || opens+resumes != 0 {
			fx.fail("event %+v, error %v, %d dispatches and %d resumes at the new process", re.last, re.err, opens, resumes)
		}
		fx.close()
	}
}

// cutOff guards against an answer that ends before its last frame and is taken
// for whole.
func cutOff(t *testing.T) {
	si := service(paced(50, 100*time.Millisecond))
	defer si.Close()
	fx := newFixture(t, "cut off", si)
	defer fx.close()
	re := reading{onChunk: func(seq uint64) {
		if seq == 10 {
			fx.nw.down.Store(true)
			fx.nw.all()[0].sidecar.truncate(100)
		}
	}}
	ctx, cancel := context.WithTimeout(fx.ctx, time.Minute)
	defer cancel()
	st, err := fx.cl.Open(ctx, dispatch("q", time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	re.read(ctx, st)
	if re.err == nil || refuse.From(re.err).Outcome != refuse.Unknown || len(re.seqs) < 10 || len(re.seqs) > 20 {
		fx.fail("%d chunks, event %+v, error %v, want a part and an error", len(re.seqs), re.last, re.err)
	}
}

// wrongFrames guards against frames of another request or attempt, missing
// chunks and a short answer that reach the caller.
func wrongFrames(t *testing.T) {
	chunk := func(seq uint64) peer.Event {
		return peer.Event{Kind: peer.Data, Seq: seq, Chunk: engine.Chunk{Data: []byte("x")}}
	}
	foreign := chunk(2)
	foreign.Request, foreign.Attempt = "other", 1
	older := chunk(2)
	older.Request, older.Attempt = "q", 7
	for name, list := range map[string][]peer.Event{
		"another request": {{Kind: peer.Accepted}, chunk(1), foreign},
		"another attempt": {{Kind: peer.Accepted}, chunk(1), older},
		"missing chunk":   {{Kind: peer.Accepted}, chunk(1), chunk(3)},
		"short answer":    {{Kind: peer.Accepted}, chunk(1), {Kind: peer.Final, Seq: 2}},
		"refused later":   {{Kind: peer.Accepted}, chunk(1), {Kind: peer.Refused, Refusal: refuse.New(refuse.Busy, "")}},
	} {
		fx := newFixture(t, name, answers(list...))
		var re reading
		re.read(fx.ctx, fx.must(dispatch("q", time.Minute)))
		if re.err == nil || refuse.From(re.err).Outcome != refuse.Unknown || len(re.seqs) != 1 {
			fx.fail("chunks %v, event %+v, error %v, want chunk 1 and an error", re.seqs, re.last, re.err)
		}
		fx.close()
	}
	late := []peer.Event{{Kind: peer.Accepted}, chunk(1), chunk(1), {Kind: peer.Accepted}, chunk(2), chunk(1), {Kind: peer.Final, Seq: 2}}
	fx := newFixture(t, "late frames", answers(late...))
	defer fx.close()
	var re reading
	re.read(fx.ctx, fx.must(dispatch("q", time.Minute)))
	if !re.whole(2) {
		fx.fail("chunks %v, event %+v, error %v", re.seqs, re.last, re.err)
	}
}

// lostCancel guards against a cancellation that is lost with its connection,
// so that the upstream goes on, and against a lost report of the usage.
func lostCancel(t *testing.T) {
	up := paced(600, 100*time.Millisecond)
	si := service(up)
	defer si.Close()
	fx := newFixture(t, "lost cancel", si)
	defer fx.close()
	st := fx.must(dispatch("q", time.Hour))
	re := reading{onChunk: func(seq uint64) {
		if seq == 10 {
			fx.nw.all()[0].hold(true, true)
			st.Cancel()
		}
	}}
	re.read(fx.ctx, st)
	if re.err != nil || re.last.Kind != peer.Failed || re.last.Charged < 10 || re.took > 10*time.Second {
		fx.fail("event %+v, error %v after %s, want the usage of a cancelled call", re.last, re.err, re.took)
	}
}

// oversized guards against a frame above the limit that ends the connection of
// other streams, is sent again and again, or passes for an answer.
func oversized(t *testing.T) {
	sc := answers(peer.Event{Kind: peer.Accepted},
		peer.Event{Kind: peer.Data, Seq: 1, Chunk: engine.Chunk{Data: bytes.Repeat([]byte("x"), 1<<20)}})
	fx := newFixture(t, "oversized", sc)
	defer fx.close()
	var re reading
	re.read(fx.ctx, fx.must(dispatch("q", time.Minute)))
	_, resumes := sc.counts()
	if re.err == nil || refuse.From(re.err).Outcome != refuse.Unknown || resumes > 1 || len(fx.nw.all()) != 1 {
		fx.fail("event %v, error %v, %d resumes, %d connections", re.last.Kind, re.err, resumes, len(fx.nw.all()))
	}
	di := dispatch("q2", time.Minute)
	di.Call.Body = make([]byte, 1<<20)
	_, err := fx.cl.Open(fx.ctx, di)
	if rf := refuse.From(err); err == nil || rf.Reason != refuse.TooLarge || rf.Outcome != refuse.NotRun {
		fx.fail("dispatch above the limit: %v, want tooLarge", err)
	}
}

// notText guards against a value that cannot be encoded and that replaces the
// connection again and again, or loses the end of an answer.
func notText(t *testing.T) {
	sc := answers(peer.Event{Kind: peer.Accepted}, peer.Event{Kind: peer.Final, Result: engine.Result{
		Status: 200, Header: []engine.Field{{Name: "Content-Type", Value: "\xff"}}}})
	fx := newFixture(t, "not text", sc)
	defer fx.close()
	var re reading
	re.read(fx.ctx, fx.must(dispatch("q", time.Minute)))
	di := dispatch("q2", time.Minute)
	di.Idempotent, di.Call.Key = false, "\xff"
	_, err := fx.cl.Open(fx.ctx, di)
	if rf := refuse.From(err); err == nil || rf.Reason != refuse.BadRequest || rf.Outcome != refuse.NotRun {
		fx.fail("dispatch: %v, want badRequest", err)
	}
	if !re.whole(0) || len(fx.nw.all()) != 1 {
		fx.fail("event %+v, error %v, %d connections, want the whole answer and 1", re.last, re.err, len(fx.nw.all()))
	}
}

// slowReader guards against a reader that holds up other streams of its
// connection, and against output without bound in memory.
func slowReader(t *testing.T) {
	const size = 32 << 10
	var emitted atomic.Int64
	up := &upstream{run: func(_ context.Context, emit func(engine.Chunk) error) error {
		for range 400 {
			if err := emit(engine.Chunk{Data: make([]byte, size), Tokens: 1}); err != nil {
				return err
			}
			emitted.Add(size)
		}
		return nil
	}}
	si := service(up)
	defer si.Close()
	fx := newFixture(t, "slow reader", si)
	defer fx.close()
	slow := fx.must(dispatch("slow", time.Minute))
	time.Sleep(time.Second)
	// The sidecar keeps at most 1 MiB of output, and yamux a window of 256 KiB.
	if kept := emitted.Load(); kept > 2<<20 {
		fx.fail("the sidecar took %d bytes from the upstream for a reader that reads nothing", kept)
	}
	var re reading
	re.read(fx.ctx, fx.must(dispatch("fast", time.Minute)))
	if !re.whole(400) || re.took > time.Second {
		fx.fail("the other stream: %d chunks, error %v after %s", len(re.seqs), re.err, re.took)
	}
	re = reading{}
	re.read(fx.ctx, slow)
	if !re.whole(400) {
		fx.fail("the slow stream: %d chunks, error %v", len(re.seqs), re.err)
	}
}

// leaving guards against a leaving sidecar that gets new work, interrupts work
// in progress, or does not tell within 2 s.
func leaving(t *testing.T) {
	up := paced(50, 100*time.Millisecond)
	si := service(up)
	defer si.Close()
	fx := newFixture(t, "leaving", si)
	defer fx.close()
	st := fx.must(dispatch("q", time.Minute))
	re := reading{onChunk: func(seq uint64) {
		if seq == 10 {
			si.Leave()
		}
		if rp, ok := fx.cl.Report(); seq == 30 && (!ok || !rp.Leaving) {
			fx.fail("report %+v 2 s after the sidecar began to leave", rp)
		}
	}}
	re.read(fx.ctx, st)
	if !re.whole(50) {
		fx.fail("%d chunks, error %v, want the whole answer", len(re.seqs), re.err)
	}
	var refused reading
	refused.read(fx.ctx, fx.must(dispatch("q2", time.Minute)))
	rf := refused.last.Refusal
	if refused.last.Kind != peer.Refused || rf.Reason != refuse.Leaving || rf.Outcome != refuse.NotRun || up.count() != 1 {
		fx.fail("event %+v, error %v, want the proof that it did not run", refused.last, refused.err)
	}
}

// lateReport guards against a load report that a replaced connection held back
// and that overwrites a newer one.
func lateReport(t *testing.T) {
	up := paced(60, 100*time.Millisecond)
	si := service(up)
	defer si.Close()
	var mu sync.Mutex
	left, late := false, 0
	fx := newFixture(t, "late report", si, link.WithOnReport(func(rp peer.Report) {
		mu.Lock()
		defer mu.Unlock()
		if left && !rp.Leaving {
			late++
		}
		left = left || rp.Leaving
	}))
	defer fx.close()
	old := fx.nw.all()[0]
	re := reading{onChunk: func(seq uint64) {
		switch seq {
		case 11:
			old.hold(false, true)
			// A change of the load, so that a report is held back.
			fx.must(dispatch("q2", time.Minute)).Close()
		case 42:
			si.Leave()
		case 56:
			old.sidecar.release()
		}
	}}
	re.read(fx.ctx, fx.must(dispatch("q", time.Minute)))
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	if !left || late != 0 || !re.whole(60) {
		fx.fail("leaving %v, %d late reports, %d chunks, error %v", left, late, len(re.seqs), re.err)
	}
}
