package entry

import (
	"net/http"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/core/quota"
)

// maxTurnAways bounds the connections beyond the limit that are being closed.
const maxTurnAways = 32

// WithBodyMemory sets how many bytes the headers and bodies of requests may hold
// together. When they are used up, bodies without progress give way first. The default
// is no bound.
func WithBodyMemory(bytes int64) Option { return func(sv *Server) { sv.bodyBytes = bytes } }

// WithMaxConns sets the number of connections that are open at the same time. Idle
// connections and those without a complete header are closed first. The default is no
// bound.
func WithMaxConns(conns int) Option { return func(sv *Server) { sv.maxConns = conns } }

// WithOwner sets the function that returns the client account of an API key. Accounts
// share memory equally. The default, and the owner of a request without an account, is
// the remote address.
func WithOwner(owner func(key string) (string, bool)) Option {
	return func(sv *Server) { sv.ownerOf = owner }
}

// openLease opens the lease of a connection that awaits a header, or returns nil if no
// other connection gives way.
func (co *conn) openLease() *quota.Lease {
	now := time.Now()
	return co.sv.budgets.Conns.Open(bound.NewConnClaim(co.nc, now), co.giveWay, now)
}

// giveWay ends the connection, which has no complete request.
func (co *conn) giveWay() {
	if co.endIdle() {
		co.sv.budgets.RecordShed(bound.Conns)
		return
	}
	co.interrupt()
}

// interrupt ends a read in progress.
func (co *conn) interrupt() { _ = co.nc.SetReadDeadline(past) }

// turnAway responds to a connection that there is no room for. Half of the connections
// beyond the limit may wait until the caller has read the response.
func (co *conn) turnAway() {
	defer func() { _ = co.nc.Close() }()
	re := co.sv.budgets.Refuse(bound.Conns)
	rw := &responseWriter{co: co, bw: co.bw, re: head{Request: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}}, closing: true}
	_ = rw.refuse(re, statusOf(re), co.retryAfter(re, time.Time{}))
	if turnAways := co.sv.turnAways.Add(1); turnAways <= maxTurnAways/2 {
		co.linger()
	}
	co.sv.turnAways.Add(-1)
}
