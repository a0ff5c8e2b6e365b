// Package bound holds what the front ends share to bound the memory and the connections
// that callers use.
package bound

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/quota"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var evShed = meter.Event{Number: 1306, Level: slog.LevelWarn, Text: "requests were refused or connections closed to stay within a limit"}

// Ranks of connections that have no complete request, in the order in which they give
// way.
const (
	// RankIdle is the rank of a connection between two requests.
	RankIdle = iota
	// RankHeader is the rank of a connection without a complete header.
	RankHeader
	// RankBody is the rank of a connection whose body is incomplete.
	RankBody
)

// Limits that are counted and logged. They are values of the label limit.
const (
	Bodies = "bodyMemory"
	Conns  = "connections"
)

const (
	// smallBody is the size up to which bodies give way last.
	smallBody = 64 << 10
	// stallTime is the time without progress after which a body gives way before others.
	stallTime = 500 * time.Millisecond
	// minRetryDelay and retryDelaySpread give the time after which a refused caller may
	// retry. Its retry reaches another router.
	minRetryDelay    = 100 * time.Millisecond
	retryDelaySpread = 400 * time.Millisecond
	// logInterval is the least time between two log lines about one limit.
	logInterval = time.Second
	// gaugeInterval is the time between two updates of the gauges.
	gaugeInterval = time.Second
)

// Budgets divide the memory and the connections of a front end among callers.
type Budgets struct {
	Bodies *quota.Budget[quota.ByProgress]
	Conns  *quota.Budget[quota.ByRank]
	meter  meter.Meter

	mu     sync.Mutex
	counts map[string]int64
	nextAt map[string]time.Time
}

// NewBudgets returns budgets of so many bytes and connections. Zero sets no bound.
func NewBudgets(bytes int64, conns int, me meter.Meter) *Budgets {
	return &Budgets{
		Bodies: quota.New(bytes, quota.ByProgress{StallTime: stallTime, Small: smallBody}),
		Conns:  quota.New(int64(conns), quota.ByRank{StallTime: stallTime}),
		meter:  me, counts: map[string]int64{}, nextAt: map[string]time.Time{},
	}
}

// Refuse counts a request that does not fit into a limit and returns its refusal.
func (bu *Budgets) Refuse(limit string) *refuse.Refusal {
	bu.RecordShed(limit)
	retryAt := time.Now().Add(minRetryDelay + rand.N(retryDelaySpread))
	return refuse.New(refuse.Overloaded, "the limit %s of this router is reached", limit).WithRetryAt(retryAt)
}

// RecordShed counts a refusal or a closed connection, and logs at most one line a second
// for each limit.
func (bu *Budgets) RecordShed(limit string) {
	bu.meter.Count("shed", "limit", limit, 1)
	if count := bu.unlogged(limit, time.Now()); count > 0 {
		bu.meter.Log(evShed, slog.String("limit", limit), slog.Int64("count", count),
			slog.Int64("bodyBytes", bu.Bodies.Used()), slog.Int64("connections", bu.Conns.Used()))
	}
}

// unlogged adds one and returns the count to be logged now, or 0.
func (bu *Budgets) unlogged(limit string, now time.Time) int64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.counts[limit]++
	if now.Before(bu.nextAt[limit]) {
		return 0
	}
	count := bu.counts[limit]
	bu.counts[limit], bu.nextAt[limit] = 0, now.Add(logInterval)
	return count
}

// Report sets the gauges of what callers use until done is closed.
func (bu *Budgets) Report(done <-chan struct{}) {
	tk := time.NewTicker(gaugeInterval)
	defer tk.Stop()
	for {
		select {
		case <-done:
			return
		case <-tk.C:
			bu.meter.Gauge("requestBytes", "", "", float64(bu.Bodies.Used()))
			bu.meter.Gauge("callerConnections", "", "", float64(bu.Conns.Used()))
		}
	}
}

// NewConnClaim returns the claim of a new connection.
func NewConnClaim(nc net.Conn, now time.Time) quota.Claim {
	return quota.NewClaim(RemoteHost(nc.RemoteAddr().String()), now).WithHeld(1).WithRank(RankHeader, now)
}

// RemoteHost returns a remote address without the port.
func RemoteHost(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
