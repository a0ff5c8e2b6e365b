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

// testRestartedSidecar guards against a repeated dispatch to a restarted
// sidecar, whose refusal is mistaken for proof that the call did not run.
func testRestartedSidecar(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		list := []peer.Event{{Kind: peer.Accepted}}[:0]
		if accepted {
			list = append(list, peer.Event{Kind: peer.Accepted})
		}
		fx := newFixture(t, fmt.Sprintf("restarted, accepted %v", accepted), respondWith(list...))
		di := dispatch("q", time.Minute)
		di.Idempotent, di.Call.Key = false, "k"
		st := fx.mustOpen(di)
		refusing := &scriptedSidecar{respond: func(int, peer.Dispatch) (peer.Stream, error) {
			return nil, refuse.New(refuse.Busy, "no free slot")
		}}
		time.AfterFunc(time.Second, func() { fx.restart("s2", refusing) })
		var re reading
		re.read(fx.ctx, st)
		rf := refuse.From(re.err)
		opens, resumes := refusing.counts()
		if rf.Reason != refuse.LinkLost || rf.Outcome != refuse.Unknown || opens+resumes != 0 {
			fx.errorf("event %+v, error %v, %d dispatches and %d resumes at the new process", re.last, re.err, opens, resumes)
		}
		fx.close()
	}
}

// testTruncatedResponse guards against a response that ends before its last
// frame and is taken for complete.
func testTruncatedResponse(t *testing.T) {
	si := newService(newPacedUpstream(50, 100*time.Millisecond))
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
		fx.errorf("%d chunks, event %+v, error %v, want part of the response and an error", len(re.seqs), re.last, re.err)
	}
}

// testWrongFrames guards against frames of another request or attempt, missing
// chunks and short responses that reach the caller.
func testWrongFrames(t *testing.T) {
	chunk := func(seq uint64) peer.Event {
		return peer.Event{Kind: peer.Data, Seq: seq, Chunk: engine.Chunk{Data: []byte("x")}}
	}
	otherRequest := chunk(2)
	otherRequest.Request, otherRequest.Attempt = "other", 1
	otherAttempt := chunk(2)
	otherAttempt.Request, otherAttempt.Attempt = "q", 7
	for name, list := range map[string][]peer.Event{
		"another request": {{Kind: peer.Accepted}, chunk(1), otherRequest},
		"another attempt": {{Kind: peer.Accepted}, chunk(1), otherAttempt},
		"missing chunk":   {{Kind: peer.Accepted}, chunk(1), chunk(3)},
		"short response":  {{Kind: peer.Accepted}, chunk(1), {Kind: peer.Final, Seq: 2}},
		"refused later":   {{Kind: peer.Accepted}, chunk(1), {Kind: peer.Refused, Refusal: refuse.New(refuse.Busy, "")}},
	} {
		fx := newFixture(t, name, respondWith(list...))
		var re reading
		re.read(fx.ctx, fx.mustOpen(dispatch("q", time.Minute)))
		if re.err == nil || refuse.From(re.err).Outcome != refuse.Unknown || len(re.seqs) != 1 {
			fx.errorf("chunks %v, event %+v, error %v, want chunk 1 and an error", re.seqs, re.last, re.err)
		}
		fx.close()
	}
	late := []peer.Event{{Kind: peer.Accepted}, chunk(1), chunk(1), {Kind: peer.Accepted}, chunk(2), chunk(1), {Kind: peer.Final, Seq: 2}}
	fx := newFixture(t, "late frames", respondWith(late...))
	defer fx.close()
	var re reading
	re.read(fx.ctx, fx.mustOpen(dispatch("q", time.Minute)))
	if !re.complete(2) {
		fx.errorf("chunks %v, event %+v, error %v", re.seqs, re.last, re.err)
	}
}

// testLostCancel guards against a cancellation that is lost with its connection,
// so that the upstream goes on, and against a lost usage report.
func testLostCancel(t *testing.T) {
	up := newPacedUpstream(600, 100*time.Millisecond)
	si := newService(up)
	defer si.Close()
	fx := newFixture(t, "lost cancel", si)
	defer fx.close()
	st := fx.mustOpen(dispatch("q", time.Hour))
	re := reading{onChunk: func(seq uint64) {
		if seq == 10 {
			fx.nw.all()[0].hold(true, true)
			st.Cancel()
		}
	}}
	re.read(fx.ctx, st)
	if re.err != nil || re.last.Kind != peer.Failed || re.last.Charged < 10 || re.elapsed > 10*time.Second {
		fx.errorf("event %+v, error %v after %s, want the usage of a cancelled call", re.last, re.err, re.elapsed)
	}
}

// testOversizedFrame guards against a frame above the limit that ends the
// connection of other streams, is sent repeatedly, or passes for a response.
func testOversizedFrame(t *testing.T) {
	sc := respondWith(peer.Event{Kind: peer.Accepted},
		peer.Event{Kind: peer.Data, Seq: 1, Chunk: engine.Chunk{Data: bytes.Repeat([]byte("x"), 1<<20)}})
	fx := newFixture(t, "oversized", sc)
	defer fx.close()
	var re reading
	re.read(fx.ctx, fx.mustOpen(dispatch("q", time.Minute)))
	_, resumes := sc.counts()
	if re.err == nil || refuse.From(re.err).Outcome != refuse.Unknown || resumes > 1 || len(fx.nw.all()) != 1 {
		fx.errorf("event %v, error %v, %d resumes, %d connections", re.last.Kind, re.err, resumes, len(fx.nw.all()))
	}
	di := dispatch("q2", time.Minute)
	di.Call.Body = make([]byte, 1<<20)
	_, err := fx.cl.Open(fx.ctx, di)
	if rf := refuse.From(err); err == nil || rf.Reason != refuse.TooLarge || rf.Outcome != refuse.NotRun {
		fx.errorf("dispatch above the limit: %v, want tooLarge", err)
	}
}

// testInvalidUTF8 guards against a value that cannot be encoded and therefore
// replaces the connection repeatedly or loses the end of a response.
func testInvalidUTF8(t *testing.T) {
	sc := respondWith(peer.Event{Kind: peer.Accepted}, peer.Event{Kind: peer.Final, Result: engine.Result{
		Status: 200, Header: []engine.Field{{Name: "Content-Type", Value: "\xff"}}}})
	fx := newFixture(t, "invalid UTF-8", sc)
	defer fx.close()
	var re reading
	re.read(fx.ctx, fx.mustOpen(dispatch("q", time.Minute)))
	di := dispatch("q2", time.Minute)
	di.Idempotent, di.Call.Key = false, "\xff"
	_, err := fx.cl.Open(fx.ctx, di)
	if rf := refuse.From(err); err == nil || rf.Reason != refuse.BadRequest || rf.Outcome != refuse.NotRun {
		fx.errorf("dispatch: %v, want badRequest", err)
	}
	if !re.complete(0) || len(fx.nw.all()) != 1 {
		fx.errorf("event %+v, error %v, %d connections, want the complete response and 1", re.last, re.err, len(fx.nw.all()))
	}
}

// testSlowReader guards against a reader that blocks other streams of its
// connection, and against unbounded buffering of output.
func testSlowReader(t *testing.T) {
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
	si := newService(up)
	defer si.Close()
	fx := newFixture(t, "slow reader", si)
	defer fx.close()
	slow := fx.mustOpen(dispatch("slow", time.Minute))
	time.Sleep(time.Second)
	// The sidecar buffers at most 1 MiB of output, and yamux a window of 256 KiB.
	if buffered := emitted.Load(); buffered > 2<<20 {
		fx.errorf("the sidecar took %d bytes from the upstream for a reader that reads nothing", buffered)
	}
	var re reading
	re.read(fx.ctx, fx.mustOpen(dispatch("fast", time.Minute)))
	if !re.complete(400) || re.elapsed > time.Second {
		fx.errorf("the other stream: %d chunks, error %v after %s", len(re.seqs), re.err, re.elapsed)
	}
	re = reading{}
	re.read(fx.ctx, slow)
	if !re.complete(400) {
		fx.errorf("the slow stream: %d chunks, error %v", len(re.seqs), re.err)
	}
}

// testLeavingSidecar guards against a leaving sidecar that gets new work,
// interrupts work in progress, or does not report within 2 s that it leaves.
func testLeavingSidecar(t *testing.T) {
	up := newPacedUpstream(50, 100*time.Millisecond)
	si := newService(up)
	defer si.Close()
	fx := newFixture(t, "leaving", si)
	defer fx.close()
	st := fx.mustOpen(dispatch("q", time.Minute))
	re := reading{onChunk: func(seq uint64) {
		if seq == 10 {
			si.Leave()
		}
		if rp, ok := fx.cl.Report(); seq == 30 && (!ok || !rp.Leaving) {
			fx.errorf("report %+v 2 s after the sidecar started to leave", rp)
		}
	}}
	re.read(fx.ctx, st)
	if !re.complete(50) {
		fx.errorf("%d chunks, error %v, want the complete response", len(re.seqs), re.err)
	}
	var refused reading
	refused.read(fx.ctx, fx.mustOpen(dispatch("q2", time.Minute)))
	rf := refused.last.Refusal
	if refused.last.Kind != peer.Refused || rf.Reason != refuse.Leaving || rf.Outcome != refuse.NotRun || up.count() != 1 {
		fx.errorf("event %+v, error %v, want a refusal with the outcome notRun", refused.last, refused.err)
	}
}

// testLateReport guards against a load report that was delayed on a replaced
// connection and overwrites a newer one.
func testLateReport(t *testing.T) {
	up := newPacedUpstream(60, 100*time.Millisecond)
	si := newService(up)
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
			// A second request changes the load, so that a report is sent and
			// held back.
			fx.mustOpen(dispatch("q2", time.Minute)).Close()
		case 42:
			si.Leave()
		case 56:
			old.sidecar.release()
		}
	}}
	re.read(fx.ctx, fx.mustOpen(dispatch("q", time.Minute)))
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	if !left || late != 0 || !re.complete(60) {
		fx.errorf("leaving %v, %d late reports, %d chunks, error %v", left, late, len(re.seqs), re.err)
	}
}
