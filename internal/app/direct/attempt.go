package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/poison"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

const (
	// minSilenceTimeout and maxSilenceTimeout bound the time without data from an
	// upstream after which the request is retried at another one, apart from the time
	// to prefill the prompt.
	minSilenceTimeout = 150 * time.Millisecond
	maxSilenceTimeout = time.Second
	// prefillAllowance is the multiple of the expected prefill time that is added. A
	// prompt also waits behind those of other routers.
	prefillAllowance = 2
	// soundAfter is the time for which events of a response have to arrive before its
	// prompt is known not to end the upstream. An upstream that a part of a prompt ends
	// ends when it begins to respond, and may write events before that.
	soundAfter = time.Second
	// usualPace is the reported pace of an upstream that works as fast as usual.
	usualPace = 100
	// minClientError is the lowest status that reports an error.
	minClientError = 400
	// minServerError is the lowest status that reports a failure of the upstream.
	minServerError = 500
)

// notRunStatuses are the statuses that promise a caller that the request did not and
// will not run.
var notRunStatuses = []int{408, 421, 429, 503}

// errSilent means that the upstream has sent nothing for the silence timeout and
// that another one has begun to respond to the request.
var errSilent = errors.New("the upstream is silent")

// unusableResponse is the error for a complete response that is not passed to the
// caller. The upstream has not ended, and only a server error counts as its failure.
type unusableResponse struct {
	status int
	reason string
}

// Error returns the text of the error.
func (ur unusableResponse) Error() string {
	return fmt.Sprintf("%v: status %d, %s", proxy.ErrIncomplete, ur.status, ur.reason)
}

// Unwrap returns proxy.ErrIncomplete, because the request has run.
func (unusableResponse) Unwrap() error { return proxy.ErrIncomplete }

// attempt forwards the response to an exchange to the caller, after sending the
// request if that was not done yet. The error is a *refuse.Refusal if the request must
// not be retried even if the route allows it. If the upstream was silent and another
// one has begun to respond, its exchange is returned too.
func (rn *run) attempt(ctx context.Context, ex *exchange, retries RetryBudget) (*exchange, error) {
	defer ex.end()
	sb := rn.newStandby(ctx, ex, retries)
	err := ex.open()
	if err == nil {
		err = ex.forward()
	}
	next := sb.stop(err)
	rn.merge(sb)
	if next != nil && !rn.mayContinue(next) {
		// The current upstream began the stream while the other one responded.
		rn.discard(next)
		next = nil
	}
	if next == nil && ex.failed && !rn.canRetry() {
		// No other upstream has taken over, and none may be tried.
		err = ex.deliver()
	}
	return next, ex.classify(err)
}

// merge takes over the failures of a standby.
func (rn *run) merge(sb *standby) {
	current := rn.upstream
	for _, fa := range sb.failures {
		rn.recordFailure(fa.upstream, fa.err)
	}
	rn.upstream = current
}

// retryable reports whether the result of an attempt is a failure after which the
// request may be sent again.
func retryable(err error) bool {
	var final *refuse.Refusal
	return err != nil && !errors.As(err, &final)
}

// mayHaveRun reports whether an upstream may have executed the request of a failed send.
func mayHaveRun(err error) bool {
	return !errors.Is(err, proxy.ErrNotSent) && !errors.Is(err, proxy.ErrNotRun)
}

// silenceTimeout returns the time without data after which the request is retried
// at another upstream. An engine that prefills a long prompt sends nothing either,
// and giving it up repeats the work elsewhere when load is at its worst.
func (rn *run) silenceTimeout(ep *place.Endpoint, uncached ident.Tokens) time.Duration {
	timeout := min(max(silenceTimeoutOf(rn.route), minSilenceTimeout), maxSilenceTimeout)
	return timeout + prefillAllowance*ep.PrefillTime(uncached)
}

// silenceTimeoutOf returns the duration of silence after which the response
// would be late in any case.
func silenceTimeoutOf(ro intent.Route) time.Duration {
	if ro.Kind == intent.Stream {
		return max(ro.LatencyGoal, ro.MaxEventGap)
	}
	return 2 * ro.LatencyGoal
}

// exchange is an attempt in progress at one upstream.
type exchange struct {
	rn   *run
	ep   *place.Endpoint
	sent *place.Sent
	// uncached is the estimated number of prompt tokens that the upstream has to process.
	uncached ident.Tokens
	// known is what was known about the parts of the prompt when the request was sent.
	known  poison.History
	at     time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	// rsp is the response, or nil before its header has arrived.
	rsp proxy.Response
	// first is the first event, and body the whole body, if a standby has read it.
	first *proxy.Event
	body  []byte
	// progressed is called when an event has arrived.
	progressed func()
	// readSince is the time since the arrival of the request from which on the upstream
	// is waited for, or -1 while an event is written to the caller.
	readSince atomic.Int64
	// complete says that the upstream sent a complete response.
	complete bool
	// began says that an event arrived, and responding is the time for which later ones
	// were waited for.
	began      bool
	responding time.Duration
	// failed says that the response is a complete error response, which is passed to the
	// caller only if no other upstream responds.
	failed bool
	// sound says that the response shows that the prompt does not end its upstream.
	sound bool
}

// newExchange returns an exchange that was not sent yet. The caller must end it.
func (rn *run) newExchange(ctx context.Context, ep *place.Endpoint, uncached ident.Tokens) *exchange {
	now := rn.se.opts.clock.Now()
	ex := &exchange{
		rn: rn, ep: ep, uncached: uncached, known: rn.se.opts.guard.History(rn.parts), at: now,
		progressed: func() {}, sent: ep.Sent(uncached, rn.demand.Prompt.Unshared(), now),
	}
	if rn.route.LatencyGoal > 0 {
		ex.sent.Expect(now.Add(rn.route.LatencyGoal))
	}
	ex.ctx, ex.cancel = context.WithCancelCause(ctx)
	ex.readSince.Store(int64(now.Sub(rn.info.Arrived)))
	return ex
}

// open sends the request and waits for the header of the response, unless that was
// done before.
func (ex *exchange) open() error {
	if ex.rsp != nil {
		return nil
	}
	rn := ex.rn
	rsp, err := rn.sender.Send(ex.ctx, proxy.Attempt{
		Upstream: proxy.Upstream{ID: ex.ep.ID, Address: ex.ep.Address}, Deadline: rn.deadline,
		Account: rn.account.Name, Urgency: rn.urgency(), LastEvent: rn.lastEvent.Load(),
	})
	if err == nil {
		ex.rsp = rsp
	}
	if li := rn.se.opts.link; li != nil && (err == nil || errors.Is(err, proxy.ErrNotRun)) {
		li.Reached(ex.ep.Address, rn.se.opts.clock.Now())
	}
	ex.recordNotice(rsp, err)
	return err
}

// recordNotice records what the upstream says of itself in a response, which may be a
// refusal.
func (ex *exchange) recordNotice(rsp proxy.Response, err error) {
	var no proxy.Notice
	var nr proxy.NotRunError
	switch {
	case err == nil:
		no = rsp.Notice()
	case errors.As(err, &nr):
		no = nr.Notice
	}
	if no.Leaving {
		ex.rn.se.opts.roster.RecordLeaving(ex.ep.Upstream)
	}
	if !no.ColdUntil.IsZero() {
		ex.ep.ReportedCold(no.ColdUntil, ex.rn.se.opts.clock.Now())
	}
	if !no.QuietUntil.IsZero() {
		// All routers are told the same time, and are not to come back together.
		ex.ep.Quiet(no.QuietUntil.Add(rand.N(refusalRetryDelay)))
		ex.rn.se.opts.meter.Count("quietRequests", "", "", 1)
	} else if err == nil {
		ex.ep.Accepted(ex.at)
	}
}

// read reads the first event of a stream, or a whole body, unless that was done before.
func (ex *exchange) read() error {
	if ex.first != nil || ex.body != nil {
		return nil
	}
	if !ex.rsp.IsStream() {
		body, err := ex.rsp.Body(ex.ctx)
		ex.body = body
		return err
	}
	ev, err := ex.rsp.NextEvent(ex.ctx)
	if err == nil {
		ev.Data = bytes.Clone(ev.Data)
		ex.first = &ev
	}
	return err
}

// nextEvent returns the next event of the stream.
func (ex *exchange) nextEvent() (proxy.Event, error) {
	if ex.first == nil {
		return ex.rsp.NextEvent(ex.ctx)
	}
	ev := *ex.first
	ex.first = nil
	return ev, nil
}

// end releases the exchange. An upstream that has not completed its response stops
// processing the request.
func (ex *exchange) end() {
	if ex.rsp != nil {
		ex.rsp.Close()
	}
	now := ex.rn.se.opts.clock.Now()
	ex.sent.Done(now, ex.complete)
	ex.cancel(nil)
	me, id := ex.rn.se.opts.meter, string(ex.ep.ID)
	me.Gauge("upstreamSlowness", "upstream", id, ex.ep.Slowness(now))
	me.Gauge("upstreamPace", "upstream", id, ex.ep.Pace(now))
	me.Gauge("upstreamLimit", "upstream", id, ex.ep.Limit(now))
}

// classify records what the result of the attempt proves about the request and
// about the endpoint, and returns the error for the retry decision.
func (ex *exchange) classify(err error) error {
	rn := ex.rn
	switch {
	case err == nil:
		rn.runs.Add(1)
		ex.complete = true
		ex.ep.Succeeded()
		if ex.began {
			ex.recordSound()
		}
		return nil
	case !retryable(err):
		rn.runs.Add(1)
		return err
	}
	ex.countFailure(err)
	if !mayHaveRun(err) {
		return err
	}
	rn.runs.Add(1)
	if errors.Is(context.Cause(ex.ctx), errSilent) {
		err = fmt.Errorf("%w: %w", proxy.ErrIncomplete, errSilent)
	}
	return err
}

// recordSound records that the prompt does not end the upstream.
func (ex *exchange) recordSound() {
	if !ex.sound {
		ex.sound = true
		ex.rn.se.opts.guard.Served(ex.rn.parts)
	}
}

// recordEvent records an event for which the exchange has waited since a time. The time
// for which the caller did not read does not show that the upstream goes on.
func (ex *exchange) recordEvent(ev proxy.Event, since, now time.Time) {
	if ex.began {
		ex.responding += now.Sub(since)
	}
	ex.began = true
	if ex.responding >= soundAfter {
		ex.recordSound()
	}
	ex.ep.Received(now)
	ex.progressed()
	if ev.Comment {
		ex.sent.FirstEvent(now)
	} else {
		ex.sent.Event(since, now)
	}
}

// countFailure records what a failed send shows about the endpoint and about the parts
// of the prompt.
func (ex *exchange) countFailure(err error) {
	rn, now, cause := ex.rn, ex.rn.se.opts.clock.Now(), context.Cause(ex.ctx)
	// The standby has counted the failure of an upstream when it fell silent.
	silent := errors.Is(cause, errSilent)
	var ur unusableResponse
	unusable := errors.As(err, &ur)
	switch {
	case errors.Is(err, proxy.ErrNotRun):
		ex.ep.RefusedFull(now)
		return
	case cause != nil && !silent:
		return
	case !silent && (!unusable || ur.status >= minServerError):
		rn.se.recordFailed(ex.ep, err)
	}
	if mayHaveRun(err) && !ex.sound && !unusable && len(rn.parts) > 0 {
		rn.se.opts.guard.Ended(proxy.Upstream{ID: ex.ep.ID, Address: ex.ep.Address}, rn.parts, ex.known)
	}
}

// forward passes the response to the caller. A response that is no stream cannot
// continue one that has started.
func (ex *exchange) forward() error {
	rn, rsp := ex.rn, ex.rsp
	now := rn.se.opts.clock.Now()
	ex.ep.Received(now)
	if ld, ok := rsp.Load(); ok {
		ex.recordLoad(ld, now)
	}
	if rsp.IsStream() {
		return ex.forwardEvents()
	}
	if err := ex.read(); err != nil {
		return err
	}
	ex.sent.Responded(rn.se.opts.clock.Now(), rsp.Status() < minClientError)
	switch {
	case slices.Contains(notRunStatuses, rsp.Status()):
		return unusableResponse{rsp.Status(), "without proof that the request was not run"}
	case rn.stream != nil || rsp.Status() >= minServerError && rn.canRetry():
		ex.failed = rn.stream == nil
		return unusableResponse{rsp.Status(), "an error or no stream"}
	}
	return ex.deliver()
}

// recordLoad records the figures of a load report that are valid.
func (ex *exchange) recordLoad(ld proxy.Load, now time.Time) {
	if ld.Running != proxy.Unreported && ld.Waiting != proxy.Unreported {
		ex.ep.Reported(ld.Running, ld.Waiting, ld.Slots, now)
	}
	if ld.Pace != 0 {
		ex.ep.ReportedPace(float64(ld.Pace)/usualPace, now)
	}
	if ld.Invalid && ex.ep.FirstInvalidReport() {
		ex.rn.se.opts.meter.Log(evInvalidLoad, slog.String("upstream", string(ex.ep.ID)), slog.Any("load", ld))
	}
}

// deliver passes a response that is no stream to the caller.
func (ex *exchange) deliver() error {
	rn, rsp := ex.rn, ex.rsp
	rn.status = rsp.Status()
	rn.delivered = rn.status < minServerError
	rn.bytesSent += int64(len(ex.body))
	rn.timeToFirst = rn.se.opts.clock.Now().Sub(rn.info.Arrived)
	if err := rn.writer.WriteResponse(rsp, ex.body); err != nil {
		return refuse.New(refuse.Cancelled, "cannot write the response to the caller: %v", err).WithOutcome(refuse.Unknown)
	}
	return nil
}

// canRetry reports whether the request can be retried instead of passing an error
// response of the upstream to the caller.
func (rn *run) canRetry() bool {
	return rn.route.Repeatable() && rn.runs.Load()+1 < int64(rn.route.AttemptLimit) && rn.sends.Load() < maxSends
}

// forwardEvents passes the events of a stream to the caller as they arrive.
// Events that the caller already has are skipped, and a missing event ends the
// attempt. A stream that continues another one is not complete without a further
// event, because its upstream may know nothing of the events before.
func (ex *exchange) forwardEvents() error {
	rn, rsp := ex.rn, ex.rsp
	resumed, continued := rn.stream != nil, false
	for {
		since := rn.se.opts.clock.Now()
		if gap := rn.route.MaxEventGap; gap > 0 && ex.began {
			ex.sent.Expect(since.Add(gap))
		}
		ev, err := ex.nextEvent()
		if errors.Is(err, io.EOF) && resumed && !continued {
			return unusableResponse{rsp.Status(), fmt.Sprintf("no event follows %d", rn.lastEvent.Load())}
		}
		if errors.Is(err, io.EOF) {
			ex.sent.Responded(rn.se.opts.clock.Now(), true)
			return ex.endStream(rsp)
		}
		if err != nil {
			return err
		}
		now := rn.se.opts.clock.Now()
		ex.recordEvent(ev, since, now)
		if forward, err := rn.checkEvent(ev, resumed); err != nil {
			return err
		} else if !forward {
			continue
		}
		if rn.stream == nil {
			if err := ex.startStream(rsp, now); err != nil {
				return err
			}
		}
		ex.readSince.Store(-1)
		if err := rn.stream.WriteEvent(ev); err != nil {
			return refuse.New(refuse.Cancelled, "cannot write an event to the caller: %v", err).WithOutcome(refuse.Unknown)
		}
		continued = true
		if ev.Number < 0 && !ev.Comment {
			rn.fixed.Store(true)
		}
		rn.lastEvent.Store(max(rn.lastEvent.Load(), ev.Number))
		rn.eventsSent++
		rn.bytesSent += int64(len(ev.Data))
		ex.readSince.Store(int64(rn.se.opts.clock.Now().Sub(rn.info.Arrived)))
	}
}

// checkEvent reports whether the event is forwarded, and returns an error if it does
// not follow those that the caller has. Only the first upstream may send events without
// a number, since nothing shows whether others belong to the same stream.
func (rn *run) checkEvent(ev proxy.Event, resumed bool) (forward bool, err error) {
	lastEvent := rn.lastEvent.Load()
	switch {
	case ev.Number < 0 && resumed && !ev.Comment:
		return false, fmt.Errorf("%w: an event without a number follows %d", proxy.ErrIncomplete, lastEvent)
	case ev.Number < 0:
		return !resumed, nil
	case lastEvent < 0 || ev.Number == lastEvent+1:
		return true, nil
	case ev.Number <= lastEvent:
		return false, nil
	default:
		return false, fmt.Errorf("%w: event %d follows %d", proxy.ErrIncomplete, ev.Number, lastEvent)
	}
}

// startStream starts the stream to the caller with the header of the response. A
// stream that is resumed at another upstream keeps the first header.
func (ex *exchange) startStream(rsp proxy.Response, now time.Time) error {
	rn := ex.rn
	sw, err := rn.writer.StartStream(rsp)
	if err != nil {
		return refuse.New(refuse.Cancelled, "cannot write the response header to the caller: %v", err).WithOutcome(refuse.Unknown)
	}
	rn.stream, rn.delivered, rn.status = sw, true, rsp.Status()
	if rn.route.Kind != intent.Stream || !rn.route.Resumable {
		rn.fixed.Store(true)
	}
	rn.began(ex.ep)
	rn.timeToFirst = now.Sub(rn.info.Arrived)
	rn.se.opts.meter.Observe("firstEvent", "route", rn.route.Name, rn.timeToFirst)
	rn.se.engines.RecordPrompt(ex.ep, rn.demand.Prompt, now)
	return nil
}

// endStream completes the stream to the caller.
func (ex *exchange) endStream(rsp proxy.Response) error {
	rn := ex.rn
	if rn.stream == nil {
		if err := ex.startStream(rsp, rn.se.opts.clock.Now()); err != nil {
			return err
		}
	}
	if err := rn.stream.End(); err != nil {
		return refuse.New(refuse.Cancelled, "cannot complete the response to the caller: %v", err).WithOutcome(refuse.Unknown)
	}
	return nil
}
