package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

const (
	// minBackoff and maxBackoff bound the wait between connection attempts.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// dialTimeout bounds one connection attempt with its Hello exchange.
	dialTimeout = 3 * time.Second
)

// Dialer opens a connection to a sidecar.
type Dialer func(ctx context.Context) (net.Conn, error)

// ConfigSource returns the configuration in force, to be offered to peers.
type ConfigSource func() (ident.Revision, []byte)

// Client is a router's link to one sidecar. It implements peer.Sidecar.
type Client struct {
	id       Identity
	dial     Dialer
	clk      clock.Clock
	progress time.Duration
	config   ConfigSource
	onReport func(peer.Report)
	onConfig func(document []byte)

	cur    atomic.Pointer[session]
	tried  atomic.Bool
	report atomic.Pointer[peer.Report]

	mu      sync.Mutex
	changed chan struct{}
	waiters map[string]chan *wire.OrderDone
	closers map[closing][]chan []Used
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithProgress sets after how much silence of a connection a request moves to
// a new one. The default is 3 s; it must exceed the keepalive interval of 2 s.
func WithProgress(du time.Duration) ClientOption {
	return func(cl *Client) { cl.progress = du }
}

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) ClientOption {
	return func(cl *Client) { cl.clk = ck }
}

// WithConfig sets the source of the configuration that is offered to the
// sidecar. The default offers none.
func WithConfig(cs ConfigSource) ClientOption {
	return func(cl *Client) { cl.config = cs }
}

// WithOnReport sets a function that is called in turn with each report of the
// sidecar. The default does nothing.
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
		id: id, dial: dial, clk: clock.System{}, progress: 3 * time.Second,
		config:   func() (ident.Revision, []byte) { return 0, nil },
		onReport: func(peer.Report) {},
		onConfig: func([]byte) {},
		changed:  make(chan struct{}),
		waiters:  make(map[string]chan *wire.OrderDone),
		closers:  make(map[closing][]chan []Used),
	}
	for _, op := range opts {
		op(cl)
	}
	return cl
}

// Run keeps a session open until ctx ends.
func (cl *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	backoff := minBackoff
	for ctx.Err() == nil {
		se, err := cl.connect(ctx)
		if err == nil {
			cl.install(se)
		}
		cl.tried.Store(true)
		if err != nil {
			if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		wg.Go(func() { cl.readControl(se) })
		wg.Go(se.ping)
		if cl.watch(ctx, se) {
			wg.Go(func() { se.drain(ctx) })
		}
	}
}

// watch returns when the session ended or is to be replaced. It reports whether
// the session is still open for streams that work on it.
func (cl *Client) watch(ctx context.Context, se *session) bool {
	defer cl.cur.CompareAndSwap(se, nil)
	select {
	case <-ctx.Done():
		_ = se.Close()
		return false
	case <-se.CloseChan():
		return false
	case <-se.bad:
		return true
	}
}

func (cl *Client) install(se *session) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.cur.Store(se)
	close(cl.changed)
	cl.changed = make(chan struct{})
}

// fresh returns a session other than bad. It reports bad as silent, so that a
// new one is opened, and waits for it until ctx ends.
func (cl *Client) fresh(ctx context.Context, bad *session) (*session, error) {
	if bad != nil && cl.cur.Load() == bad {
		bad.replace()
	}
	for {
		cl.mu.Lock()
		ch := cl.changed
		cl.mu.Unlock()
		if se := cl.cur.Load(); se != nil && se != bad {
			return se, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ch:
		}
	}
}

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
	if err := cl.greet(ctx, se); err != nil {
		_ = ys.Close()
		return nil, err
	}
	return se, nil
}

func (cl *Client) greet(ctx context.Context, se *session) error {
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
		return errors.New("link: peer speaks another protocol version")
	}
	if want := string(cl.id.Upstream); want != "" && se.hello.GetUpstream() != want {
		return errors.New("link: peer serves another upstream")
	}
	_ = st.SetDeadline(time.Time{})
	cl.offerConfig(se, ident.Revision(se.hello.GetRevision()))
	return nil
}

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
			cl.offerConfig(se, ident.Revision(bo.LoadReport.GetRevision()))
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
		// What the old connection held back is older than what the new one tells.
		return
	}
	rp := toReport(se.hello, lr, cl.clk.Now())
	cl.report.Store(&rp)
	cl.onReport(rp)
}

// offerConfig announces the configuration if the sidecar has an older one.
func (cl *Client) offerConfig(se *session, has ident.Revision) {
	if re, _ := cl.config(); re > has {
		_ = se.ctl.send(configUpdate(re, nil))
	}
}

// configUpdate takes a document, or sends the one that the sidecar asks for.
func (cl *Client) configUpdate(se *session, cu *wire.ConfigUpdate) {
	if len(cu.GetDocument()) == 0 {
		if re, doc := cl.config(); re >= ident.Revision(cu.GetRevision()) {
			_ = se.ctl.send(configUpdate(re, pack(doc)))
		}
		return
	}
	if doc, err := unpack(cu.GetDocument()); err == nil {
		cl.onConfig(doc)
	}
}

// ConfigChanged announces the configuration now in force to the sidecar.
func (cl *Client) ConfigChanged() {
	if se := cl.cur.Load(); se != nil {
		cl.offerConfig(se, 0)
	}
}

// Report returns the latest report of the sidecar.
func (cl *Client) Report() (peer.Report, bool) {
	rp := cl.report.Load()
	if rp == nil {
		return peer.Report{}, false
	}
	return *rp, true
}

// Tried reports whether a first attempt to connect has ended.
func (cl *Client) Tried() bool { return cl.tried.Load() }

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

// Resume continues an attempt whose output is kept at the sidecar.
func (cl *Client) Resume(ctx context.Context, re ident.Request, attempt uint32, nextSeq uint64) (peer.Stream, error) {
	se, err := cl.fresh(ctx, nil)
	if err != nil {
		return nil, refuse.New(refuse.LinkLost, "no connection to the sidecar: %v", err)
	}
	st := newStream(ctx, cl, peer.Dispatch{Request: re, Attempt: attempt, Call: engine.Call{Request: re}})
	st.in, st.accepted = st.in.From(nextSeq), true
	if err := st.attach(se); err != nil {
		st.release()
		return nil, refuse.New(refuse.LinkLost, "resume: %v", err)
	}
	return st, nil
}

// rxConn records when bytes last arrived.
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
