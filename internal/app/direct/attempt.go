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
	"github.com/balsamwood/balsamwood/internal/port/hop"
)

const (
	// minPatience and maxPatience bound how long a silent upstream is waited
	// for before the request is repeated at another one.
	minPatience = 150 * time.Millisecond
	maxPatience = time.Second
	// serverError is the first status that stands for a failure of the upstream.
	serverError = 500
)

// errSilent means that the upstream has sent nothing for too long.
var errSilent = errors.New("the upstream is silent")

// attempt sends the request to one upstream and passes its answer on. The
// error is a *refuse.Refusal if the request must not be sent again whatever the
// route allows.
func (rn *run) attempt(ctx context.Context, st *place.Station, unread ident.Tokens) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := rn.se.opts.clock.Now()
	if rn.route.Repeatable() && rn.runs+1 < rn.route.Attempts {
		defer rn.watch(st, began, cancel)()
	}
	ex := &exchange{rn: rn, st: st, unread: unread, began: began}
	st.Sent(unread)
	rn.sends++
	defer ex.end()
	an, err := rn.rq.Send(ctx, hop.Attempt{
		Upstream: hop.Upstream{ID: st.ID, Address: st.Address}, Deadline: rn.deadline,
		Account: rn.account.Name, Urgency: rn.urgency(), After: rn.last,
	})
	if err == nil {
		defer an.Close()
		err = ex.pass(ctx, an)
	}
	return ex.judge(ctx, err)
}

// watch cancels the attempt when the upstream has been silent for too long. It
// returns the function that ends the watch.
func (rn *run) watch(st *place.Station, began time.Time, cancel context.CancelCauseFunc) (stop func()) {
	patience := min(max(patienceOf(rn.route), minPatience), maxPatience)
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait := patience
		for {
			tm := time.NewTimer(wait)
			select {
			case <-done:
				tm.Stop()
				return
			case <-tm.C:
			}
			silent := st.Silent(began, rn.se.opts.clock.Now())
			if silent >= patience {
				cancel(errSilent)
				return
			}
			wait = patience - silent
		}
	}()
	return func() { close(done); <-ended }
}

// patienceOf is the pause after which the answer would be late anyway.
func patienceOf(ro intent.Route) time.Duration {
	if ro.Kind == intent.Stream {
		return max(ro.Goal, ro.Pause)
	}
	return 2 * ro.Goal
}

// exchange is one attempt under way.
type exchange struct {
	rn       *run
	st       *place.Station
	unread   ident.Tokens
	began    time.Time
	prompted bool
}

// end takes the attempt out of the upstream's load.
func (ex *exchange) end() {
	ex.prefilled()
	ex.st.Done()
}

func (ex *exchange) prefilled() {
	if !ex.prompted {
		ex.prompted = true
		ex.st.Prefilled(ex.unread)
	}
}

// judge counts what the result of the attempt proves.
func (ex *exchange) judge(ctx context.Context, err error) error {
	rn, now := ex.rn, ex.rn.se.opts.clock.Now()
	var done *refuse.Refusal
	switch {
	case err == nil:
		rn.runs++
		ex.st.Succeeded()
		return nil
	case errors.As(err, &done):
		rn.runs++
		return err
	case errors.Is(err, hop.ErrNotSent):
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), errSilent) {
			ex.st.Failed(now)
		}
		return err
	case errors.Is(err, hop.ErrNotRun):
		ex.st.Full(now)
		return err
	}
	rn.runs++
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		err = fmt.Errorf("%w: %w", hop.ErrBroken, cause)
	} else if cause != nil {
		return err
	}
	ex.st.Failed(now)
	return err
}

// pass hands the answer to the caller.
func (ex *exchange) pass(ctx context.Context, an hop.Answer) error {
	rn := ex.rn
	now := rn.se.opts.clock.Now()
	ex.st.Heard(now)
	if ld, ok := an.Load(); ok {
		ex.st.Reported(ld.Running, ld.Waiting, ld.Slots, now)
	}
	if an.Events() {
		return ex.stream(ctx, an)
	}
	body, err := an.Body(ctx)
	if err != nil {
		return err
	}
	if an.Status() >= serverError && rn.begun {
		return fmt.Errorf("%w: status %d for the rest of the stream", hop.ErrBroken, an.Status())
	}
	if an.Status() >= serverError && rn.mayRepeat() {
		return fmt.Errorf("%w: status %d", hop.ErrBroken, an.Status())
	}
	rn.status = an.Status()
	rn.delivered = rn.status < serverError
	rn.first = rn.se.opts.clock.Now().Sub(rn.ask.Arrived)
	if err := rn.rp.Whole(an, body); err != nil {
		return refuse.New(refuse.Cancelled, "the answer could not be delivered: %v", err).WithOutcome(refuse.Unknown)
	}
	return nil
}

// mayRepeat reports whether a failure that the upstream answered with can be
// replaced by another attempt.
func (rn *run) mayRepeat() bool {
	return rn.route.Repeatable() && rn.runs+1 < rn.route.Attempts && rn.sends < maxSends
}

// stream passes events on as they arrive.
func (ex *exchange) stream(ctx context.Context, an hop.Answer) error {
	rn := ex.rn
	for {
		ev, err := an.Next(ctx)
		if errors.Is(err, io.EOF) {
			return ex.finish(an)
		}
		if err != nil {
			return err
		}
		now := rn.se.opts.clock.Now()
		ex.st.Heard(now)
		ex.prefilled()
		if rn.last >= 0 && ev.Number != rn.last+1 && ev.Number >= 0 {
			if ev.Number <= rn.last {
				continue
			}
			return fmt.Errorf("%w: event %d follows %d", hop.ErrBroken, ev.Number, rn.last)
		}
		if !rn.begun {
			if err := ex.begin(an, now); err != nil {
				return err
			}
		}
		if err := rn.rp.Event(ev); err != nil {
			return refuse.New(refuse.Cancelled, "the event could not be delivered: %v", err).WithOutcome(refuse.Unknown)
		}
		rn.last = ev.Number
		rn.events++
	}
}

// begin starts the caller's stream with the header of the first upstream.
func (ex *exchange) begin(an hop.Answer, now time.Time) error {
	rn := ex.rn
	rn.begun, rn.delivered, rn.status = true, true, an.Status()
	rn.first = now.Sub(rn.ask.Arrived)
	rn.se.opts.meter.Observe("firstEvent", "route", rn.route.Name, rn.first)
	rn.se.engines.Read(ex.st, rn.demand.Prompt, now)
	if err := rn.rp.Begin(an); err != nil {
		return refuse.New(refuse.Cancelled, "the answer could not be delivered: %v", err).WithOutcome(refuse.Unknown)
	}
	return nil
}

// finish completes the stream.
func (ex *exchange) finish(an hop.Answer) error {
	rn := ex.rn
	if !rn.begun {
		if err := ex.begin(an, rn.se.opts.clock.Now()); err != nil {
			return err
		}
	}
	if err := rn.rp.End(); err != nil {
		return refuse.New(refuse.Cancelled, "the answer could not be completed: %v", err).WithOutcome(refuse.Unknown)
	}
	return nil
}
