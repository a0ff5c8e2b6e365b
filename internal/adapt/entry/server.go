// Package entry is the HTTP front end of a router that forwards requests. Paths,
// queries and bodies are forwarded unchanged.
package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// Handler serves requests. direct.Service implements it.
type Handler interface {
	// Serve handles one request and writes the response, unless it returns a
	// refusal. If started is true, a part of the response was already written, so
	// that the connection must be closed and the refusal cannot be sent.
	Serve(ctx context.Context, info proxy.RequestInfo, sender proxy.Sender, writer proxy.ResponseWriter) (started bool, re *refuse.Refusal)
}

// Server accepts connections of callers and serves their requests.
type Server struct {
	ls      net.Listener
	handler Handler
	pool    *pool.Pool
	terms   terms.HeaderNames
	limits  func() intent.Limits
	meter   meter.Meter
	checks  []Admission
	link    *shed.Link
	ownerOf func(key string) (string, bool)
	// bodyBytes and maxConns are the limits of budgets.
	bodyBytes int64
	maxConns  int
	budgets   *bound.Budgets
	// slots has an entry for each open connection, if their number is bounded.
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	// paced is the number of bodies that arrive in very small chunks.
	paced atomic.Int64
	// turnAways is the number of connections that are being turned away.
	turnAways atomic.Int64

	leaving atomic.Bool
	// closeKept makes connections end after their next response.
	closeKept atomic.Bool
	// ctx is the context of all requests, and stop ends it.
	ctx   context.Context
	stop  context.CancelCauseFunc
	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
	// accepting ends when Serve has registered its last connection.
	accepting sync.WaitGroup
}

// defaultLimits replaces limits that the configuration does not set.
var defaultLimits = intent.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Option configures a Server.
type Option func(*Server)

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(sv *Server) { sv.meter = me } }

// WithLink sets the link on which the bytes of the callers' connections are counted. The
// default is none.
func WithLink(li *shed.Link) Option { return func(sv *Server) { sv.link = li } }

// Arrival is a request whose header has arrived and whose body has not been read.
type Arrival struct {
	Info proxy.RequestInfo
	// BodyLength is the announced length of the body in bytes, or -1 if the body is
	// sent in chunks.
	BodyLength int64
	// At is the time at which the header was complete.
	At time.Time
}

// Admission decides on a request before its body is read. It returns nil if the
// request is admitted.
type Admission func(ar Arrival) *refuse.Refusal

// WithAdmission adds a check of requests before their bodies are read. Checks are
// called in the order of their options until one returns a refusal. A refusal is sent
// to the caller, and the connection is closed. The default admits all requests.
func WithAdmission(ad Admission) Option {
	return func(sv *Server) { sv.checks = append(sv.checks, ad) }
}

// New listens at the address. limits returns the limits that are in force; zero
// fields stand for the defaults.
func New(addr string, ha Handler, po *pool.Pool, hn terms.HeaderNames, limits func() intent.Limits, opts ...Option) (*Server, error) {
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	sv := &Server{
		ls: ls, handler: ha, pool: po, terms: hn, limits: limits, meter: meter.Nop{}, conns: map[*conn]struct{}{}, closed: make(chan struct{}),
		ownerOf: func(string) (string, bool) { return "", false },
	}
	sv.ctx, sv.stop = context.WithCancelCause(context.Background())
	for _, opt := range opts {
		opt(sv)
	}
	sv.budgets = bound.NewBudgets(sv.bodyBytes, sv.maxConns, sv.meter)
	if sv.maxConns > 0 {
		sv.slots = make(chan struct{}, sv.maxConns+maxTurnAways)
	}
	return sv, nil
}

// Addr returns the address of the listener.
func (sv *Server) Addr() string { return sv.ls.Addr().String() }

// acceptRetryDelay is the delay after a failed accept, for example because no
// file descriptors are left.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until Close.
func (sv *Server) Serve() error {
	sv.accepting.Add(1)
	defer sv.accepting.Done()
	sv.wg.Go(func() { sv.budgets.Report(sv.closed) })
	for sv.acquireSlot() {
		nc, err := sv.ls.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			sv.releaseSlot()
			time.Sleep(acceptRetryDelay)
			continue
		}
		co := newConn(sv, nc)
		if co.lease = co.openLease(); co.lease == nil {
			sv.wg.Go(func() {
				co.turnAway()
				sv.releaseSlot()
			})
			continue
		}
		sv.mu.Lock()
		sv.conns[co] = struct{}{}
		sv.mu.Unlock()
		sv.wg.Go(func() {
			co.serve()
			sv.budgets.Conns.Close(co.lease)
			sv.releaseSlot()
			sv.mu.Lock()
			delete(sv.conns, co)
			sv.mu.Unlock()
		})
	}
	return nil
}

// acquireSlot waits until a further connection may be open, also one that is being
// closed. It reports false if the listener is closed.
func (sv *Server) acquireSlot() bool {
	if sv.slots == nil {
		return true
	}
	select {
	case sv.slots <- struct{}{}:
		return true
	case <-sv.closed:
		return false
	}
}

func (sv *Server) releaseSlot() {
	if sv.slots != nil {
		<-sv.slots
	}
}

// closeListener ends Serve.
func (sv *Server) closeListener() error {
	sv.closeOnce.Do(func() { close(sv.closed) })
	return sv.ls.Close()
}

// Leave makes the server close each connection after its next response, which
// announces that by Connection: close.
func (sv *Server) Leave() { sv.leaving.Store(true) }

// CloseKept sets whether connections are closed after their next response, which
// announces that by Connection: close. When it is set, the idle connections are closed;
// a request that has arrived is served. New connections are still accepted.
func (sv *Server) CloseKept(on bool) {
	if sv.closeKept.Swap(on) || !on {
		return
	}
	sv.endIdle()
}

// closing reports whether connections are closed after their next response.
func (sv *Server) closing() bool { return sv.leaving.Load() || sv.closeKept.Load() }

// endIdle ends the idle connections.
func (sv *Server) endIdle() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for co := range sv.conns {
		co.endIdle()
	}
}

// OpenConns returns the number of open connections.
func (sv *Server) OpenConns() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.conns)
}

// BusyConns returns the number of connections that have a request in progress.
func (sv *Server) BusyConns() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	busy := 0
	for co := range sv.conns {
		if co.busy() {
			busy++
		}
	}
	return busy
}

const (
	// drainPollInterval is the time between two checks whether all requests have ended.
	drainPollInterval = 10 * time.Millisecond
	// RefusalTime is how long Drain waits after its deadline until the requests that
	// it has ended are refused.
	RefusalTime = 100 * time.Millisecond
)

// Drain closes the listener and the idle connections, and waits until the requests
// in progress have ended. A request that has arrived is served, also on an idle
// connection. The requests that are in progress at the deadline are refused, or cut off
// if a part of their response was written.
func (sv *Server) Drain(deadline time.Time) {
	sv.Leave()
	_ = sv.closeListener()
	sv.accepting.Wait()
	if sv.drainUntil(deadline) {
		return
	}
	sv.stop(proxy.ErrStopping)
	sv.drainUntil(time.Now().Add(RefusalTime))
}

// drainUntil closes idle connections and reports whether all connections have ended
// before the deadline.
func (sv *Server) drainUntil(deadline time.Time) bool {
	for {
		sv.endIdle()
		if sv.OpenConns() == 0 {
			return true
		}
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
}

// Close closes the listener and all connections, and waits until their goroutines
// have ended.
func (sv *Server) Close() error {
	err := sv.closeListener()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	sv.accepting.Wait()
	sv.mu.Lock()
	for co := range sv.conns {
		_ = co.nc.Close()
	}
	sv.mu.Unlock()
	sv.wg.Wait()
	sv.stop(nil)
	return err
}

// effectiveLimits returns the limits in force, with defaults for those not set.
func (sv *Server) effectiveLimits() intent.Limits {
	li := sv.limits()
	if li.MaxHeaderBytes <= 0 {
		li.MaxHeaderBytes = defaultLimits.MaxHeaderBytes
	}
	if li.MaxBodyBytes <= 0 {
		li.MaxBodyBytes = defaultLimits.MaxBodyBytes
	}
	if li.HeaderTimeout <= 0 {
		li.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if li.IdleTimeout <= 0 {
		li.IdleTimeout = defaultLimits.IdleTimeout
	}
	return li
}

// admit returns the first refusal of the admission checks, or nil.
func (sv *Server) admit(ar Arrival) *refuse.Refusal {
	for _, ad := range sv.checks {
		if re := ad(ar); re != nil {
			return re
		}
	}
	return nil
}

// request is a proxy.Sender that sends a caller's request through the pool.
type request struct {
	pool *pool.Pool
	rq   pool.Request
}

// Send sends the request to an upstream.
func (rq request) Send(ctx context.Context, at proxy.Attempt) (proxy.Response, error) {
	return rq.pool.Send(ctx, rq.rq, at)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
