package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// standby watches the upstream of an exchange whose request may be repeated. While the
// upstream is silent, the standby sends the request to others. The exchange goes on
// meanwhile, because a sound upstream may be silent for a while. It is cancelled when
// another upstream has begun to respond, so that not both work on the request.
//
// The goroutine of a standby owns its fields until stop has returned, except pending.
type standby struct {
	rn      *run
	current *exchange
	retries RetryBudget
	timeout time.Duration
	// demand excludes the upstreams that were tried.
	demand   place.Demand
	failures []failure
	// pending is the exchange whose response is awaited, or nil.
	pending atomic.Pointer[exchange]
	// opened is an exchange with a response that continues the request, or nil.
	opened *exchange

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	ended  chan struct{}
}

// failure is a failed send.
type failure struct {
	upstream ident.Upstream
	err      error
}

// newStandby starts the standby of an exchange. stop must be called.
func (rn *run) newStandby(ctx context.Context, ex *exchange, retries RetryBudget) *standby {
	sb := &standby{
		rn: rn, current: ex, retries: retries, demand: rn.demand,
		done: make(chan struct{}), ended: make(chan struct{}),
	}
	ex.progressed = sb.progressed
	sb.ctx, sb.cancel = context.WithCancel(ctx)
	sb.demand.Tried = append(slices.Clone(rn.demand.Tried), ex.ep.ID)
	if !rn.route.Repeatable() || !sb.mayRun() {
		close(sb.ended)
		return sb
	}
	sb.timeout = rn.silenceTimeout(ex.ep, ex.uncached)
	go func() {
		defer close(sb.ended)
		sb.watch()
	}()
	return sb
}

// mayRun reports whether the route allows another run beside that of the current
// exchange.
func (sb *standby) mayRun() bool { return sb.runsLeft() > 0 }

// runsLeft returns the number of runs that the route allows beside those that have
// failed and that of the current exchange.
func (sb *standby) runsLeft() int64 { return int64(sb.rn.route.AttemptLimit) - sb.rn.runs.Load() - 1 }

// watch sends the request to others each time the upstream has been silent for the
// timeout, until one responds or the exchange ends. A caller that does not read is no
// silence of the upstream.
func (sb *standby) watch() {
	ep, since := sb.current.ep, sb.current.at
	for {
		now := sb.rn.se.opts.clock.Now()
		reading := time.Duration(sb.current.readSince.Load())
		if reading < 0 {
			since = now
		} else if at := sb.rn.info.Arrived.Add(reading); at.After(since) {
			since = at
		}
		timeout := sb.timeout
		if sb.rn.se.congested() {
			timeout *= congestedSilenceFactor
		}
		if silent := ep.SilentFor(since, now); silent < timeout {
			if !sb.wait(min(timeout-silent, sb.timeout)) {
				return
			}
			continue
		}
		sb.rn.se.recordTimeout(ep, kindSilence)
		if sb.send() {
			return
		}
		// The upstream gets another timeout before further sends.
		since = sb.rn.se.opts.clock.Now()
	}
}

// wait reports whether the time has passed before the exchange ended.
func (sb *standby) wait(pause time.Duration) bool {
	tm := time.NewTimer(pause)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-sb.done:
		return false
	}
}

// stopped reports whether the exchange has ended.
func (sb *standby) stopped() bool {
	select {
	case <-sb.done:
		return true
	default:
		return false
	}
}

// send sends the request to one upstream after the other until one responds or the
// current one goes on. It reports whether the standby has nothing left to do.
func (sb *standby) send() (done bool) {
	paid := false
	for sb.maySend() {
		ep, uncached := sb.rn.choose(sb.demand)
		if ep == nil || !paid && !sb.retries.Take() {
			return false
		}
		sb.rn.se.opts.meter.Count("retries", "reason", reasonOf(errSilent), 1)
		ex := sb.rn.newExchange(sb.ctx, ep, uncached)
		sb.rn.sends.Add(1)
		sb.pending.Store(ex)
		err := sb.await(ex)
		// The current exchange and this one may both have made progress. The first of
		// them to take the pending exchange decides which one is cancelled.
		goesOn := !sb.pending.CompareAndSwap(ex, nil)
		if err == nil && !goesOn {
			sb.opened = ex
			sb.current.cancel(errSilent)
			return true
		}
		if goesOn && mayHaveRun(err) {
			err = errNotNeeded
		}
		sb.recordFailure(ex, err)
		if goesOn {
			return false
		}
		// A send that did not reach its upstream costs nothing.
		paid = errors.Is(err, proxy.ErrNotSent)
	}
	return !sb.mayRun() || sb.stopped()
}

// maySend reports whether the request may be sent to another upstream.
func (sb *standby) maySend() bool {
	return sb.ctx.Err() == nil && !sb.stopped() && sb.mayRun() && !sb.rn.fixed.Load() &&
		sb.rn.sends.Load() < maxSends && !sb.suspect()
}

// await sends the request and waits until the response can take the place of that of
// the current exchange: it has an event, or a whole body. If a further upstream could be
// tried, the wait is limited.
func (sb *standby) await(ex *exchange) error {
	if sb.runsLeft() > 1 {
		tm := time.AfterFunc(sb.rn.silenceTimeout(ex.ep, ex.uncached), func() { ex.cancel(errSilent) })
		defer tm.Stop()
	}
	if err := ex.open(); err != nil {
		return err
	}
	if err := sb.check(ex); err != nil {
		return err
	}
	err := ex.read()
	if errors.Is(err, io.EOF) {
		return unusableResponse{ex.rsp.Status(), "no event"}
	}
	return err
}

// progressed cancels the send in progress, because the current upstream goes on.
func (sb *standby) progressed() {
	if ex := sb.pending.Swap(nil); ex != nil {
		ex.cancel(errNotNeeded)
	}
}

// errNotNeeded means that the upstream of the current exchange has sent data again
// before another one responded.
var errNotNeeded = fmt.Errorf("%w: an earlier attempt goes on", proxy.ErrIncomplete)

// suspect reports whether another send could end another upstream.
func (sb *standby) suspect() bool {
	return sb.rn.se.opts.guard.Suspect(sb.rn.parts, sb.demand.Tried)
}

// check returns an error if the response cannot take the place of that of the current
// exchange.
func (sb *standby) check(ex *exchange) error {
	stream := sb.rn.route.Kind == intent.Stream
	if stream != ex.rsp.IsStream() || ex.rsp.Status() >= minServerError || slices.Contains(notRunStatuses, ex.rsp.Status()) {
		return unusableResponse{ex.rsp.Status(), "an error or no stream"}
	}
	return nil
}

// recordFailure ends an exchange that failed or is not needed.
func (sb *standby) recordFailure(ex *exchange, err error) {
	switch {
	case errors.Is(err, errNotNeeded):
	case errors.Is(context.Cause(ex.ctx), errSilent):
		sb.rn.se.recordTimeout(ex.ep, kindSilence)
	default:
		ex.countFailure(err)
	}
	if mayHaveRun(err) {
		sb.rn.runs.Add(1)
	}
	ex.end()
	sb.demand.Tried = append(sb.demand.Tried, ex.ep.ID)
	sb.failures = append(sb.failures, failure{ex.ep.ID, err})
}

// stop ends the standby and returns the exchange that continues the request, or nil.
// err is the result of the current exchange: only after a failure, a send in progress
// is awaited. If the current upstream has responded with an error, that is not delayed
// for longer than another silence timeout.
func (sb *standby) stop(err error) *exchange {
	close(sb.done)
	switch {
	case !retryable(err):
		sb.cancel()
	case sb.current.failed:
		defer time.AfterFunc(sb.timeout, sb.cancel).Stop()
	}
	<-sb.ended
	if sb.opened == nil {
		sb.cancel()
		return nil
	}
	if !retryable(err) {
		sb.opened.end()
		return nil
	}
	return sb.opened
}
