package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/core/quota"
)

// WithBudgets bounds the connections of the server. Connections that are idle, or whose
// header or body is incomplete, give way to others and are closed. The default is no
// bound.
func WithBudgets(bu *bound.Budgets) Option {
	return func(sv *Server) {
		cs := &connSet{budgets: bu, leases: map[net.Conn]*quota.Lease{}}
		sv.srv.ConnState = cs.record
		sv.srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		}
		sv.srv.Handler = cs.handler(sv.srv.Handler)
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connSet holds the leases of the connections of a server. A connection and its requests
// are handled by one goroutine.
type connSet struct {
	budgets *bound.Budgets
	mu      sync.Mutex
	leases  map[net.Conn]*quota.Lease
}

// record follows the state of a connection.
func (cs *connSet) record(nc net.Conn, st http.ConnState) {
	now := time.Now()
	switch st {
	case http.StateNew:
		cs.open(nc, now)
	case http.StateIdle:
		cs.set(nc, func(cl quota.Claim) quota.Claim { return cl.WithFixed(false).WithRank(bound.RankIdle, now) }, now)
	case http.StateActive:
		cs.set(nc, func(cl quota.Claim) quota.Claim { return cl.WithRank(bound.RankHeader, now) }, now)
	case http.StateClosed, http.StateHijacked:
		cs.mu.Lock()
		le := cs.leases[nc]
		delete(cs.leases, nc)
		cs.mu.Unlock()
		if le != nil {
			cs.budgets.Conns.Close(le)
		}
	}
}

func (cs *connSet) open(nc net.Conn, now time.Time) {
	giveWay := func() {
		cs.budgets.RecordShed(bound.Conns)
		_ = nc.Close()
	}
	le := cs.budgets.Conns.Open(bound.NewConnClaim(nc, now), giveWay, now)
	if le == nil {
		giveWay()
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.leases[nc] = le
}

// set changes the claim of a connection, and reports false if it has given way.
func (cs *connSet) set(nc net.Conn, change func(quota.Claim) quota.Claim, now time.Time) bool {
	cs.mu.Lock()
	le := cs.leases[nc]
	cs.mu.Unlock()
	return le != nil && cs.budgets.Conns.Set(le, change(le.Claim()), now)
}

// handler returns a handler that keeps the connections of complete requests.
func (cs *connSet) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		nc, _ := re.Context().Value(connKey{}).(net.Conn)
		now := time.Now()
		if re.Body == nil || re.Body == http.NoBody {
			if !cs.set(nc, func(cl quota.Claim) quota.Claim { return cl.WithFixed(true) }, now) {
				panic(http.ErrAbortHandler)
			}
		} else {
			cs.set(nc, func(cl quota.Claim) quota.Claim { return cl.WithRank(bound.RankBody, now) }, now)
			re.Body = &trackedBody{ReadCloser: re.Body, conns: cs, nc: nc, length: re.ContentLength, progress: quota.NewClaim("", now)}
		}
		next.ServeHTTP(wr, re)
	})
}

// trackedBody records the progress of a body for its connection.
type trackedBody struct {
	io.ReadCloser
	conns           *connSet
	nc              net.Conn
	arrived, length int64
	progress        quota.Claim
}

// Read reads from the body. A complete body keeps its connection.
func (tb *trackedBody) Read(buf []byte) (int, error) {
	n, err := tb.ReadCloser.Read(buf)
	tb.arrived += int64(n)
	now := time.Now()
	before := tb.progress.AdvancedAt
	tb.progress = tb.progress.WithArrived(tb.arrived, max(tb.length-tb.arrived, 0), now)
	kept := true
	switch {
	case err == io.EOF:
		kept = tb.conns.set(tb.nc, func(cl quota.Claim) quota.Claim { return cl.WithFixed(true) }, now)
	case !tb.progress.AdvancedAt.Equal(before):
		kept = tb.conns.set(tb.nc, func(cl quota.Claim) quota.Claim { return cl.WithRank(bound.RankBody, now) }, now)
	}
	if !kept {
		return n, net.ErrClosed
	}
	return n, err
}
