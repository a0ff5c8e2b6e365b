package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

const (
	// minBackoff and maxBackoff bound the delay between connection attempts.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// dialTimeout bounds one connection attempt, including the Hello exchange.
	dialTimeout = 3 * time.Second
)

// Dialer opens a connection to a sidecar.
type Dialer func(ctx context.Context) (net.Conn, error)

// ConfigSource returns the revision and document of the configuration in
// force, which is offered to peers.
type ConfigSource func() (ident.Revision, []byte)

// Client is a router's link to one sidecar. It implements peer.Sidecar and
// replaces a connection that fails or goes silent.
type Client struct {
	id             Identity
	dial           Dialer
	clk            clock.Clock
	silenceTimeout time.Duration
	config         ConfigSource
	onReport       func(peer.Report)
	onConfig       func(document []byte)

	cur              atomic.Pointer[session]
	connectAttempted atomic.Bool
	report           atomic.Pointer[peer.Report]

	mu sync.Mutex
	// sessionChanged is closed and replaced when a new session is current.
	sessionChanged chan struct{}
	orderWaiters   map[string]chan *wire.OrderDone
	closeWaiters   map[closureKey][]chan []BudgetUsage
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithSilenceTimeout sets how long a connection may be silent before its requests
// move to a new one. The default is 3 s; it must exceed the keepalive interval
// of 2 s.
func WithSilenceTimeout(du time.Duration) ClientOption {
	return func(cl *Client) { cl.silenceTimeout = du }
}

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) ClientOption {
	return func(cl *Client) { cl.clk = ck }
}

// WithConfig sets the source of the configuration that is offered to the
// sidecar. By default none is offered.
func WithConfig(cs ConfigSource) ClientOption {
	return func(cl *Client) { cl.config = cs }
}

// WithOnReport sets a function that is called with each report of the sidecar.
// Calls for one connection do not overlap. The default does nothing.
func WithOnReport(fn func(peer.Report)) ClientOption {
	return func(cl *Client) { cl.onReport = fn }
}

// WithOnConfig sets a function that is called with each configuration that the
// sidecar offers. The default ignores it.
func WithOnConfig(fn func(document []byte)) ClientOption {
	return func(cl *Client) { cl.onConfig = fn }
}

// NewClient returns a client that connects through dial while Run runs.
func NewClient(id Identity, dial Dialer, opts ...ClientOption) *Client {
	cl := &Client{
		id: id, dial: dial, clk: clock.System{}, silenceTimeout: 3 * time.Second,
		config:         func() (ident.Revision, []byte) { return 0, nil },
		onReport:       func(peer.Report) {},
		onConfig:       func([]byte) {},
		sessionChanged: make(chan struct{}),
		orderWaiters:   make(map[string]chan *wire.OrderDone),
		closeWaiters:   make(map[closureKey][]chan []BudgetUsage),
	}
	for _, op := range opts {
		op(cl)
	}
	return cl
}

// Run keeps a session open until ctx ends, reconnecting with exponential
// backoff and jitter.
func (cl *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	backoff := minBackoff
	for ctx.Err() == nil {
		se, err := cl.connect(ctx)
		if err == nil {
			cl.setSession(se)
		}
		cl.connectAttempted.Store(true)
		if err != nil {
			if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		wg.Go(func() { cl.readControl(se) })
		wg.Go(se.sendProbes)
		if cl.awaitEnd(ctx, se) {
			wg.Go(func() { se.drain(ctx) })
		}
	}
}

// awaitEnd waits until the session has ended or is to be replaced. It reports
// whether the session is still open, so that its streams can finish.
func (cl *Client) awaitEnd(ctx context.Context, se *session) bool {
	defer cl.cur.CompareAndSwap(se, nil)
	select {
	case <-ctx.Done():
		_ = se.Close()
		return false
	case <-se.CloseChan():
		return false
	case <-se.replacedCh:
		return true
	}
}

// setSession makes se the current session and wakes the streams that wait for
// one.
func (cl *Client) setSession(se *session) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.cur.Store(se)
	close(cl.sessionChanged)
	cl.sessionChanged = make(chan struct{})
}

// awaitSession returns a session other than failed, which may be nil. It marks
// failed as replaced, so that Run opens a new session, and waits for that until
// ctx ends.
func (cl *Client) awaitSession(ctx context.Context, failed *session) (*session, error) {
	if failed != nil && cl.cur.Load() == failed {
		failed.markReplaced()
	}
	for {
		cl.mu.Lock()
		ch := cl.sessionChanged
		cl.mu.Unlock()
		if se := cl.cur.Load(); se != nil && se != failed {
			return se, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ch:
		}
	}
}

// connect dials the sidecar, opens a session and exchanges Hello.
func (cl *Client) connect(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := cl.dial(ctx)
	if err != nil {
		return nil, err
	}
	rx := &rxConn{Conn: nc, last: &atomic.Int64{}, clk: cl.clk}
	rx.last.Store(cl.clk.Now().UnixNano())
	ys, err := clientSession(rx)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	se := newSession(ys, rx.last)
	if err := cl.handshake(ctx, se); err != nil {
		_ = ys.Close()
		return nil, err
	}
	return se, nil
}

// handshake opens the control stream, exchanges Hello and checks that the peer
// has the same protocol version and serves the expected upstream.
func (cl *Client) handshake(ctx context.Context, se *session) error {
	st, err := se.OpenStream()
	if err != nil {
		return err
	}
	if dl, ok := ctx.Deadline(); ok {
		_ = st.SetDeadline(dl)
	}
	se.ctl = newFrameConn(st)
	re, _ := cl.config()
	if err := se.ctl.send(&wire.Frame{Body: &wire.Frame_Hello{Hello: cl.id.hello(re)}}); err != nil {
		return err
	}
	fr, err := se.ctl.recv()
	if err != nil {
		return err
	}
	se.hello = fr.GetHello()
	if se.hello.GetProtocol() != protocolVersion {
		return errors.New("link: peer uses another version of the protocol")
	}
	if want := string(cl.id.Upstream); want != "" && se.hello.GetUpstream() != want {
		return errors.New("link: peer serves another upstream than expected")
	}
	_ = st.SetDeadline(time.Time{})
	cl.announceConfig(se, ident.Revision(se.hello.GetRevision()))
	return nil
}

// readControl handles the frames of the control stream until it ends.
func (cl *Client) readControl(se *session) {
	for {
		fr, err := se.ctl.recv()
		if err != nil {
			_ = se.Close()
			return
		}
		switch bo := fr.GetBody().(type) {
		case *wire.Frame_LoadReport:
			cl.setReport(se, bo.LoadReport)
			cl.announceConfig(se, ident.Revision(bo.LoadReport.GetRevision()))
		case *wire.Frame_ConfigUpdate:
			cl.configUpdate(se, bo.ConfigUpdate)
		case *wire.Frame_OrderDone:
			cl.orderDone(bo.OrderDone)
		case *wire.Frame_ClosedIncarnation:
			cl.closedIncarnation(se, bo.ClosedIncarnation)
		}
	}
}

func (cl *Client) setReport(se *session, lr *wire.LoadReport) {
	if se.replaced() {
		// A report delayed on a replaced connection is older than those of the
		// new one.
		return
	}
	rp := toReport(se.hello, lr, cl.clk.Now())
	cl.report.Store(&rp)
	cl.onReport(rp)
}

// announceConfig announces the configuration in force if it is newer than the
// revision that the sidecar has.
func (cl *Client) announceConfig(se *session, has ident.Revision) {
	if re, _ := cl.config(); re > has {
		_ = se.ctl.send(configUpdate(re, nil))
	}
}

// configUpdate handles a ConfigUpdate frame: it passes on a received document,
// or sends the document that the sidecar requests.
func (cl *Client) configUpdate(se *session, cu *wire.ConfigUpdate) {
	if len(cu.GetDocument()) == 0 {
		if re, doc := cl.config(); re >= ident.Revision(cu.GetRevision()) {
			_ = se.ctl.send(configUpdate(re, codec.Compress(doc, codec.Small)))
		}
		return
	}
	if doc, err := codec.Decompress(cu.GetDocument(), maxDocumentBytes); err == nil {
		cl.onConfig(doc)
	}
}

// ConfigChanged announces the new configuration in force to the sidecar.
func (cl *Client) ConfigChanged() {
	if se := cl.cur.Load(); se != nil {
		cl.announceConfig(se, 0)
	}
}

// Report returns the latest report of the sidecar, if there is one.
func (cl *Client) Report() (peer.Report, bool) {
	rp := cl.report.Load()
	if rp == nil {
		return peer.Report{}, false
	}
	return *rp, true
}

// ConnectAttempted reports whether the first attempt to connect has ended.
func (cl *Client) ConnectAttempted() bool { return cl.connectAttempted.Load() }

// Connected reports whether a session is open.
func (cl *Client) Connected() bool { return cl.cur.Load() != nil }

// Open sends the attempt over the current session.
func (cl *Client) Open(ctx context.Context, di peer.Dispatch) (peer.Stream, error) {
	se := cl.cur.Load()
	if se == nil {
		return nil, refuse.New(refuse.Unreachable, "no connection to the sidecar")
	}
	st := newStream(ctx, cl, di)
	if err := st.start(se); err != nil {
		st.release()
		return nil, err
	}
	return st, nil
}

// Resume continues an attempt whose output is buffered at the sidecar.
func (cl *Client) Resume(ctx context.Context, re ident.Request, attempt uint32, nextSeq uint64) (peer.Stream, error) {
	se, err := cl.awaitSession(ctx, nil)
	if err != nil {
		return nil, refuse.New(refuse.LinkLost, "no connection to the sidecar: %v", err)
	}
	st := newStream(ctx, cl, peer.Dispatch{Request: re, Attempt: attempt, Call: engine.Call{Request: re}})
	st.chunks, st.accepted = st.chunks.ResumedAt(nextSeq), true
	if err := st.attach(se); err != nil {
		st.release()
		return nil, refuse.New(refuse.LinkLost, "resume: %v", err)
	}
	return st, nil
}

// rxConn is a connection that records when bytes last arrived.
type rxConn struct {
	net.Conn
	last *atomic.Int64
	clk  clock.Clock
}

// Read reads from the connection and records the time.
func (rx *rxConn) Read(buf []byte) (int, error) {
	cnt, err := rx.Conn.Read(buf)
	if cnt > 0 {
		rx.last.Store(rx.clk.Now().UnixNano())
	}
	return cnt, err
}

// sleep waits for du. It reports false if ctx ends first.
func sleep(ctx context.Context, du time.Duration) bool {
	ti := time.NewTimer(du)
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ti.C:
		return true
	}
}
