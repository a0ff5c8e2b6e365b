// Package hedge reaches the platform's table through other routers when the
// direct access path is slow or the table cannot be reached on it.
package hedge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

var (
	evUnreachable = meter.Event{Number: 5141, Level: slog.LevelWarn, Text: "the table does not respond to this router, calls go through other routers"}
	evReachable   = meter.Event{Number: 5142, Level: slog.LevelInfo, Text: "the table responds to this router again"}
)

const (
	// maxRouterPaths is the largest number of routers through which one call is
	// tried.
	maxRouterPaths = 3
	// A call is started on the next access path after slowFactor times the usual
	// response time of the direct path, within the bounds, and times out after
	// the same time on the last one. The users' store responds in 4 ms, and in
	// about 300 ms while it is slow, when other paths are no faster.
	slowFactor = 3
	minDelay   = 60 * time.Millisecond
	maxDelay   = 600 * time.Millisecond
	// usualTimeWeight is the weight of a new response in the usual response time
	// as it falls. A rise takes effect at once.
	usualTimeWeight = 0.3
	// probeInterval is the time between two calls on the direct path while the
	// table cannot be reached on it.
	probeInterval = 500 * time.Millisecond
)

// Causes for which a call on one access path is cancelled.
var (
	errResponded = errors.New("hedge: another access path responded first")
	errTimedOut  = errors.New("hedge: no access path responded in time")
)

// Routers are the other routers through which the table can be reached.
type Routers interface {
	// Addresses returns the addresses of the routers.
	Addresses() []string
	// RemoteTable returns the table as reached through the router at the address.
	RemoteTable(addr string) store.Table
}

// Option configures a Table.
type Option func(*Table)

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(tb *Table) { tb.clock = ck } }

// WithMeter sets the meter. By default nothing is recorded.
func WithMeter(me meter.Meter) Option { return func(tb *Table) { tb.meter = me } }

// WithCongestion sets the source of whether the own link is congested. While it is, a
// timeout is no evidence that the table cannot be reached, and a call waits longer before
// it is made on the next access path, which uses the same link. The default is never.
func WithCongestion(congested func(now time.Time) bool) Option {
	return func(tb *Table) { tb.congested = congested }
}

// Table is a store.Table that is reached on several access paths. A commit may be
// under way on more than one path at a time: its conditions let it take effect
// once, and a condition that fails because it did is reported as
// store.ErrUncertain.
type Table struct {
	direct  store.Table
	routers Routers
	clock   clock.Clock
	meter   meter.Meter
	// congested reports whether the own link is congested.
	congested func(now time.Time) bool
	// unreachable is set while the table does not respond on the direct path, and
	// lastProbe is when that path was last tried.
	unreachable atomic.Bool
	lastProbe   atomic.Pointer[time.Time]
	// usualTime is the usual response time of the direct path in nanoseconds.
	usualTime atomic.Int64
	// lastRouter is the address of the router through which the table last
	// responded.
	lastRouter atomic.Pointer[string]
}

// NewTable returns a table that is reached directly and through other routers.
func NewTable(direct store.Table, routers Routers, opts ...Option) *Table {
	tb := &Table{direct: direct, routers: routers, clock: clock.System{}, meter: meter.Nop{}, congested: func(time.Time) bool { return false }}
	for _, apply := range opts {
		apply(tb)
	}
	return tb
}

// DirectTable returns the table for calls on behalf of other routers. It uses
// only the direct path, and fails at once while the table cannot be reached on
// it.
func (tb *Table) DirectTable() store.Table { return direct{tb} }

// getResult is the result of a Get.
type getResult struct {
	item store.Item
	ok   bool
}

// Get returns the row and whether it exists.
func (tb *Table) Get(ctx context.Context, key string) (store.Item, bool, error) {
	gr, err := callHedged(ctx, tb, store.ErrUnavailable, func(ctx context.Context, ta store.Table) (getResult, error) {
		it, ok, err := ta.Get(ctx, key)
		return getResult{it, ok}, err
	})
	return gr.item, gr.ok, err
}

// Scan returns rows with the prefix.
func (tb *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	return callHedged(ctx, tb, store.ErrUnavailable, func(ctx context.Context, ta store.Table) ([]store.Item, error) {
		return ta.Scan(ctx, prefix, after, limit)
	})
}

// Commit applies all writes or none.
func (tb *Table) Commit(ctx context.Context, writes ...store.Write) error {
	_, err := callHedged(ctx, tb, store.ErrUncertain, func(ctx context.Context, ta store.Table) (struct{}, error) {
		return struct{}{}, ta.Commit(ctx, writes...)
	})
	return err
}

// pathPlan is a list of access paths in the order in which they are tried.
type pathPlan struct {
	paths []store.Table
	// lastTimeout is how long the call waits for the last path.
	lastTimeout time.Duration
}

// pathPlan returns the access paths of a call. The direct one comes first. While
// the table cannot be reached on it, it is only tried once in each probe interval
// or if there is no other, and then the call waits longer.
func (tb *Table) pathPlan(now time.Time) pathPlan {
	var others []store.Table
	add := func(addr string) { others = append(others, &routerPath{tb.routers.RemoteTable(addr), tb, addr}) }
	lastRouter := tb.lastRouter.Load()
	if lastRouter != nil {
		add(*lastRouter)
	}
	addrs := tb.routers.Addresses()
	for _, ix := range rand.Perm(len(addrs)) {
		if len(others) < maxRouterPaths && (lastRouter == nil || addrs[ix] != *lastRouter) {
			add(addrs[ix])
		}
	}
	all := append([]store.Table{&directPath{tb.direct, tb}}, others...)
	switch {
	case !tb.unreachable.Load():
		return pathPlan{all, tb.hedgeDelay()}
	case len(others) == 0 || tb.probeDue(now):
		return pathPlan{all, maxDelay}
	default:
		return pathPlan{others, tb.hedgeDelay()}
	}
}

// hedgeDelay returns how long a call waits for a path before it starts on the
// next one.
func (tb *Table) hedgeDelay() time.Duration {
	if tb.congested(tb.clock.Now()) {
		return maxDelay
	}
	return min(max(slowFactor*time.Duration(tb.usualTime.Load()), minDelay), maxDelay)
}

// probeDue reports whether the direct path is to be tried again, and records that
// it is.
func (tb *Table) probeDue(now time.Time) bool {
	at := tb.lastProbe.Load()
	return (at == nil || now.Sub(*at) >= probeInterval) && tb.lastProbe.CompareAndSwap(at, &now)
}

// recordResult records whether the table responded on the direct path, and how
// long it took.
func (tb *Table) recordResult(err error, elapsed time.Duration) {
	unreachable := noResponse(err)
	if !unreachable {
		usual := tb.usualTime.Load()
		tb.usualTime.Store(max(int64(elapsed), usual+int64(usualTimeWeight*float64(int64(elapsed)-usual))))
	}
	switch {
	case unreachable && timedOut(err) && tb.congested(tb.clock.Now()):
		tb.meter.Count("timeoutsNotHeld", "kind", "table", 1)
	case unreachable && tb.unreachable.CompareAndSwap(false, true):
		now := tb.clock.Now()
		tb.lastProbe.Store(&now)
		tb.meter.Log(evUnreachable, slog.String("error", err.Error()))
	case !unreachable && tb.unreachable.CompareAndSwap(true, false):
		tb.meter.Log(evReachable, slog.Duration("took", elapsed))
	}
}

// timedOut reports whether a call ended because there was no response in time.
func timedOut(err error) bool {
	var te interface{ Timeout() bool }
	return errors.Is(err, context.Canceled) || errors.As(err, &te) && te.Timeout()
}

// noResponse reports whether the error means that the table did not respond. A
// failed condition and throttling are responses.
func noResponse(err error) bool {
	return err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrThrottled)
}

// callResult is the result of a call on one access path.
type callResult[T any] struct {
	val T
	err error
}

// callHedged starts the call on one access path after the other, on the next one
// as soon as a path fails or takes too long. It returns the first response and
// cancels the calls that are still under way. timeoutErr is wrapped by the error
// if no response comes in time.
func callHedged[T any](ctx context.Context, tb *Table, timeoutErr error, call func(context.Context, store.Table) (T, error)) (T, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(errResponded)
	pp, hedgeDelay := tb.pathPlan(tb.clock.Now()), tb.hedgeDelay()
	results := make(chan callResult[T], len(pp.paths))
	running, uncertain := 0, false
	var failed error
	start := func() {
		if len(pp.paths) == 0 {
			return
		}
		path := pp.paths[0]
		pp.paths, running = pp.paths[1:], running+1
		go func() {
			val, err := call(ctx, path)
			results <- callResult[T]{val, err}
		}()
	}
	start()
	tm := time.NewTimer(hedgeDelay)
	defer tm.Stop()
	for running > 0 {
		wait := hedgeDelay
		if len(pp.paths) == 0 {
			wait = pp.lastTimeout
		}
		tm.Reset(wait)
		select {
		case <-tm.C:
			if len(pp.paths) == 0 {
				stop(errTimedOut)
				var none T
				return none, combineErrors(failed, fmt.Errorf("%w: no access path responded within %s", timeoutErr, wait))
			}
			start()
		case cr := <-results:
			running--
			if !noResponse(cr.err) {
				// The commit on another path may have made the condition fail,
				// or may still take effect.
				if cr.err != nil && (uncertain || running > 0) {
					cr.err = store.ErrUncertain
				}
				return cr.val, cr.err
			}
			uncertain = uncertain || !errors.Is(cr.err, store.ErrUnavailable)
			failed = combineErrors(failed, cr.err)
			start()
		}
	}
	var none T
	return none, failed
}

// combineErrors returns the error that holds for both calls: a write that may
// have taken effect on one path stays uncertain whatever the others return.
func combineErrors(one, two error) error {
	if one == nil || errors.Is(one, store.ErrUnavailable) {
		return two
	}
	return one
}
