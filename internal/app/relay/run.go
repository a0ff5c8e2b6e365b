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

// run is one call at the upstream together with its output. One goroutine
// works on it; any number of streams read it.
type run struct {
	sv     *Service
	di     peer.Dispatch
	as     claim.Asker
	credit ident.Tokens
	ctx    context.Context
	cancel context.CancelCauseFunc
	// decided is closed once it is known whether the call may run.
	decided chan struct{}
	// over is closed when the call has ended.
	over chan struct{}

	// Only the working goroutine uses these fields.
	row     claim.Record
	version uint64
	body    []byte
	cut     bool
	metered ident.Tokens
	failure error

	mu     sync.Mutex
	buf    *frame.Replay[engine.Chunk]
	views  map[attemptID]*view
	end    *peer.Event
	total  ident.Tokens
	replay bool
	stored bool
	holds  bool
	gone   bool
	// stopping means that the call was cancelled and has not ended yet.
	stopping bool
	changed  chan struct{}
}

// view is one attempt's reading position in a run.
type view struct {
	router ident.Incarnation
	// first marks the attempt that is charged.
	first     bool
	cur       *stream
	acked     uint64
	pending   int
	idle      time.Time
	checked   bool
	cancelled bool
	delivered bool
	// lost is why the view has no reader any more, or nil.
	lost *refuse.Refusal
}

func newRun(sv *Service, di peer.Dispatch, credit ident.Tokens) *run {
	rn := &run{
		sv: sv, di: di, credit: credit, total: credit, holds: true, stored: true,
		as: claim.Asker{
			Sidecar: sv.self, Upstream: sv.upstream.ID, Request: di.Request, Attempt: di.Attempt,
		},
		decided: make(chan struct{}), over: make(chan struct{}), changed: make(chan struct{}),
		buf: frame.NewReplay[engine.Chunk](sv.bufferBytes, sv.bufferItems),
	}
	rn.ctx, rn.cancel = context.WithCancelCause(sv.base)
	rn.views = map[attemptID]*view{idOf(di): {router: di.Router, first: true, idle: sv.clk.Now()}}
	rn.watch(rn.views[idOf(di)])
	return rn
}

// join adds a reading position for another attempt with the same key. It
// reports false if the call is idempotent and its answer will not come.
func (rn *run) join(di peer.Dispatch) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.stopping || rn.barren() {
		return false
	}
	if _, ok := rn.views[idOf(di)]; ok {
		return true
	}
	vw := &view{router: di.Router, idle: rn.sv.clk.Now()}
	rn.views[idOf(di)] = vw
	rn.watch(vw)
	return true
}

// barren reports whether the call is idempotent and ended without an answer
// that is still held. rn.mu is held.
func (rn *run) barren() bool {
	return rn.di.Idempotent && rn.end != nil && (rn.end.Kind != peer.Final || rn.gone)
}

// repeatable reports whether a new dispatch of the key may run again: the call
// is idempotent and its answer is not available.
func (rn *run) repeatable() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.barren()
}

// paid returns what was charged for the key so far.
func (rn *run) paid() ident.Tokens {
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

func (rn *run) attach(id attemptID, next uint64, accept bool) (*stream, *refuse.Refusal) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.end != nil && rn.end.Kind == peer.Refused {
		return nil, rn.end.Refusal
	}
	vw, ok := rn.views[id]
	if !ok || rn.gone || next < rn.buf.First() {
		return nil, rn.sv.unknown(rn.di, refuse.Truncated, "chunk %d of the answer is no longer held", next)
	}
	if rn.sv.books.gate(vw.router).closed() {
		return nil, rn.sv.unknown(rn.di, refuse.ClosedIncarnation, "router incarnation %s is closed", vw.router)
	}
	st := &stream{run: rn, view: vw, id: id, next: next, accept: accept}
	vw.cur, vw.lost, vw.delivered, vw.idle = st, nil, false, rn.sv.clk.Now()
	vw.acked = max(vw.acked, next-1)
	if !rn.holds {
		// Work that has left already may be read again, but does not hold up
		// a process that is leaving.
		rn.holds = rn.sv.leaving.enter()
	}
	rn.watch(vw)
	rn.advance()
	rn.notify()
	return st, nil
}

// detach ends the reading of an attempt that did not get a stream.
func (rn *run) detach(id attemptID) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if vw, ok := rn.views[id]; ok {
		vw.idle = rn.sv.clk.Now()
		rn.watch(vw)
	}
}

// watch sees to it that the view is checked for silence. rn.mu is held.
func (rn *run) watch(vw *view) {
	if vw.checked {
		return
	}
	vw.checked = true
	rn.sv.agenda.add(vw.idle.Add(rn.sv.grace), func() { rn.check(vw) })
}

// check takes the reader for lost when it was silent for the grace period.
func (rn *run) check(vw *view) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	vw.checked = false
	if vw.pending > 0 || vw.lost != nil || vw.delivered {
		return
	}
	if rn.sv.clk.Now().Before(vw.idle.Add(rn.sv.grace)) {
		rn.watch(vw)
		return
	}
	rn.lose(vw, refuse.New(refuse.LinkLost, "no reader for the grace period"))
}

// abandon loses all views of the router incarnation.
func (rn *run) abandon(ic ident.Incarnation) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, vw := range rn.views {
		if vw.router == ic && vw.lost == nil {
			rn.lose(vw, refuse.New(refuse.ClosedIncarnation, "router incarnation %s was closed", ic))
		}
	}
}

// lose ends the reading of a view. Without a reader, a call that may be
// interrupted is cancelled with the given cause. rn.mu is held.
func (rn *run) lose(vw *view, cause *refuse.Refusal) {
	vw.lost, vw.cur = cause, nil
	rn.halt(cause)
}

// halt follows the loss or the cancellation of a view. rn.mu is held.
func (rn *run) halt(cause *refuse.Refusal) {
	if rn.end == nil && rn.di.Idempotent && !rn.attended() {
		rn.stopping = true
		rn.cancel(cause)
	}
	rn.advance()
	rn.notify()
	rn.settle()
}

// attended reports whether any view still wants the output. rn.mu is held.
func (rn *run) attended() bool {
	for _, vw := range rn.views {
		if vw.lost == nil && !vw.cancelled {
			return true
		}
	}
	return false
}

// outrun loses the readers that hold up another reader which has received
// everything, and reports whether there were any. rn.mu is held.
func (rn *run) outrun() bool {
	last, ahead, lost := rn.buf.Last(), false, false
	for _, vw := range rn.views {
		ahead = ahead || vw.lost == nil && vw.acked == last
	}
	for _, vw := range rn.views {
		if ahead && vw.lost == nil && vw.acked < rn.buf.First() {
			rn.lose(vw, refuse.New(refuse.Truncated, "the reader is a full buffer behind another one"))
			lost = true
		}
	}
	return lost
}

// advance lets the buffer discard what every reader has received. rn.mu is
// held.
func (rn *run) advance() {
	if rn.gone {
		return
	}
	low := rn.buf.Last()
	for _, vw := range rn.views {
		if vw.lost == nil && !vw.cancelled {
			low = min(low, vw.acked)
		}
	}
	if rn.di.Call.Key == "" && rn.attended() {
		rn.buf.Trim(low)
		return
	}
	rn.buf.Ack(low)
}

// notify wakes all goroutines that wait for a change. rn.mu is held.
func (rn *run) notify() {
	close(rn.changed)
	rn.changed = make(chan struct{})
}

// settle leaves the gate of the service once nothing is left to do. rn.mu is
// held.
func (rn *run) settle() {
	if rn.end == nil || !rn.stored || !rn.holds || rn.awaited() {
		return
	}
	rn.holds = false
	rn.sv.leaving.leave()
}

// awaited reports whether a reader has yet to receive the last event. rn.mu is
// held.
func (rn *run) awaited() bool {
	for _, vw := range rn.views {
		if vw.lost == nil && !vw.delivered {
			return true
		}
	}
	return false
}

// discard drops the output of a finished run after its retention.
func (rn *run) discard() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if !rn.stored || rn.awaited() {
		// A reader is not finished, or the row still says that the call is in
		// progress, so that the answer is only available here.
		rn.sv.agenda.add(rn.sv.clk.Now().Add(rn.sv.retention), rn.discard)
		return
	}
	rn.gone, rn.buf = true, nil
	if rn.di.Call.Key != "" {
		rn.sv.keys.CompareAndDelete(keyOf(rn.di), rn)
	}
	rn.notify()
}

// forget drops the identifiers of a finished run. Until then a duplicate of a
// dispatch is recognised; afterwards its deadline has passed.
func (rn *run) forget() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if !rn.gone {
		rn.sv.agenda.add(rn.sv.clk.Now().Add(rn.sv.retention), rn.forget)
		return
	}
	for id := range rn.views {
		rn.sv.attempts.CompareAndDelete(id, rn)
	}
}
