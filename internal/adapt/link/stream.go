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

// ackEvery is after how many chunks an acknowledgement is sent. The sidecar
// keeps unacknowledged output, so the number bounds what it holds in excess.
const ackEvery = 16

// maxBroken bounds how often a stream that ends without a last event is opened
// again while nothing new arrives.
const maxBroken = 4

// window allows no frame ahead of the next one, because a yamux stream keeps the
// order.
const window = 1

// stream is one attempt as the router sees it. It moves to a new session when
// the current one goes silent or fails. Recv and Ack are called from one
// goroutine.
type stream struct {
	cl       *Client
	ctx      context.Context
	di       peer.Dispatch
	se       *session
	in       *frame.Inbox[peer.Event]
	acked    uint64
	accepted bool
	// repeated means that the dispatch was sent more than once.
	repeated bool
	// broken counts the ends of streams since the last event.
	broken int
	// sidecar is the incarnation that the attempt was sent to.
	sidecar   string
	cancelled atomic.Bool
	stop      func() bool

	mu sync.Mutex
	fc *frameConn
}

func newStream(ctx context.Context, cl *Client, di peer.Dispatch) *stream {
	st := &stream{cl: cl, ctx: ctx, di: di, in: frame.NewInbox[peer.Event](di.Request, di.Attempt, window)}
	// A read that waits ends at once when the caller gives up.
	st.stop = context.AfterFunc(ctx, st.interrupt)
	return st
}

func (st *stream) interrupt() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.fc != nil {
		_ = st.fc.SetDeadline(time.Unix(1, 0))
	}
}

// start sends the dispatch. An error before anything was sent proves that the
// attempt does not run.
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
		return st.move(err)
	}
	return nil
}

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
// attempt that was not yet accepted is dispatched again: the sidecar knows it
// by request and attempt and does not run it twice.
func (st *stream) attach(se *session) error {
	if err := st.open(se); err != nil {
		return err
	}
	if !st.accepted {
		st.repeated = true
		return st.fc.send(EncodeDispatch(st.di))
	}
	return st.fc.send(&wire.Frame{Body: &wire.Frame_Resume{Resume: &wire.Resume{
		Request: string(st.di.Request), Attempt: st.di.Attempt, NextSeq: st.in.Next(), Router: string(st.di.Router),
	}}})
}

// move continues the attempt on another session, or on the same one if only
// the stream ended. It returns a refusal when that cannot be done in time.
func (st *stream) move(cause error) error {
	ctx, cancel := st.patience()
	defer cancel()
	if !isTimeout(cause) {
		if st.broken++; st.broken > maxBroken {
			return refuse.New(refuse.LinkLost, "the sidecar ends the stream again and again: %v", cause)
		}
		if st.broken == 1 && !st.se.IsClosed() && st.attach(st.se) == nil {
			st.repeatCancel()
			return nil
		}
	}
	for {
		se, err := st.cl.fresh(ctx, st.se)
		if err != nil {
			return refuse.New(refuse.LinkLost, "the connection failed after dispatch: %v", err)
		}
		if st.sidecar != "" && se.hello.GetIncarnation() != st.sidecar {
			// A restarted sidecar knows nothing of the attempt, so its refusal
			// would prove nothing.
			return refuse.New(refuse.LinkLost, "the sidecar restarted after dispatch")
		}
		if st.attach(se) == nil {
			st.repeatCancel()
			return nil
		}
		st.se = se
	}
}

// patience bounds the wait for another session. An idempotent call without
// output is better run elsewhere than held until its deadline.
func (st *stream) patience() (context.Context, context.CancelFunc) {
	if st.di.Idempotent && st.in.Next() == 1 {
		return context.WithTimeout(st.ctx, st.cl.progress)
	}
	return context.WithCancel(st.ctx)
}

func (st *stream) repeatCancel() {
	if st.cancelled.Load() {
		sendCancel(st.fc)
	}
}

// Recv returns the next event in sequence.
func (st *stream) Recv(ctx context.Context) (peer.Event, error) {
	for {
		if ctx.Err() != nil || st.ctx.Err() != nil {
			return peer.Event{}, refuse.New(refuse.TimedOut, "the caller's time ended")
		}
		fr, err := st.read()
		if err != nil {
			if st.ctx.Err() != nil {
				// The connection is not to blame and must not be replaced.
				continue
			}
			if err := st.move(err); err != nil {
				return peer.Event{}, err
			}
			continue
		}
		ev, ok, err := st.admit(fr)
		if err != nil {
			return peer.Event{}, err
		}
		if ok {
			return ev, nil
		}
	}
}

// read waits for a frame. A quiet stream on a session that is not silent goes
// on waiting.
func (st *stream) read() (*wire.Frame, error) {
	for {
		_ = st.fc.SetReadDeadline(time.Now().Add(st.se.recheck(st.cl.clk.Now(), st.cl.progress)))
		if st.ctx.Err() != nil {
			return nil, st.ctx.Err()
		}
		// Peek consumes nothing, so a timeout does not lose a part of a frame.
		_, err := st.fc.rd.Peek(1)
		if err == nil {
			_ = st.fc.SetReadDeadline(time.Now().Add(st.cl.progress))
			return st.fc.recv()
		}
		now := st.cl.clk.Now()
		if !isTimeout(err) || st.se.silent(now, st.cl.progress) {
			return nil, err
		}
		st.se.probe(now)
	}
}

func isTimeout(err error) bool {
	var ne interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}

// admit checks that the frame belongs to this attempt and is the next one.
// Repeated chunks are dropped.
func (st *stream) admit(fr *wire.Frame) (peer.Event, bool, error) {
	ev, ok := DecodeEvent(fr)
	if !ok {
		return peer.Event{}, false, nil
	}
	if ev.Request != st.di.Request || ev.Attempt != st.di.Attempt {
		return peer.Event{}, false, refuse.New(refuse.Internal, "%v", frame.ErrForeign)
	}
	switch ev.Kind {
	case peer.Accepted:
		first := !st.accepted
		st.accepted, st.broken = true, 0
		return ev, first, nil
	case peer.Data:
		return st.admitChunk(ev)
	case peer.Final:
		// After a cancellation the rest of the output is not sent.
		if err := st.complete(ev); err != nil && !st.cancelled.Load() {
			return peer.Event{}, false, refuse.New(refuse.Truncated, "%v", err)
		}
	case peer.Refused:
		if st.accepted || st.repeated && ev.Refusal.Reason != refuse.DeadlinePassed {
			// An accepted attempt may have run. After a repeated dispatch, the
			// first copy may still arrive over the old connection and run; only
			// a passed deadline holds for it as well.
			return peer.Event{}, false, refuse.New(refuse.LinkLost, "the attempt cannot be continued: %s: %s",
				ev.Refusal.Reason, ev.Refusal.Detail)
		}
	}
	return ev, true, nil
}

func (st *stream) admitChunk(ev peer.Event) (peer.Event, bool, error) {
	fresh, err := st.in.Put(ev.Request, ev.Attempt, ev.Seq, ev)
	if err != nil {
		return peer.Event{}, false, refuse.New(refuse.Truncated, "%v", err)
	}
	if !fresh {
		return peer.Event{}, false, nil
	}
	st.broken = 0
	ev, _, ok := st.in.Take()
	return ev, ok, nil
}

// complete records the final count and reports what is missing.
func (st *stream) complete(ev peer.Event) error {
	if err := st.in.End(ev.Request, ev.Attempt, ev.Seq); err != nil {
		return err
	}
	return st.in.Close()
}

// Ack acknowledges all chunks up to seq.
func (st *stream) Ack(seq uint64) {
	if seq < st.acked+ackEvery {
		return
	}
	st.acked = seq
	// A lost acknowledgement is covered by the next one or by a resume.
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

// sendCancel may fail with the connection; a stream that moves repeats it.
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
