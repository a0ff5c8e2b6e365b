package link_test

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// TestFaults runs the cases of faulty links, each of which says what it guards
// against. They share one synctest bubble, because yamux keeps timers in a pool
// that all sessions of the process share, and a timer must stay in its bubble.
func TestFaults(t *testing.T) {
	emptyPools()
	defer emptyPools()
	synctest.Test(t, func(t *testing.T) {
		for _, run := range []func(*testing.T){
			testSilentConnection, testSilentBeforeAccepted, testDelayedDispatch, testSlowAccept, testCallerTimeout,
			testReplacedSessionCloses, testDeadSidecar, testRestartedSidecar, testTruncatedResponse, testWrongFrames,
			testLostCancel, testOversizedFrame, testInvalidUTF8, testSlowReader, testLeavingSidecar, testLateReport,
			testUntrustedPeers,
		} {
			run(t)
		}
	})
}

// emptyPools drops pooled timers, which may belong to another bubble. An entry
// of a sync.Pool survives one collection.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}

// testSilentConnection guards against a connection that goes silent and blocks a
// stream forever, and against a resumption that runs the request again or loses
// or repeats a chunk.
func testSilentConnection(t *testing.T) {
	for _, tc := range []struct {
		name            string
		router, sidecar bool
		every, limit    time.Duration
	}{
		{"to the router", false, true, 100 * time.Millisecond, 3500 * time.Millisecond},
		{"to the sidecar", true, false, 100 * time.Millisecond, 3500 * time.Millisecond},
		{"both directions", true, true, 100 * time.Millisecond, 3500 * time.Millisecond},
		{"to the router, slow chunks", false, true, 5 * time.Second, 10 * time.Second},
		{"to the sidecar, slow chunks", true, false, 5 * time.Second, 10 * time.Second},
	} {
		up := newPacedUpstream(100, tc.every)
		si := newService(up)
		fx := newFixture(t, tc.name, si)
		var cutAt time.Time
		fresh := make(chan time.Time, 1)
		re := reading{onChunk: func(seq uint64) {
			if seq == 10 {
				cutAt = time.Now()
				fx.nw.all()[0].hold(tc.router, tc.sidecar)
				go func() {
					for len(fx.nw.all()) < 2 && time.Since(cutAt) < time.Minute {
						time.Sleep(10 * time.Millisecond)
					}
					fresh <- time.Now()
				}()
			}
		}}
		re.read(fx.ctx, fx.mustOpen(dispatch("q", time.Hour)))
		if !re.complete(100) || up.count() != 1 || re.gap > tc.limit {
			fx.errorf("%d chunks, last %+v, error %v, %d runs, longest gap %s", len(re.seqs), re.last, re.err, up.count(), re.gap)
		}
		t.Logf("silent %s: new connection after %s, longest time without a chunk %s", tc.name, (<-fresh).Sub(cutAt), re.gap)
		fx.close()
		si.Close()
	}
}

// testSilentBeforeAccepted guards against a lost Accepted frame or a lost
// dispatch that blocks the request or runs it twice.
func testSilentBeforeAccepted(t *testing.T) {
	for _, tc := range []struct {
		name            string
		router, sidecar bool
	}{{"accepted lost", false, true}, {"dispatch lost", true, false}, {"both lost", true, true}} {
		up := newPacedUpstream(20, 10*time.Millisecond)
		si := newService(up)
		fx := newFixture(t, tc.name, si)
		fx.nw.all()[0].hold(tc.router, tc.sidecar)
		var re reading
		re.read(fx.ctx, fx.mustOpen(dispatch("q", time.Minute)))
		if !re.complete(20) || up.count() != 1 || re.elapsed > 5*time.Second {
			fx.errorf("%d chunks, error %v, %d runs, elapsed %s", len(re.seqs), re.err, up.count(), re.elapsed)
		}
		t.Logf("%s: complete response after %s", tc.name, re.elapsed)
		fx.close()
		si.Close()
	}
}

// testDelayedDispatch guards against a refusal of the second copy of a dispatch
// that is taken for proof that the call did not run, although the first copy
// still arrives and runs.
func testDelayedDispatch(t *testing.T) {
	sc := respondWith(peer.Event{Kind: peer.Accepted})
	accept := sc.respond
	sc.respond = func(number int, di peer.Dispatch) (peer.Stream, error) {
		if number == 1 {
			return nil, refuse.New(refuse.Busy, "no free slot")
		}
		return accept(number, di)
	}
	fx := newFixture(t, "delayed dispatch", sc)
	defer fx.close()
	old := fx.nw.all()[0]
	old.hold(true, false)
	st := fx.mustOpen(dispatch("q", time.Minute))
	var re reading
	re.read(fx.ctx, st)
	old.router.release()
	time.Sleep(time.Second)
	if opens, _ := sc.counts(); opens != 2 {
		fx.errorf("%d dispatches arrived, want both copies", opens)
	}
	if re.err == nil || refuse.From(re.err).Outcome != refuse.Unknown {
		fx.errorf("event %+v, error %v, want the outcome unknown", re.last, re.err)
	}
}

// testSlowAccept guards against the replacement of a connection that is not
// silent while the claim of the key of a call takes long.
func testSlowAccept(t *testing.T) {
	sc := respondWith(peer.Event{Kind: peer.Accepted}, peer.Event{Kind: peer.Final})
	respond := sc.respond
	sc.respond = func(number int, di peer.Dispatch) (peer.Stream, error) {
		time.Sleep(20 * time.Second)
		return respond(number, di)
	}
	fx := newFixture(t, "slow accept", sc)
	defer fx.close()
	var re reading
	re.read(fx.ctx, fx.mustOpen(dispatch("q", time.Minute)))
	if opens, _ := sc.counts(); !re.complete(0) || opens != 1 || len(fx.nw.all()) != 1 {
		fx.errorf("error %v, %d dispatches, %d connections, want 1 and 1", re.err, opens, len(fx.nw.all()))
	}
}

// testCallerTimeout guards against a caller that times out and whose stream
// then replaces a connection that other streams use.
func testCallerTimeout(t *testing.T) {
	si := newService(newPacedUpstream(100, time.Second))
	defer si.Close()
	fx := newFixture(t, "caller timeout", si)
	defer fx.close()
	ctx, cancel := context.WithTimeout(fx.ctx, 10*time.Second)
	defer cancel()
	st, err := fx.cl.Open(ctx, dispatch("q", time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	var re reading
	re.read(ctx, st)
	st.Close()
	time.Sleep(10 * time.Second)
	if refuse.From(re.err).Reason != refuse.TimedOut || len(fx.nw.all()) != 1 {
		fx.errorf("error %v and %d connections, want timedOut and 1", re.err, len(fx.nw.all()))
	}
}

// testReplacedSessionCloses guards against replaced connections that stay open
// forever when they work again.
func testReplacedSessionCloses(t *testing.T) {
	si := newService(newPacedUpstream(50, 100*time.Millisecond))
	defer si.Close()
	fx := newFixture(t, "replaced session", si)
	defer fx.close()
	old := fx.nw.all()[0]
	re := reading{onChunk: func(seq uint64) {
		// The response to the first keepalive after the cut arrives in time.
		if seq == 15 {
			old.hold(false, true)
		}
		if seq == 20 {
			old.sidecar.release()
		}
	}}
	re.read(fx.ctx, fx.mustOpen(dispatch("q", time.Minute)))
	time.Sleep(5 * time.Second)
	if !re.complete(50) || len(fx.nw.all()) != 2 || fx.nw.openCount() != 1 {
		fx.errorf("error %v, %d connections of which %d are open, want 2 and 1", re.err, len(fx.nw.all()), fx.nw.openCount())
	}
}

// testDeadSidecar guards against an idempotent request without output that waits
// for a dead sidecar until its deadline instead of being retried elsewhere.
func testDeadSidecar(t *testing.T) {
	up := &upstream{run: func(ctx context.Context, _ func(engine.Chunk) error) error {
		<-ctx.Done()
		return ctx.Err()
	}}
	si := newService(up)
	defer si.Close()
	fx := newFixture(t, "dead sidecar", si)
	defer fx.close()
	st := fx.mustOpen(dispatch("q", time.Hour))
	time.AfterFunc(time.Second, func() {
		fx.nw.down.Store(true)
		fx.nw.closeAll()
	})
	var re reading
	re.read(fx.ctx, st)
	rf := refuse.From(re.err)
	if rf.Reason != refuse.LinkLost || rf.Outcome != refuse.Unknown || re.elapsed > 5*time.Second {
		fx.errorf("error %v after %s, want linkLost within 5 s", re.err, re.elapsed)
	}
	t.Logf("dead sidecar: the router may retry elsewhere %s after the loss", re.elapsed-time.Second)
}
