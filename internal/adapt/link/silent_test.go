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

// TestFaults runs all cases in one bubble, because yamux keeps timers in a pool
// that all sessions of the process share, and a timer must stay in its bubble.
func TestFaults(t *testing.T) {
	emptyPools()
	defer emptyPools()
	synctest.Test(t, func(t *testing.T) {
		for _, run := range []func(*testing.T){
			silent, silentBefore, heldDispatch, slowAccept, callerGone, drained, deadSidecar, restarted,
			cutOff, wrongFrames, lostCancel, oversized, notText, slowReader, leaving, lateReport, wrongPeers,
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

// silent guards against a connection that goes silent and holds a stream for
// ever, and against a resumption that runs the request again or loses or
// repeats a chunk.
func silent(t *testing.T) {
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
		up := paced(100, tc.every)
		si := service(up)
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
		re.read(fx.ctx, fx.must(dispatch("q", time.Hour)))
		if !re.whole(100) || up.count() != 1 || re.gap > tc.limit {
			fx.fail("%d chunks, last %+v, error %v, %d runs, longest gap %s", len(re.seqs), re.last, re.err, up.count(), re.gap)
		}
		t.Logf("silent %s: new connection after %s, longest time without a chunk %s", tc.name, (<-fresh).Sub(cutAt), re.gap)
		fx.close()
		si.Close()
	}
}

// silentBefore guards against a lost Accepted or a lost dispatch that holds
// the request or runs it twice.
func silentBefore(t *testing.T) {
	for _, tc := range []struct {
		name            string
		router, sidecar bool
	}{{"accepted lost", false, true}, {"dispatch lost", true, false}, {"both lost", true, true}} {
		up := paced(20, 10*time.Millisecond)
		si := service(up)
		fx := newFixture(t, tc.name, si)
		fx.nw.all()[0].hold(tc.router, tc.sidecar)
		var re reading
		re.read(fx.ctx, fx.must(dispatch("q", time.Minute)))
		if !re.whole(20) || up.count() != 1 || re.took > 5*time.Second {
			fx.fail("%d chunks, error %v, %d runs, took %s", len(re.seqs), re.err, up.count(), re.took)
		}
		t.Logf("%s: whole answer after %s", tc.name, re.took)
		fx.close()
		si.Close()
	}
}

// heldDispatch guards against a refusal of the second copy of a dispatch that
// is taken for proof, although the first copy still arrives and runs.
func heldDispatch(t *testing.T) {
	sc := answers(peer.Event{Kind: peer.Accepted})
	accept := sc.answer
	sc.answer = func(number int, di peer.Dispatch) (peer.Stream, error) {
		if number == 1 {
			return nil, refuse.New(refuse.Busy, "no place")
		}
		return accept(number, di)
	}
	fx := newFixture(t, "held dispatch", sc)
	defer fx.close()
	old := fx.nw.all()[0]
	old.hold(true, false)
	st := fx.must(dispatch("q", time.Minute))
	var re reading
	re.read(fx.ctx, st)
	old.router.release()
	time.Sleep(time.Second)
	if opens, _ := sc.counts(); opens != 2 {
		fx.fail("%d dispatches arrived, want both copies", opens)
	}
	if re.err == nil || refuse.From(re.err).Outcome != refuse.Unknown {
		fx.fail("event %+v, error %v, want the outcome unknown", re.last, re.err)
	}
}

// slowAccept guards against a call whose claim takes long and that replaces a
// connection which is not silent.
func slowAccept(t *testing.T) {
	sc := answers(peer.Event{Kind: peer.Accepted}, peer.Event{Kind: peer.Final})
	answer := sc.answer
	sc.answer = func(number int, di peer.Dispatch) (peer.Stream, error) {
		time.Sleep(20 * time.Second)
		return answer(number, di)
	}
	fx := newFixture(t, "slow accept", sc)
	defer fx.close()
	var re reading
	re.read(fx.ctx, fx.must(dispatch("q", time.Minute)))
	if opens, _ := sc.counts(); !re.whole(0) || opens != 1 || len(fx.nw.all()) != 1 {
		fx.fail("error %v, %d dispatches, %d connections, want 1 and 1", re.err, opens, len(fx.nw.all()))
	}
}

// callerGone guards against a caller whose time ends and whose stream replaces
// a connection that other streams work on.
func callerGone(t *testing.T) {
	si := service(paced(100, time.Second))
	defer si.Close()
	fx := newFixture(t, "caller gone", si)
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
		fx.fail("error %v and %d connections, want timedOut and 1", re.err, len(fx.nw.all()))
	}
}

// drained guards against replaced connections that stay open for ever when
// they work again.
func drained(t *testing.T) {
	si := service(paced(50, 100*time.Millisecond))
	defer si.Close()
	fx := newFixture(t, "drained", si)
	defer fx.close()
	old := fx.nw.all()[0]
	re := reading{onChunk: func(seq uint64) {
		// The first keepalive after the cut is answered in time.
		if seq == 15 {
			old.hold(false, true)
		}
		if seq == 20 {
			old.sidecar.release()
		}
	}}
	re.read(fx.ctx, fx.must(dispatch("q", time.Minute)))
	time.Sleep(5 * time.Second)
	if !re.whole(50) || len(fx.nw.all()) != 2 || fx.nw.open() != 1 {
		fx.fail("error %v, %d connections of which %d are open, want 2 and 1", re.err, len(fx.nw.all()), fx.nw.open())
	}
}

// deadSidecar guards against an idempotent request without output that waits
// for a dead sidecar until its deadline in place of a retry elsewhere.
func deadSidecar(t *testing.T) {
	up := &upstream{run: func(ctx context.Context, _ func(engine.Chunk) error) error {
		<-ctx.Done()
		return ctx.Err()
	}}
	si := service(up)
	defer si.Close()
	fx := newFixture(t, "dead sidecar", si)
	defer fx.close()
	st := fx.must(dispatch("q", time.Hour))
	time.AfterFunc(time.Second, func() {
		fx.nw.down.Store(true)
		fx.nw.cut()
	})
	var re reading
	re.read(fx.ctx, st)
	rf := refuse.From(re.err)
	if rf.Reason != refuse.LinkLost || rf.Outcome != refuse.Unknown || re.took > 5*time.Second {
		fx.fail("error %v after %s, want linkLost within 5 s", re.err, re.took)
	}
	t.Logf("dead sidecar: the router may retry elsewhere %s after the loss", re.took-time.Second)
}
