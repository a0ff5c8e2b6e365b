package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
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
	// minServerError is the lowest status that reports a failure of the upstream.
	minServerError = 500
)

// errSilent means that the upstream has sent nothing for the silence timeout.
var errSilent = errors.New("the upstream is silent")

// attempt sends the request to one upstream and forwards the response. The error
// is a *refuse.Refusal if the request must not be retried even if the route
// allows it.
func (rn *run) attempt(ctx context.Context, ep *place.Endpoint, uncached ident.Tokens) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := rn.se.opts.clock.Now()
	if rn.route.Repeatable() && rn.runs+1 < rn.route.AttemptLimit {
		defer rn.watchSilence(ep, rn.silenceTimeout(ep, uncached), start, cancel)()
	}
	ex := &exchange{rn: rn, ep: ep, sent: ep.Sent(uncached, rn.demand.Prompt.Unshared(), start)}
	rn.sends++
	defer func() { ex.sent.Done(rn.se.opts.clock.Now(), ex.complete) }()
	rsp, err := rn.sender.Send(ctx, proxy.Attempt{
		Upstream: proxy.Upstream{ID: ep.ID, Address: ep.Address}, Deadline: rn.deadline,
		Account: rn.account.Name, Urgency: rn.urgency(), LastEvent: rn.lastEvent,
	})
	if err == nil {
		defer rsp.Close()
		err = ex.forward(ctx, rsp)
	}
	return ex.classify(ctx, err)
}

// silenceTimeout returns the time without data after which the request is retried
// at another upstream. An engine that prefills a long prompt sends nothing either,
// and giving it up repeats the work elsewhere when load is at its worst.
func (rn *run) silenceTimeout(ep *place.Endpoint, uncached ident.Tokens) time.Duration {
	timeout := min(max(silenceTimeoutOf(rn.route), minSilenceTimeout), maxSilenceTimeout)
	return timeout + prefillAllowance*ep.PrefillTime(uncached)
}

// watchSilence starts a goroutine that cancels the attempt when the upstream has
// been silent for the timeout. stop ends the goroutine.
func (rn *run) watchSilence(ep *place.Endpoint, timeout time.Duration, start time.Time, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait := timeout
		for {
			tm := time.NewTimer(wait)
			select {
			case <-done:
				tm.Stop()
				return
			case <-tm.C:
			}
			silent := ep.SilentFor(start, rn.se.opts.clock.Now())
			if silent >= timeout {
				cancel(errSilent)
				return
			}
			wait = timeout - silent
		}
	}()
	return func() { close(done); <-ended }
}

// silenceTimeoutOf returns the duration of silence after which the response
// would be late in any case.
func silenceTimeoutOf(ro intent.Route) time.Duration {
	if ro.Kind == intent.Stream {
		return max(ro.LatencyGoal, ro.MaxEventGap)
	}
	return 2 * ro.LatencyGoal
}

// exchange is an attempt in progress.
type exchange struct {
	rn   *run
	ep   *place.Endpoint
	sent *place.Sent
	// complete says that the upstream sent a complete response.
	complete bool
	// began says that an event arrived.
	began bool
}

// classify records what the result of the attempt proves about the request and
// about the endpoint, and returns the error for the retry decision.
func (ex *exchange) classify(ctx context.Context, err error) error {
	rn, now := ex.rn, ex.rn.se.opts.clock.Now()
	var final *refuse.Refusal
	switch {
	case err == nil:
		rn.runs++
		ex.complete = true
		ex.ep.Succeeded()
		if ex.began {
			rn.se.opts.guard.Served(rn.parts)
		}
		return nil
	case errors.As(err, &final):
		rn.runs++
		return err
	case errors.Is(err, proxy.ErrNotSent):
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), errSilent) {
			ex.ep.Failed(now)
		}
		return err
	case errors.Is(err, proxy.ErrNotRun):
		ex.ep.RefusedFull(now)
		return err
	}
	rn.runs++
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		err = fmt.Errorf("%w: %w", proxy.ErrIncomplete, cause)
	} else if cause != nil {
		return err
	}
	ex.ep.Failed(now)
	if !ex.began && len(rn.parts) > 0 {
		rn.se.opts.guard.Ended(proxy.Upstream{ID: ex.ep.ID, Address: ex.ep.Address}, rn.parts)
	}
	return err
}

// forward passes the response to the caller.
func (ex *exchange) forward(ctx context.Context, rsp proxy.Response) error {
	rn := ex.rn
	now := rn.se.opts.clock.Now()
	ex.ep.Received(now)
	if ld, ok := rsp.Load(); ok {
		ex.ep.Reported(ld.Running, ld.Waiting, ld.Slots, now)
	}
	if rsp.IsStream() {
		return ex.forwardEvents(ctx, rsp)
	}
	body, err := rsp.Body(ctx)
	if err != nil {
		return err
	}
	if rsp.Status() >= minServerError && rn.started {
		return fmt.Errorf("%w: status %d for the rest of the stream", proxy.ErrIncomplete, rsp.Status())
	}
	if rsp.Status() >= minServerError && rn.canRetry() {
		return fmt.Errorf("%w: status %d", proxy.ErrIncomplete, rsp.Status())
	}
	rn.status = rsp.Status()
	rn.delivered = rn.status < minServerError
	rn.timeToFirst = rn.se.opts.clock.Now().Sub(rn.info.Arrived)
	if err := rn.writer.WriteResponse(rsp, body); err != nil {
		return refuse.New(refuse.Cancelled, "cannot write the response to the caller: %v", err).WithOutcome(refuse.Unknown)
	}
	return nil
}

// canRetry reports whether the request can be retried instead of passing an error
// response of the upstream to the caller.
func (rn *run) canRetry() bool {
	return rn.route.Repeatable() && rn.runs+1 < rn.route.AttemptLimit && rn.sends < maxSends
}

// forwardEvents passes the events of a stream to the caller as they arrive.
// Events that the caller already has are skipped, and a missing event ends the
// attempt.
func (ex *exchange) forwardEvents(ctx context.Context, rsp proxy.Response) error {
	rn := ex.rn
	for {
		ev, err := rsp.NextEvent(ctx)
		if errors.Is(err, io.EOF) {
			return ex.endStream(rsp)
		}
		if err != nil {
			return err
		}
		now := rn.se.opts.clock.Now()
		ex.ep.Received(now)
		ex.sent.FirstEvent(now)
		ex.began = true
		if rn.lastEvent >= 0 && ev.Number != rn.lastEvent+1 && ev.Number >= 0 {
			if ev.Number <= rn.lastEvent {
				continue
			}
			return fmt.Errorf("%w: event %d follows %d", proxy.ErrIncomplete, ev.Number, rn.lastEvent)
		}
		if !rn.started {
			if err := ex.startStream(rsp, now); err != nil {
				return err
			}
		}
		if err := rn.writer.WriteEvent(ev); err != nil {
			return refuse.New(refuse.Cancelled, "cannot write an event to the caller: %v", err).WithOutcome(refuse.Unknown)
		}
		// An event without a number, such as a comment, is no point to resume from.
		rn.lastEvent = max(rn.lastEvent, ev.Number)
		rn.eventsSent++
	}
}

// startStream starts the stream to the caller with the header of the response. A
// stream that is resumed at another upstream keeps the first header.
func (ex *exchange) startStream(rsp proxy.Response, now time.Time) error {
	rn := ex.rn
	rn.started, rn.delivered, rn.status = true, true, rsp.Status()
	rn.timeToFirst = now.Sub(rn.info.Arrived)
	rn.se.opts.meter.Observe("firstEvent", "route", rn.route.Name, rn.timeToFirst)
	rn.se.engines.RecordPrompt(ex.ep, rn.demand.Prompt, now)
	if err := rn.writer.StartStream(rsp); err != nil {
		return refuse.New(refuse.Cancelled, "cannot write the response header to the caller: %v", err).WithOutcome(refuse.Unknown)
	}
	return nil
}

// endStream completes the stream to the caller.
func (ex *exchange) endStream(rsp proxy.Response) error {
	rn := ex.rn
	if !rn.started {
		if err := ex.startStream(rsp, rn.se.opts.clock.Now()); err != nil {
			return err
		}
	}
	if err := rn.writer.EndStream(); err != nil {
		return refuse.New(refuse.Cancelled, "cannot complete the response to the caller: %v", err).WithOutcome(refuse.Unknown)
	}
	return nil
}
