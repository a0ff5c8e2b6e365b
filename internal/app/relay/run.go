package relay

import (
	"context"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/frame"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// run is one call to the upstream together with its output. One worker
// goroutine executes it; any number of streams read it.
type run struct {
	sv       *Service
	di       peer.Dispatch
	claimant claim.Claimant
	// credit is what earlier runs with the same key were charged.
	credit ident.Tokens
	ctx    context.Context
	cancel context.CancelCauseFunc
	// decided is closed once it is known whether the call may run.
	decided chan struct{}
	// ended is closed when the call has ended.
	ended chan struct{}

	// Only the worker goroutine uses these fields. row is the record that the
	// table holds or has to hold, and version the row's version that was read
	// last.
	row     claim.Record
	version uint64
	// body is the response body to store, which ends early if truncated.
	body      []byte
	truncated bool
	// metered counts the tokens of the chunks that were emitted.
	metered ident.Tokens
	// failure is the first error of emit.
	failure error

	// mu guards the fields below.
	mu       sync.Mutex
	buf      *frame.ReplayBuffer[engine.Chunk]
	readers  map[attemptID]*reader
	endEvent *peer.Event
	// total is what was charged for the key, including credit.
	total ident.Tokens
	// replay means that the output comes from a stored outcome.
	replay bool
	// stored means that no write of the row is pending.
	stored bool
	// inDrain means that the run is counted by the drain gate of the service.
	inDrain bool
	// discarded means that the output is no longer buffered.
	discarded bool
	// stopping means that the call was cancelled and has not ended yet.
	stopping bool
	// changed is closed and replaced on every change that streams wait for.
	changed chan struct{}
}

// reader is the read position of one attempt in the output of a run.
type reader struct {
	router ident.Incarnation
	// first marks the attempt that is charged.
	first bool
	// cur is the stream that delivers the output, or nil.
	cur *stream
	// acked is the number of the last chunk that was acknowledged.
	acked        uint64
	pendingRecvs int
	lastActive   time.Time
	// checkScheduled means that a call to checkIdle is scheduled.
	checkScheduled bool
	cancelled      bool
	// delivered means that the last event was received.
	delivered bool
	// dropped is the reason for which the reader was dropped, or nil.
	dropped *refuse.Refusal
}

func newRun(sv *Service, di peer.Dispatch, credit ident.Tokens) *run {
	rn := &run{
		sv: sv, di: di, credit: credit, total: credit, inDrain: true, stored: true,
		claimant: claim.Claimant{
			Sidecar: sv.self, Upstream: sv.upstream.ID, Request: di.Request, Attempt: di.Attempt,
		},
		decided: make(chan struct{}), ended: make(chan struct{}), changed: make(chan struct{}),
		buf: frame.NewReplayBuffer[engine.Chunk](sv.bufferBytes, sv.bufferChunks),
	}
	rn.ctx, rn.cancel = context.WithCancelCause(sv.base)
	rn.readers = map[attemptID]*reader{idOf(di): {router: di.Router, first: true, lastActive: sv.clk.Now()}}
	rn.scheduleIdleCheck(rn.readers[idOf(di)])
	return rn
}

// addReader adds a reader for another attempt with the same key. It reports
// false if the call is being cancelled, or if it is idempotent and its response
// is not available.
func (rn *run) addReader(di peer.Dispatch) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.stopping || rn.endedWithoutResponse() {
		return false
	}
	if _, ok := rn.readers[idOf(di)]; ok {
		return true
	}
	rd := &reader{router: di.Router, lastActive: rn.sv.clk.Now()}
	rn.readers[idOf(di)] = rd
	rn.scheduleIdleCheck(rd)
	return true
}

// endedWithoutResponse reports whether the call is idempotent and has ended,
// and its complete response is not in the buffer. rn.mu is held.
func (rn *run) endedWithoutResponse() bool {
	return rn.di.Idempotent && rn.endEvent != nil && (rn.endEvent.Kind != peer.Final || rn.discarded)
}

// repeatable reports whether a new dispatch with the key may run the call
// again: the call is idempotent and its response is not available.
func (rn *run) repeatable() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.endedWithoutResponse()
}

// totalCharged returns the tokens that were charged for the key so far.
func (rn *run) totalCharged() ident.Tokens {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.total
}

// open returns a stream that starts with the first chunk.
func (rn *run) open(id attemptID) (*stream, *refuse.Refusal) { return rn.attach(id, 1, true) }

// resume returns a stream that starts with the chunk next.
func (rn *run) resume(id attemptID, next uint64) (*stream, *refuse.Refusal) {
	return rn.attach(id, next, false)
}

// attach makes a stream that starts with the chunk next the current stream of
// the attempt's reader. accept adds an Accepted event at its start.
func (rn *run) attach(id attemptID, next uint64, accept bool) (*stream, *refuse.Refusal) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.endEvent != nil && rn.endEvent.Kind == peer.Refused {
		return nil, rn.endEvent.Refusal
	}
	rd, ok := rn.readers[id]
	if !ok || rn.discarded || next < rn.buf.First() {
		return nil, rn.sv.unknownOutcome(rn.di, refuse.Truncated, "chunk %d of the response is no longer buffered", next)
	}
	if rn.sv.incarnations.gate(rd.router).closed() {
		return nil, rn.sv.unknownOutcome(rn.di, refuse.ClosedIncarnation, "router incarnation %s is closed", rd.router)
	}
	st := &stream{run: rn, reader: rd, id: id, next: next, acceptPending: accept}
	rd.cur, rd.dropped, rd.delivered, rd.lastActive = st, nil, false, rn.sv.clk.Now()
	rd.acked = max(rd.acked, next-1)
	if !rn.inDrain {
		// A run that has left the drain gate can be read again, but does not
		// delay a shutdown that has started.
		rn.inDrain = rn.sv.drain.enter()
	}
	rn.scheduleIdleCheck(rd)
	rn.advanceBuffer()
	rn.notify()
	return st, nil
}

// detach starts the grace period of an attempt whose Open returned without a
// stream.
func (rn *run) detach(id attemptID) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rd, ok := rn.readers[id]; ok {
		rd.lastActive = rn.sv.clk.Now()
		rn.scheduleIdleCheck(rd)
	}
}

// scheduleIdleCheck schedules checkIdle at the end of the reader's grace
// period. rn.mu is held.
func (rn *run) scheduleIdleCheck(rd *reader) {
	if rd.checkScheduled {
		return
	}
	rd.checkScheduled = true
	rn.sv.scheduler.add(rd.lastActive.Add(rn.sv.grace), func() { rn.checkIdle(rd) })
}

// checkIdle drops the reader if it was inactive for the grace period.
func (rn *run) checkIdle(rd *reader) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rd.checkScheduled = false
	if rd.pendingRecvs > 0 || rd.dropped != nil || rd.delivered {
		return
	}
	if rn.sv.clk.Now().Before(rd.lastActive.Add(rn.sv.grace)) {
		rn.scheduleIdleCheck(rd)
		return
	}
	rn.dropReader(rd, refuse.New(refuse.LinkLost, "the reader was inactive for the grace period"))
}

// dropReaders drops all readers of the router incarnation.
func (rn *run) dropReaders(ic ident.Incarnation) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, rd := range rn.readers {
		if rd.router == ic && rd.dropped == nil {
			rn.dropReader(rd, refuse.New(refuse.ClosedIncarnation, "router incarnation %s was closed", ic))
		}
	}
}

// dropReader ends the delivery to a reader. An idempotent call without further
// readers is cancelled with the given cause. rn.mu is held.
func (rn *run) dropReader(rd *reader, cause *refuse.Refusal) {
	rd.dropped, rd.cur = cause, nil
	rn.afterReaderGone(cause)
}

// afterReaderGone updates the run after a reader was dropped or has cancelled:
// it cancels an idempotent call that has no reader left. rn.mu is held.
func (rn *run) afterReaderGone(cause *refuse.Refusal) {
	if rn.endEvent == nil && rn.di.Idempotent && !rn.hasReaders() {
		rn.stopping = true
		rn.cancel(cause)
	}
	rn.advanceBuffer()
	rn.notify()
	rn.leaveDrain()
}

// hasReaders reports whether any reader still wants the output. rn.mu is held.
func (rn *run) hasReaders() bool {
	for _, rd := range rn.readers {
		if rd.dropped == nil && !rd.cancelled {
			return true
		}
	}
	return false
}

// dropLaggingReaders drops the readers that have not acknowledged any chunk in
// the full buffer while another reader has acknowledged all, and reports whether
// there were any. rn.mu is held.
func (rn *run) dropLaggingReaders() bool {
	last, ahead, dropped := rn.buf.Last(), false, false
	for _, rd := range rn.readers {
		ahead = ahead || rd.dropped == nil && rd.acked == last
	}
	for _, rd := range rn.readers {
		if ahead && rd.dropped == nil && rd.acked < rn.buf.First() {
			rn.dropReader(rd, refuse.New(refuse.Truncated, "the reader is a full buffer behind another reader"))
			dropped = true
		}
	}
	return dropped
}

// advanceBuffer lets the buffer discard the chunks that every reader has
// acknowledged. rn.mu is held.
func (rn *run) advanceBuffer() {
	if rn.discarded {
		return
	}
	low := rn.buf.Last()
	for _, rd := range rn.readers {
		if rd.dropped == nil && !rd.cancelled {
			low = min(low, rd.acked)
		}
	}
	if rn.di.Call.Key == "" && rn.hasReaders() {
		rn.buf.Trim(low)
		return
	}
	rn.buf.Ack(low)
}

// notify wakes all goroutines that wait for a change of the run. rn.mu is held.
func (rn *run) notify() {
	close(rn.changed)
	rn.changed = make(chan struct{})
}

// leaveDrain leaves the drain gate of the service if the call has ended, its
// outcome is stored and its last event is delivered. rn.mu is held.
func (rn *run) leaveDrain() {
	if rn.endEvent == nil || !rn.stored || !rn.inDrain || rn.deliveryPending() {
		return
	}
	rn.inDrain = false
	rn.sv.drain.leave()
}

// deliveryPending reports whether a reader has yet to receive the last event.
// rn.mu is held.
func (rn *run) deliveryPending() bool {
	for _, rd := range rn.readers {
		if rd.dropped == nil && !rd.delivered {
			return true
		}
	}
	return false
}

// discard frees the output of a finished run after its retention.
func (rn *run) discard() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if !rn.stored || rn.deliveryPending() {
		// A reader is not finished, or the row still says that the call is in
		// progress, so that the response is available only from this buffer.
		rn.sv.scheduler.add(rn.sv.clk.Now().Add(rn.sv.retention), rn.discard)
		return
	}
	rn.discarded, rn.buf = true, nil
	if rn.di.Call.Key != "" {
		rn.sv.keys.CompareAndDelete(keyOf(rn.di), rn)
	}
	rn.notify()
}

// unregister removes the attempts of a finished run from the service. Until
// then a duplicate dispatch is recognised; afterwards its deadline has passed.
func (rn *run) unregister() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if !rn.discarded {
		rn.sv.scheduler.add(rn.sv.clk.Now().Add(rn.sv.retention), rn.unregister)
		return
	}
	for id := range rn.readers {
		rn.sv.attempts.CompareAndDelete(id, rn)
	}
}
