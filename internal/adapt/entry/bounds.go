package entry

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/quota"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var evShed = meter.Event{Number: 1306, Level: slog.LevelWarn, Text: "requests were refused or connections closed to stay within a limit"}

// Kinds of connections that do not serve a request, in the order in which they are
// closed.
const (
	// rankIdle is the rank of a connection between two requests.
	rankIdle = iota
	// rankHeader is the rank of a connection without a complete header.
	rankHeader
	// rankBody is the rank of a connection whose body is incomplete.
	rankBody
)

// Limits that are counted and logged. They are values of the label limit.
const (
	limitBodies = "bodyMemory"
	limitConns  = "connections"
)

const (
	// minRetryDelay and retryDelaySpread give the time after which a refused caller may
	// retry. Its retry reaches another router.
	minRetryDelay    = 100 * time.Millisecond
	retryDelaySpread = 400 * time.Millisecond
	// maxTurnAways bounds the connections beyond the limit that are being closed.
	maxTurnAways = 32
	// shedLogInterval is the least time between two log lines about one limit.
	shedLogInterval = time.Second
	// gaugeInterval is the time between two updates of the gauges.
	gaugeInterval = time.Second
)

// WithBodyMemory sets how many bytes the bodies of requests may hold together. When
// they are used up, bodies without progress give way first. The default is no bound.
func WithBodyMemory(bytes int64) Option {
	return func(sv *Server) { sv.bodies = newBodies(bytes) }
}

// WithMaxConns sets the number of connections that are open at the same time. Idle
// connections and those without a complete header are closed first. The default is no
// bound.
func WithMaxConns(conns int) Option {
	return func(sv *Server) {
		sv.sockets, sv.slots = newSockets(conns), nil
		if conns > 0 {
			sv.slots = make(chan struct{}, conns+maxTurnAways)
		}
	}
}

// WithOwner sets the function that returns the client account of an API key. Accounts
// share memory equally. The default, and the owner of a request without an account, is
// the remote address.
func WithOwner(owner func(key string) (string, bool)) Option {
	return func(sv *Server) { sv.ownerOf = owner }
}

func newBodies(bytes int64) *quota.Budget[quota.ByProgress] {
	return quota.New(bytes, quota.ByProgress{StallTime: stallTime, Small: smallBody})
}

func newSockets(conns int) *quota.Budget[quota.ByRank] {
	return quota.New(int64(conns), quota.ByRank{StallTime: stallTime})
}

// refusalOf counts a request that does not fit into a limit and returns its refusal.
func (sv *Server) refusalOf(limit string) *refuse.Refusal {
	sv.recordShed(limit)
	retryAt := time.Now().Add(minRetryDelay + rand.N(retryDelaySpread))
	return refuse.New(refuse.Overloaded, "the limit %s of this router is reached", limit).WithRetryAt(retryAt)
}

// recordShed counts a refusal or a closed connection, and logs at most one line for a
// limit in shedLogInterval.
func (sv *Server) recordShed(limit string) {
	sv.meter.Count("shed", "limit", limit, 1)
	if count := sv.sheds.add(limit, time.Now()); count > 0 {
		sv.meter.Log(evShed, slog.String("limit", limit), slog.Int64("count", count),
			slog.Int64("bodyBytes", sv.bodies.Used()), slog.Int64("connections", sv.sockets.Used()))
	}
}

// reportUse sets the gauges of what callers use until the listener is closed.
func (sv *Server) reportUse() {
	tk := time.NewTicker(gaugeInterval)
	defer tk.Stop()
	for {
		select {
		case <-sv.closed:
			return
		case <-tk.C:
			sv.meter.Gauge("requestBytes", "", "", float64(sv.bodies.Used()))
			sv.meter.Gauge("callerConnections", "", "", float64(sv.sockets.Used()))
		}
	}
}

// shedLog counts what was not logged yet.
type shedLog struct {
	mu     sync.Mutex
	counts map[string]int64
	nextAt map[string]time.Time
}

// add counts one and returns the count to be logged now, or 0.
func (sl *shedLog) add(limit string, now time.Time) int64 {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.counts == nil {
		sl.counts, sl.nextAt = map[string]int64{}, map[string]time.Time{}
	}
	sl.counts[limit]++
	if now.Before(sl.nextAt[limit]) {
		return 0
	}
	count := sl.counts[limit]
	sl.counts[limit], sl.nextAt[limit] = 0, now.Add(shedLogInterval)
	return count
}

// openLease opens the lease of a connection that awaits a header, or returns nil if no
// other connection gives way.
func (co *conn) openLease() *quota.Lease {
	now := time.Now()
	return co.sv.sockets.Open(quota.NewClaim(co.remote, now).WithHeld(1).WithRank(rankHeader, now), co.giveWay, now)
}

// giveWay ends the connection, which has no complete request.
func (co *conn) giveWay() {
	if co.endIdle() {
		co.sv.recordShed(limitConns)
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
	re := co.sv.refusalOf(limitConns)
	rw := &responseWriter{co: co, bw: co.bw, re: head{Request: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}}, closing: true}
	_ = rw.refuse(re, statusOf(re), co.retryAfter(re, time.Time{}))
	if turnAways := co.sv.turnAways.Add(1); turnAways <= maxTurnAways/2 {
		co.linger()
	}
	co.sv.turnAways.Add(-1)
}

// remoteHost returns the remote address without the port.
func remoteHost(nc net.Conn) string {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		return nc.RemoteAddr().String()
	}
	return host
}
