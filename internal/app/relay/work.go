package relay

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/frame"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// work runs in the worker goroutine: it claims the key of a non-idempotent
// call, runs the call and stores its outcome.
func (rn *run) work() {
	defer rn.sv.workers.leave()
	defer rn.cancel(nil)
	ctx, stop := rn.withDeadline()
	defer stop()
	if !rn.di.Idempotent && !rn.acquireClaim(ctx) {
		rn.persist()
		return
	}
	close(rn.decided)
	res, err := rn.sv.engine.Run(ctx, rn.call(), func(ch engine.Chunk) error { return rn.emit(ctx, ch) })
	rn.finish(ctx, res, err)
	rn.persist()
}

// withDeadline returns the context of the call, which ends at the call's
// deadline, if it has one.
func (rn *run) withDeadline() (context.Context, context.CancelFunc) {
	if rn.di.Call.Deadline.IsZero() {
		return context.WithCancel(rn.ctx)
	}
	left := rn.di.Call.Deadline.Sub(rn.sv.clk.Now())
	return context.WithTimeoutCause(rn.ctx, left, refuse.New(refuse.TimedOut, "the call did not end before its deadline %s", rn.di.Call.Deadline))
}

// call returns the call for the upstream, with the request's identifier.
func (rn *run) call() engine.Call {
	ca := rn.di.Call
	ca.Request = rn.di.Request
	return ca
}

// emit meters a chunk and appends it to the buffer. It waits while the buffer
// is full. After an error it returns the same error for all further chunks.
func (rn *run) emit(ctx context.Context, ch engine.Chunk) error {
	if rn.failure == nil {
		rn.failure = rn.append(ctx, ch)
	}
	return rn.failure
}

// append does the work of emit for one chunk.
func (rn *run) append(ctx context.Context, ch engine.Chunk) error {
	if rn.promptReservation()+rn.metered+ch.Tokens > rn.di.Reserved {
		return refuse.New(refuse.OverBudget, "the response exceeds the reserved %d tokens", rn.di.Reserved).WithOutcome(refuse.Unknown)
	}
	rn.metered += ch.Tokens
	rn.collectBody(ch.Data)
	for {
		wait, err := rn.tryAppend(ch)
		if !errors.Is(err, frame.ErrFull) {
			return err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// tryAppend appends a chunk to the buffer. If the buffer is full, the caller
// waits for the returned channel before it tries again.
func (rn *run) tryAppend(ch engine.Chunk) (<-chan struct{}, error) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	_, err := rn.buf.Append(ch, len(ch.Data))
	if errors.Is(err, frame.ErrFull) && rn.dropLaggingReaders() {
		_, err = rn.buf.Append(ch, len(ch.Data))
	}
	if err == nil {
		if !rn.hasReaders() {
			rn.advanceBuffer()
		}
		rn.notify()
	}
	return rn.changed, err
}

// promptReservation returns the part of the reservation that covers the prompt.
// The prompt is metered only at the end of a call.
func (rn *run) promptReservation() ident.Tokens {
	if rn.di.Call.MaxTokens <= 0 {
		return 0
	}
	return max(0, rn.di.Reserved-rn.di.Call.MaxTokens)
}

// collectBody appends to the response body of a non-idempotent call that is
// stored with its outcome.
func (rn *run) collectBody(data []byte) {
	if rn.di.Idempotent || rn.truncated {
		return
	}
	if len(rn.body)+len(data) > rn.sv.maxOutcomeBytes {
		rn.truncated = true
		return
	}
	rn.body = append(rn.body, data...)
}

// finish records how the call ended and charges its usage. The first run with a
// key is charged in full; a later one only for what exceeds the credit.
func (rn *run) finish(ctx context.Context, res engine.Result, err error) {
	if err == nil {
		err = rn.failure
	}
	ev := peer.Event{Kind: peer.Final, Result: res}
	proven := rn.provenNotRun(err)
	switch {
	case proven:
		ev = peer.Event{Kind: peer.Refused, Refusal: refuse.From(err)}
	case err != nil:
		ev = peer.Event{Kind: peer.Failed, Result: res, Refusal: rn.failureRefusal(ctx, err)}
	}
	if ev.Refusal != nil {
		rn.sv.countRefusal(ev.Refusal)
	}
	used := ident.Tokens(0)
	if !proven {
		used = rn.used(res.Usage)
	}
	ev.Charged = max(0, used-rn.credit)
	rn.sv.incarnations.addUsage(rn.di.Router, ident.BudgetRef{Account: rn.di.Account, Budget: rn.di.Budget}, ev.Charged)
	rn.sv.endCall(rn.di)
	if !rn.di.Idempotent {
		rn.recordOutcome(ev)
	}
	rn.complete(ev, max(rn.credit, used))
}

// provenNotRun reports whether the error proves that the call did not run.
func (rn *run) provenNotRun(err error) bool {
	var rf *refuse.Refusal
	return errors.As(err, &rf) && rf.Outcome == refuse.NotRun && rn.metered == 0 && rn.failure == nil && rn.noOutput()
}

// noOutput reports whether no chunk was appended to the buffer.
func (rn *run) noOutput() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.buf.Last() == 0
}

// failureRefusal returns the refusal for a call that ended with an error and may
// have run.
func (rn *run) failureRefusal(ctx context.Context, err error) *refuse.Refusal {
	var rf *refuse.Refusal
	cause := context.Cause(ctx)
	switch {
	case errors.As(rn.failure, &rf):
	case errors.As(cause, &rf):
	case cause != nil:
		rf = refuse.New(refuse.Internal, "the sidecar stopped")
	case !errors.As(err, &rf):
		rf = refuse.New(refuse.UpstreamFailed, "%v", err)
	}
	out := rn.sv.unknownOutcome(rn.di, rf.Reason, "%s", rf.Detail)
	out.RetryAt = rf.RetryAt
	return out
}

// used returns the usage of the call, which is capped at the reservation. A
// call of a plain service has a fixed price, which equals the reservation.
func (rn *run) used(us engine.Usage) ident.Tokens {
	if rn.sv.upstream.Kind == config.Plain {
		return rn.di.Reserved
	}
	used := max(us.Total(), rn.metered)
	if used > rn.di.Reserved {
		rn.sv.mtr.Count("usageAboveReserved", "", "", int64(used-rn.di.Reserved))
	}
	return min(used, rn.di.Reserved)
}

// complete publishes the last event and schedules the removal of the run after
// its retention.
func (rn *run) complete(ev peer.Event, total ident.Tokens) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	ev.Seq = rn.buf.Last()
	rn.endEvent, rn.total, rn.stopping = &ev, total, false
	close(rn.ended)
	rn.notify()
	rn.leaveDrain()
	now := rn.sv.clk.Now()
	expiry := now.Add(rn.sv.retention)
	rn.sv.scheduler.add(expiry, rn.discard)
	if until := rn.di.Call.Deadline.Add(rn.sv.retention); until.After(expiry) {
		expiry = until
	}
	rn.sv.scheduler.add(expiry, rn.unregister)
}
