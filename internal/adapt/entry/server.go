// Package entry is the HTTP front end of a router that forwards whole requests.
// Paths, queries and bodies are passed on as they came.
package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/hop"
)

// Handler serves one request, see direct.Service.
type Handler interface {
	Serve(ctx context.Context, ask hop.Ask, rq hop.Request, rp hop.Reply) (begun bool, re *refuse.Refusal)
}

// Server accepts callers.
type Server struct {
	ls      net.Listener
	handler Handler
	pool    *pool.Pool
	terms   terms.Terms
	limits  func() intent.Limits

	leaving atomic.Bool
	mu      sync.Mutex
	conns   map[*conn]struct{}
	done    sync.WaitGroup
}

// defaults apply while no configuration sets limits.
var defaults = intent.Limits{
	MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second,
}

// New listens at the address. limits returns the bounds that are in force; its
// zero fields stand for defaults.
func New(addr string, ha Handler, po *pool.Pool, te terms.Terms, limits func() intent.Limits) (*Server, error) {
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{ls: ls, handler: ha, pool: po, terms: te, limits: limits, conns: map[*conn]struct{}{}}, nil
}

// Addr returns the address of the listener.
func (sv *Server) Addr() string { return sv.ls.Addr().String() }

// acceptPause is the wait after a failed accept, for example for lack of
// descriptors.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until Close.
func (sv *Server) Serve() error {
	for {
		nc, err := sv.ls.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		co := newConn(sv, nc)
		sv.mu.Lock()
		sv.conns[co] = struct{}{}
		sv.mu.Unlock()
		sv.done.Go(func() {
			co.serve()
			sv.mu.Lock()
			delete(sv.conns, co)
			sv.mu.Unlock()
		})
	}
}

// Leave announces the end: each connection ends after its next answer.
func (sv *Server) Leave() { sv.leaving.Store(true) }

// Open returns the number of connections, and Busy how many of them serve a
// request.
func (sv *Server) Open() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.conns)
}

// Busy returns the number of connections with a request.
func (sv *Server) Busy() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	busy := 0
	for co := range sv.conns {
		if co.busy.Load() {
			busy++
		}
	}
	return busy
}

// Close ends the listener and all connections and waits for them.
func (sv *Server) Close() error {
	err := sv.ls.Close()
	sv.mu.Lock()
	for co := range sv.conns {
		_ = co.nc.Close()
	}
	sv.mu.Unlock()
	sv.done.Wait()
	return err
}

func (sv *Server) bounds() intent.Limits {
	li := sv.limits()
	if li.MaxHeader <= 0 {
		li.MaxHeader = defaults.MaxHeader
	}
	if li.MaxBody <= 0 {
		li.MaxBody = defaults.MaxBody
	}
	if li.HeaderTime <= 0 {
		li.HeaderTime = defaults.HeaderTime
	}
	if li.IdleTime <= 0 {
		li.IdleTime = defaults.IdleTime
	}
	return li
}

// request is a caller's request for the pool.
type request struct {
	pool *pool.Pool
	rq   pool.Request
}

// Send sends the request to an upstream.
func (rq request) Send(ctx context.Context, at hop.Attempt) (hop.Answer, error) {
	return rq.pool.Send(ctx, rq.rq, at)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
