package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// ControlHandler handles the messages of the control stream.
type ControlHandler interface {
	// OfferConfig passes on a configuration that a router has in force.
	OfferConfig(re ident.Revision, document []byte)
	// InForce returns the newest configuration that the sidecar has received.
	InForce() (ident.Revision, []byte)
	// CloseIncarnation stops the forwarding of work of the router incarnation
	// and returns what it used.
	CloseIncarnation(ctx context.Context, in ident.Incarnation) ([]BudgetUsage, error)
	// Order passes an order to the upstream.
	Order(ctx context.Context, or engine.Order) error
}

// BudgetUsage is what a closed incarnation used of one budget.
type BudgetUsage struct {
	Budget ident.BudgetRef
	Tokens ident.Tokens
}

// attemptID identifies an attempt on the link.
type attemptID struct {
	request ident.Request
	attempt uint32
}

// Server is the sidecar's end of the links to all routers.
type Server struct {
	id                Identity
	sidecar           peer.Sidecar
	control           ControlHandler
	reportPeriod      time.Duration
	firstFrameTimeout time.Duration
	documentRequests  documentRequests

	activeStreams activeStreams

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	wg       sync.WaitGroup
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithReportPeriod sets the interval at which a changed load report is sent. The
// default is 1 s.
func WithReportPeriod(pe time.Duration) ServerOption {
	return func(sv *Server) { sv.reportPeriod = pe }
}

// WithFirstFrameTimeout sets how long a new stream may take to send its first
// frame. The default is 5 s.
func WithFirstFrameTimeout(to time.Duration) ServerOption {
	return func(sv *Server) { sv.firstFrameTimeout = to }
}

// NewServer returns a server that passes attempts to si and control messages
// to ct.
func NewServer(id Identity, si peer.Sidecar, ct ControlHandler, opts ...ServerOption) *Server {
	sv := &Server{
		id: id, sidecar: si, control: ct,
		reportPeriod: time.Second, firstFrameTimeout: 5 * time.Second,
		sessions: make(map[*yamux.Session]struct{}),
	}
	for _, op := range opts {
		op(sv)
	}
	return sv
}

// Serve accepts connections until ctx ends or the listener fails, and returns
// after every session has ended.
func (sv *Server) Serve(ctx context.Context, ls net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = ls.Close()
		sv.closeSessions()
	})
	defer stop()
	defer sv.wg.Wait()
	for {
		nc, err := ls.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		sv.wg.Go(func() { sv.serveConn(ctx, nc) })
	}
}

// Drain waits until the routers have closed all request streams. A router closes
// a stream after its last event, so ending a session earlier would truncate
// responses whose last event was sent but has not arrived.
func (sv *Server) Drain(ctx context.Context) error { return sv.activeStreams.wait(ctx) }

func (sv *Server) closeSessions() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for se := range sv.sessions {
		_ = se.Close()
	}
}

// routerCount returns the number of routers with a link. A link that is being
// replaced is briefly counted twice.
func (sv *Server) routerCount() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.sessions)
}

func (sv *Server) serveConn(ctx context.Context, nc net.Conn) {
	se, err := serverSession(nc)
	if err != nil {
		_ = nc.Close()
		return
	}
	sv.mu.Lock()
	sv.sessions[se] = struct{}{}
	sv.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		sv.mu.Lock()
		delete(sv.sessions, se)
		sv.mu.Unlock()
		_ = se.Close()
	}()
	if ctx.Err() != nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		st, err := se.AcceptStream()
		if err != nil {
			cancel()
			return
		}
		wg.Go(func() { sv.serveStream(ctx, newFrameConn(st)) })
	}
}

// serveStream reads the first frame of a stream, which decides its purpose.
func (sv *Server) serveStream(ctx context.Context, fc *frameConn) {
	defer func() { _ = fc.Close() }()
	_ = fc.SetReadDeadline(time.Now().Add(sv.firstFrameTimeout))
	fr, err := fc.recv()
	if err != nil {
		return
	}
	_ = fc.SetReadDeadline(time.Time{})
	switch bo := fr.GetBody().(type) {
	case *wire.Frame_Hello:
		sv.serveControl(ctx, fc, bo.Hello)
	case *wire.Frame_Dispatch:
		sv.serveDispatch(ctx, fc, bo.Dispatch)
	case *wire.Frame_Resume:
		sv.serveResume(ctx, fc, bo.Resume)
	}
}

func (sv *Server) serveDispatch(ctx context.Context, fc *frameConn, wd *wire.Dispatch) {
	di := DecodeDispatch(wd)
	st, err := sv.sidecar.Open(ctx, di)
	if err != nil {
		_ = fc.send(fromRefusal(di.Request, di.Attempt, refuse.From(err)))
		return
	}
	sv.forwardEvents(ctx, fc, attemptID{di.Request, di.Attempt}, st)
}

func (sv *Server) serveResume(ctx context.Context, fc *frameConn, re *wire.Resume) {
	id, attempt := ident.Request(re.GetRequest()), re.GetAttempt()
	st, err := sv.sidecar.Resume(ctx, id, attempt, re.GetNextSeq())
	if err != nil {
		_ = fc.send(fromRefusal(id, attempt, refuse.From(err)))
		return
	}
	sv.forwardEvents(ctx, fc, attemptID{id, attempt}, st)
}

// forwardEvents sends the events of an attempt to the router, up to the last
// one. When the link fails, the attempt goes on for its grace period, so that
// the router can resume it.
func (sv *Server) forwardEvents(ctx context.Context, fc *frameConn, id attemptID, st peer.Stream) {
	sv.activeStreams.add()
	defer sv.activeStreams.done()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		defer cancel()
		readRouterFrames(fc, st)
	})
	defer wg.Wait()
	defer func() { _ = fc.Close() }()
	defer st.Close()
	for {
		ev, err := st.Recv(ctx)
		if err != nil {
			sendUnknownOutcome(fc, id, err)
			return
		}
		err = fc.send(EncodeEvent(ev, sv.finalReport(ev)))
		if errors.Is(err, ErrFrameTooLarge) || errors.Is(err, ErrEncoding) {
			// A resumed stream would fail at the same event.
			st.Cancel()
			sendUnknownOutcome(fc, id, refuse.New(refuse.Truncated, "chunk %d of the response: %v", ev.Seq, err))
		}
		if err != nil {
			return
		}
		if ev.Kind == peer.Final || ev.Kind == peer.Failed || ev.Kind == peer.Refused {
			return
		}
	}
}

// sendUnknownOutcome sends the reason why the stream ends without its last
// event, with an unknown outcome. It sends nothing for an error that is not a
// refusal: then the attempt is read by another stream or the link is closed.
func sendUnknownOutcome(fc *frameConn, id attemptID, err error) {
	var rf *refuse.Refusal
	if errors.As(err, &rf) {
		_ = fc.send(fromRefusal(id.request, id.attempt, rf.WithOutcome(refuse.Unknown)))
	}
}

// finalReport returns the load report that a final event carries, or nil.
func (sv *Server) finalReport(ev peer.Event) *wire.LoadReport {
	if ev.Kind != peer.Final {
		return nil
	}
	rp, ok := sv.sidecar.Report()
	if !ok {
		return nil
	}
	return fromReport(rp, 0, sv.routerCount())
}

// readRouterFrames handles acknowledgements and cancellations of the router
// until the stream ends.
func readRouterFrames(fc *frameConn, st peer.Stream) {
	for {
		fr, err := fc.recv()
		if err != nil {
			return
		}
		switch bo := fr.GetBody().(type) {
		case *wire.Frame_Ack:
			st.Ack(bo.Ack.GetSeq())
		case *wire.Frame_Cancel:
			st.Cancel()
		}
	}
}
