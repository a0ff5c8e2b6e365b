package relay

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

var (
	// ErrSuperseded means that a newer stream reads the attempt.
	ErrSuperseded = errors.New("relay: the attempt is read on another stream")
	// ErrEnded means that the stream has already delivered the last event.
	ErrEnded = errors.New("relay: the stream has ended")
)

// stream delivers the events of one attempt.
type stream struct {
	run           *run
	reader        *reader
	id            attemptID
	next          uint64
	acceptPending bool
	ended         bool
}

var _ peer.Stream = (*stream)(nil)

// Recv waits for the next event and returns it, or the error of ctx when ctx
// ends. The reader counts as inactive from the return of Recv to its next call.
func (st *stream) Recv(ctx context.Context) (peer.Event, error) {
	rn := st.run
	rn.mu.Lock()
	st.reader.pendingRecvs++
	for {
		ev, ok, err := st.nextEvent()
		if ok || err != nil || ctx.Err() != nil {
			if !ok && err == nil {
				err = ctx.Err()
			}
			st.endRecv()
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

// endRecv records the end of a call to Recv, which starts the reader's grace
// period. rn.mu is held.
func (st *stream) endRecv() {
	st.reader.pendingRecvs--
	st.reader.lastActive = st.run.sv.clk.Now()
	if st.reader.dropped == nil && !st.reader.delivered {
		st.run.scheduleIdleCheck(st.reader)
	}
}

// nextEvent returns the next event without waiting, and whether there is one.
// rn.mu is held.
func (st *stream) nextEvent() (peer.Event, bool, error) {
	rn := st.run
	switch {
	case st.ended:
		return peer.Event{}, false, ErrEnded
	case st.reader.dropped != nil:
		return peer.Event{}, false, rn.sv.unknownOutcome(rn.di, st.reader.dropped.Reason, "%s", st.reader.dropped.Detail)
	case st.reader.cur != st:
		return peer.Event{}, false, ErrSuperseded
	case rn.discarded:
		return peer.Event{}, false, rn.sv.unknownOutcome(rn.di, refuse.Truncated, "chunk %d of the response is no longer buffered", st.next)
	case st.acceptPending:
		st.acceptPending = false
		return st.forAttempt(peer.Event{Kind: peer.Accepted}), true, nil
	}
	if st.reader.cancelled {
		return st.lastEvent()
	}
	ch, ok, err := rn.buf.Read(st.next)
	if err != nil {
		return peer.Event{}, false, rn.sv.unknownOutcome(rn.di, refuse.Truncated, "chunk %d of the response is no longer buffered", st.next)
	}
	if ok {
		st.next++
		return st.forAttempt(peer.Event{Kind: peer.Data, Seq: st.next - 1, Chunk: ch}), true, nil
	}
	if rn.endEvent != nil && st.next != rn.buf.Last()+1 {
		return peer.Event{}, false, rn.sv.unknownOutcome(rn.di, refuse.Truncated, "the response has %d chunks, not %d", rn.buf.Last(), st.next-1)
	}
	return st.lastEvent()
}

// lastEvent returns the last event, and whether the run has ended. rn.mu is
// held.
func (st *stream) lastEvent() (peer.Event, bool, error) {
	rn := st.run
	if rn.endEvent == nil {
		return peer.Event{}, false, nil
	}
	st.ended, st.reader.delivered = true, true
	rn.leaveDrain()
	return st.forAttempt(*rn.endEvent), true, nil
}

// forAttempt returns the event with the identifiers of the attempt that reads
// it. Only the first attempt of a run is charged.
func (st *stream) forAttempt(ev peer.Event) peer.Event {
	ev.Request, ev.Attempt = st.id.request, st.id.attempt
	ev.Replay = st.run.replay || !st.reader.first
	if ev.Replay {
		ev.Charged = 0
	}
	return ev
}

// Ack acknowledges all chunks up to seq.
func (st *stream) Ack(seq uint64) {
	rn := st.run
	rn.mu.Lock()
	defer rn.mu.Unlock()
	// An acknowledgement counts only for chunks that were delivered.
	seq = min(seq, st.next-1)
	if st.reader.cur != st || seq <= st.reader.acked {
		return
	}
	st.reader.acked, st.reader.lastActive = seq, rn.sv.clk.Now()
	rn.advanceBuffer()
	rn.notify()
}

// Cancel discards the rest of the attempt's output. An idempotent call is
// cancelled if no other attempt reads it; a non-idempotent call continues, so
// that its outcome becomes known. Recv still returns the last event.
func (st *stream) Cancel() {
	rn := st.run
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if st.reader.cur != st || st.ended {
		return
	}
	st.reader.cancelled = true
	rn.afterReaderGone(refuse.New(refuse.Cancelled, "cancelled by the router").WithOutcome(refuse.Unknown))
}

// Close has nothing to release: the reader counts as inactive since its last
// call to Recv or Ack, and is dropped after the grace period.
func (st *stream) Close() {}
