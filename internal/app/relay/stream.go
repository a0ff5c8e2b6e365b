package relay

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

var (
	// ErrSuperseded means that the attempt is read on a newer stream.
	ErrSuperseded = errors.New("relay: the attempt is read on another stream")
	// ErrEnded means that the last event was already delivered.
	ErrEnded = errors.New("relay: the stream has ended")
)

// stream delivers the events of one attempt.
type stream struct {
	run    *run
	view   *view
	id     attemptID
	next   uint64
	accept bool
	ended  bool
}

var _ peer.Stream = (*stream)(nil)

// Recv returns the next event and waits for it if necessary. When ctx ends,
// the reader counts as silent until Recv is called again.
func (st *stream) Recv(ctx context.Context) (peer.Event, error) {
	rn := st.run
	rn.mu.Lock()
	st.view.pending++
	for {
		ev, ok, err := st.poll()
		if ok || err != nil || ctx.Err() != nil {
			if !ok && err == nil {
				err = ctx.Err()
			}
			st.idle()
			rn.mu.Unlock()
			return ev, err
		}
		wait := rn.changed
		rn.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
		}
		rn.mu.Lock()
	}
}

// idle notes that no call to Recv is in progress. rn.mu is held.
func (st *stream) idle() {
	st.view.pending--
	st.view.idle = st.run.sv.clk.Now()
	if st.view.lost == nil && !st.view.delivered {
		st.run.watch(st.view)
	}
}

// poll returns the next event, if there is one. rn.mu is held.
func (st *stream) poll() (peer.Event, bool, error) {
	rn := st.run
	switch {
	case st.ended:
		return peer.Event{}, false, ErrEnded
	case st.view.lost != nil:
		return peer.Event{}, false, rn.sv.unknown(rn.di, st.view.lost.Reason, "%s", st.view.lost.Detail)
	case st.view.cur != st:
		return peer.Event{}, false, ErrSuperseded
	case rn.gone:
		return peer.Event{}, false, rn.sv.unknown(rn.di, refuse.Truncated, "chunk %d of the answer is no longer held", st.next)
	case st.accept:
		st.accept = false
		return st.event(peer.Event{Kind: peer.Accepted}), true, nil
	}
	if st.view.cancelled {
		return st.last()
	}
	ch, ok, err := rn.buf.Read(st.next)
	if err != nil {
		return peer.Event{}, false, rn.sv.unknown(rn.di, refuse.Truncated, "chunk %d of the answer is no longer held", st.next)
	}
	if ok {
		st.next++
		return st.event(peer.Event{Kind: peer.Data, Seq: st.next - 1, Chunk: ch}), true, nil
	}
	if rn.end != nil && st.next != rn.buf.Last()+1 {
		return peer.Event{}, false, rn.sv.unknown(rn.di, refuse.Truncated, "the answer has %d chunks, not %d", rn.buf.Last(), st.next-1)
	}
	return st.last()
}

// last returns the last event, if the run has ended. rn.mu is held.
func (st *stream) last() (peer.Event, bool, error) {
	rn := st.run
	if rn.end == nil {
		return peer.Event{}, false, nil
	}
	st.ended, st.view.delivered = true, true
	rn.settle()
	return st.event(*rn.end), true, nil
}

// event addresses the event to the attempt that reads it.
func (st *stream) event(ev peer.Event) peer.Event {
	ev.Request, ev.Attempt = st.id.request, st.id.attempt
	ev.Replay = st.run.replay || !st.view.first
	if ev.Replay {
		ev.Charged = 0
	}
	return ev
}

// Ack tells that all chunks up to seq were received.
func (st *stream) Ack(seq uint64) {
	rn := st.run
	rn.mu.Lock()
	defer rn.mu.Unlock()
	// Only chunks that were delivered can have been received.
	seq = min(seq, st.next-1)
	if st.view.cur != st || seq <= st.view.acked {
		return
	}
	st.view.acked, st.view.idle = seq, rn.sv.clk.Now()
	rn.advance()
	rn.notify()
}

// Cancel gives up the rest of the output. A call that may be interrupted is
// stopped when nobody else reads it; a non-idempotent call runs on, so that its
// outcome is known. Recv still returns the last event.
func (st *stream) Cancel() {
	rn := st.run
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if st.view.cur != st || st.ended {
		return
	}
	st.view.cancelled = true
	rn.halt(refuse.New(refuse.Cancelled, "cancelled by the router").WithOutcome(refuse.Unknown))
}

// Close releases the stream. The reader counts as silent from its last call to
// Recv.
func (st *stream) Close() {}
