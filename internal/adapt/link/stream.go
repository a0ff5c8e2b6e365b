package link

import (
	"context"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/frame"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// chunksPerAck is the number of chunks per acknowledgement. The sidecar buffers
// unacknowledged output, so it bounds how many received chunks the sidecar
// still holds.
const chunksPerAck = 16

// maxStreamEnds bounds how often a stream that ends without its last event is
// reopened while no new event arrives.
const maxStreamEnds = 4

// reorderWindow allows no frame ahead of the next one, because a yamux stream
// preserves the order.
const reorderWindow = 1

// stream is the router's end of one attempt. It moves to a new session when the
// current one goes silent or fails. Recv and Ack must be called from one
// goroutine.
type stream struct {
	cl       *Client
	ctx      context.Context
	di       peer.Dispatch
	se       *session
	chunks   *frame.Reassembler[peer.Event]
	acked    uint64
	accepted bool
	// redispatched is set when the dispatch was sent more than once.
	redispatched bool
	// streamEnds counts the yamux streams that ended since the last new event.
	streamEnds int
	// sidecar is the incarnation that the attempt was sent to.
	sidecar   string
	cancelled atomic.Bool
	stop      func() bool

	mu sync.Mutex
	fc *frameConn
}

func newStream(ctx context.Context, cl *Client, di peer.Dispatch) *stream {
	st := &stream{cl: cl, ctx: ctx, di: di, chunks: frame.NewReassembler[peer.Event](di.Request, di.Attempt, reorderWindow)}
	// A blocked read ends immediately when ctx ends.
	st.stop = context.AfterFunc(ctx, st.interrupt)
	return st
}

// interrupt ends reads and writes by a deadline in the past.
func (st *stream) interrupt() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.fc != nil {
		_ = st.fc.SetDeadline(time.Unix(1, 0))
	}
}

// start sends the dispatch. If it fails before anything was sent, the refusal
// says that the attempt does not run.
func (st *stream) start(se *session) error {
	if err := st.open(se); err != nil {
		return refuse.New(refuse.Unreachable, "open stream: %v", err)
	}
	st.sidecar = se.hello.GetIncarnation()
	if err := st.fc.send(EncodeDispatch(st.di)); err != nil {
		if errors.Is(err, ErrFrameTooLarge) {
			return refuse.New(refuse.TooLarge, "%v", err)
		}
		if errors.Is(err, ErrEncoding) {
			return refuse.New(refuse.BadRequest, "%v", err)
		}
		return st.reconnect(err)
	}
	return nil
}

// open replaces the yamux stream by a new one on se.
func (st *stream) open(se *session) error {
	ys, err := se.OpenStream()
	if err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.fc != nil {
		_ = st.fc.Close()
	}
	st.se, st.fc = se, newFrameConn(ys)
	if st.ctx.Err() != nil {
		_ = st.fc.SetDeadline(time.Unix(1, 0))
	}
	return nil
}

// attach opens a stream on se and continues where the last one stopped. An
// attempt that was not yet accepted is dispatched again; the sidecar recognizes
// it by request and attempt and does not run it twice.
func (st *stream) attach(se *session) error {
	if err := st.open(se); err != nil {
		return err
	}
	if !st.accepted {
		st.redispatched = true
		return st.fc.send(EncodeDispatch(st.di))
	}
	return st.fc.send(&wire.Frame{Body: &wire.Frame_Resume{Resume: &wire.Resume{
		Request: string(st.di.Request), Attempt: st.di.Attempt, NextSeq: st.chunks.Next(), Router: string(st.di.Router),
	}}})
}

// reconnect continues the attempt on another session, or on the same session if
// only the stream ended. It returns a refusal when it does not succeed in time.
func (st *stream) reconnect(cause error) error {
	ctx, cancel := st.reconnectContext()
	defer cancel()
	if !isTimeout(cause) {
		if st.streamEnds++; st.streamEnds > maxStreamEnds {
			return refuse.New(refuse.LinkLost, "the stream ended repeatedly without a last event: %v", cause)
		}
		if st.streamEnds == 1 && !st.se.IsClosed() && st.attach(st.se) == nil {
			st.resendCancel()
			return nil
		}
	}
	for {
		se, err := st.cl.awaitSession(ctx, st.se)
		if err != nil {
			return refuse.New(refuse.LinkLost, "the connection failed after dispatch: %v", err)
		}
		if st.sidecar != "" && se.hello.GetIncarnation() != st.sidecar {
			// A restarted sidecar does not know the attempt, so its refusal would
			// not prove that the attempt did not run.
			return refuse.New(refuse.LinkLost, "the sidecar restarted after dispatch")
		}
		if st.attach(se) == nil {
			st.resendCancel()
			return nil
		}
		st.se = se
	}
}

// reconnectContext bounds the wait for another session. An idempotent call
// without output is better retried elsewhere than held until its deadline.
func (st *stream) reconnectContext() (context.Context, context.CancelFunc) {
	if st.di.Idempotent && st.chunks.Next() == 1 {
		return context.WithTimeout(st.ctx, st.cl.silenceTimeout)
	}
	return context.WithCancel(st.ctx)
}

// resendCancel sends a cancellation again that may have been lost.
func (st *stream) resendCancel() {
	if st.cancelled.Load() {
		sendCancel(st.fc)
	}
}

// Recv returns the next event in sequence.
func (st *stream) Recv(ctx context.Context) (peer.Event, error) {
	for {
		if ctx.Err() != nil || st.ctx.Err() != nil {
			return peer.Event{}, refuse.New(refuse.TimedOut, "the request timed out or was cancelled")
		}
		fr, err := st.read()
		if err != nil {
			if st.ctx.Err() != nil {
				// The connection is not at fault and must not be replaced.
				continue
			}
			if err := st.reconnect(err); err != nil {
				return peer.Event{}, err
			}
			continue
		}
		ev, ok, err := st.handleFrame(fr)
		if err != nil {
			return peer.Event{}, err
		}
		if ok {
			return ev, nil
		}
	}
}

// read waits for a frame. It keeps waiting on an idle stream as long as the
// session is not silent.
func (st *stream) read() (*wire.Frame, error) {
	for {
		_ = st.fc.SetReadDeadline(time.Now().Add(st.se.untilNextCheck(st.cl.clk.Now(), st.cl.silenceTimeout)))
		if st.ctx.Err() != nil {
			return nil, st.ctx.Err()
		}
		// Peek consumes nothing, so a timeout does not lose part of a frame.
		_, err := st.fc.rd.Peek(1)
		if err == nil {
			_ = st.fc.SetReadDeadline(time.Now().Add(st.cl.silenceTimeout))
			return st.fc.recv()
		}
		now := st.cl.clk.Now()
		if !isTimeout(err) || st.se.silent(now, st.cl.silenceTimeout) {
			return nil, err
		}
		st.se.probe(now)
	}
}

func isTimeout(err error) bool {
	var ne interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}

// handleFrame checks that the frame belongs to this attempt and is the next one.
// It reports false for frames that are not passed on, such as repeated chunks.
func (st *stream) handleFrame(fr *wire.Frame) (peer.Event, bool, error) {
	ev, ok := DecodeEvent(fr)
	if !ok {
		return peer.Event{}, false, nil
	}
	if ev.Request != st.di.Request || ev.Attempt != st.di.Attempt {
		return peer.Event{}, false, refuse.New(refuse.Internal, "%v", frame.ErrWrongAttempt)
	}
	switch ev.Kind {
	case peer.Accepted:
		first := !st.accepted
		st.accepted, st.streamEnds = true, 0
		return ev, first, nil
	case peer.Data:
		return st.handleChunk(ev)
	case peer.Final:
		// After a cancellation the rest of the output is not sent.
		if err := st.checkComplete(ev); err != nil && !st.cancelled.Load() {
			return peer.Event{}, false, refuse.New(refuse.Truncated, "%v", err)
		}
	case peer.Refused:
		if st.accepted || st.redispatched && ev.Refusal.Reason != refuse.DeadlinePassed {
			// An accepted attempt may have run. After a repeated dispatch, the
			// first copy may still arrive over the old connection and run; only
			// a refusal for a passed deadline applies to it as well.
			return peer.Event{}, false, refuse.New(refuse.LinkLost, "the attempt cannot be continued: %s: %s",
				ev.Refusal.Reason, ev.Refusal.Detail)
		}
	}
	return ev, true, nil
}

func (st *stream) handleChunk(ev peer.Event) (peer.Event, bool, error) {
	fresh, err := st.chunks.Put(ev.Request, ev.Attempt, ev.Seq, ev)
	if err != nil {
		return peer.Event{}, false, refuse.New(refuse.Truncated, "%v", err)
	}
	if !fresh {
		return peer.Event{}, false, nil
	}
	st.streamEnds = 0
	ev, _, ok := st.chunks.Take()
	return ev, ok, nil
}

// checkComplete records the number of chunks and returns an error if one is
// missing.
func (st *stream) checkComplete(ev peer.Event) error {
	if err := st.chunks.SetFinalCount(ev.Request, ev.Attempt, ev.Seq); err != nil {
		return err
	}
	return st.chunks.Close()
}

// Ack acknowledges all chunks up to seq.
func (st *stream) Ack(seq uint64) {
	if seq < st.acked+chunksPerAck {
		return
	}
	st.acked = seq
	// The next acknowledgement or a resume makes up for a lost one.
	_ = st.fc.send(&wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{Seq: seq}}})
}

// Cancel asks the sidecar to stop the attempt.
func (st *stream) Cancel() {
	st.cancelled.Store(true)
	st.mu.Lock()
	fc := st.fc
	st.mu.Unlock()
	if fc != nil {
		sendCancel(fc)
	}
}

// sendCancel ignores errors, because the cancellation is sent again after a
// reconnect.
func sendCancel(fc *frameConn) {
	_ = fc.send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}})
}

// Close releases the stream without stopping the attempt.
func (st *stream) Close() { st.release() }

func (st *stream) release() {
	st.stop()
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.fc != nil {
		_ = st.fc.Close()
	}
}
