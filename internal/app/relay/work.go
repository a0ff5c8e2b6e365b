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

// work decides whether the call may run, runs it and stores its outcome.
func (rn *run) work() {
	defer rn.sv.life.leave()
	defer rn.cancel(nil)
	ctx, stop := rn.bounded()
	defer stop()
	if !rn.di.Idempotent && !rn.acquire(ctx) {
		rn.persist()
		return
	}
	close(rn.decided)
	res, err := rn.sv.engine.Run(ctx, rn.call(), func(ch engine.Chunk) error { return rn.emit(ctx, ch) })
	rn.finish(ctx, res, err)
	rn.persist()
}

// bounded returns the context of the call, which ends at the deadline.
func (rn *run) bounded() (context.Context, context.CancelFunc) {
	if rn.di.Call.Deadline.IsZero() {
		return context.WithCancel(rn.ctx)
	}
	left := rn.di.Call.Deadline.Sub(rn.sv.clk.Now())
	return context.WithTimeoutCause(rn.ctx, left, refuse.New(refuse.TimedOut, "deadline %s", rn.di.Call.Deadline))
}

func (rn *run) call() engine.Call {
	ca := rn.di.Call
	ca.Request = rn.di.Request
	return ca
}

// emit meters a chunk and stores it, and waits while the buffer is full.
func (rn *run) emit(ctx context.Context, ch engine.Chunk) error {
	if rn.failure == nil {
		rn.failure = rn.append(ctx, ch)
	}
	return rn.failure
}

func (rn *run) append(ctx context.Context, ch engine.Chunk) error {
	if rn.prompt()+rn.metered+ch.Tokens > rn.di.Reserved {
		return refuse.New(refuse.OverBudget, "the answer exceeds the reserved %d tokens", rn.di.Reserved).WithOutcome(refuse.Unknown)
	}
	rn.metered += ch.Tokens
	rn.collect(ch.Data)
	for {
		wait, err := rn.keep(ch)
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

// keep stores a chunk. When the buffer is full, it returns what to wait for.
func (rn *run) keep(ch engine.Chunk) (<-chan struct{}, error) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	_, err := rn.buf.Append(ch, len(ch.Data))
	if errors.Is(err, frame.ErrFull) && rn.outrun() {
		_, err = rn.buf.Append(ch, len(ch.Data))
	}
	if err == nil {
		if !rn.attended() {
			rn.advance()
		}
		rn.notify()
	}
	return rn.changed, err
}

// prompt returns the part of the reservation that covers the prompt. The
// prompt is metered only at the end of a call.
func (rn *run) prompt() ident.Tokens {
	if rn.di.Call.MaxTokens <= 0 {
		return 0
	}
	return max(0, rn.di.Reserved-rn.di.Call.MaxTokens)
}

// collect keeps the body of a non-idempotent call for its outcome.
func (rn *run) collect(data []byte) {
	if rn.di.Idempotent || rn.cut {
		return
	}
	if len(rn.body)+len(data) > rn.sv.rowBytes {
		rn.cut = true
		return
	}
	rn.body = append(rn.body, data...)
}

// finish records how the call ended and what it used.
func (rn *run) finish(ctx context.Context, res engine.Result, err error) {
	if err == nil {
		err = rn.failure
	}
	ev := peer.Event{Kind: peer.Final, Result: res}
	proven := rn.proven(err)
	switch {
	case proven:
		ev = peer.Event{Kind: peer.Refused, Refusal: refuse.From(err)}
	case err != nil:
		ev = peer.Event{Kind: peer.Failed, Result: res, Refusal: rn.explain(ctx, err)}
	}
	if ev.Refusal != nil {
		rn.sv.refused(ev.Refusal)
	}
	used := ident.Tokens(0)
	if !proven {
		used = rn.used(res.Usage)
	}
	ev.Charged = max(0, used-rn.credit)
	rn.sv.books.add(rn.di.Router, ident.BudgetRef{Account: rn.di.Account, Budget: rn.di.Budget}, ev.Charged)
	rn.sv.release(rn.di)
	if !rn.di.Idempotent {
		rn.conclude(ev)
	}
	rn.complete(ev, max(rn.credit, used))
}

// proven reports whether the error proves that the call did not run.
func (rn *run) proven(err error) bool {
	var rf *refuse.Refusal
	return errors.As(err, &rf) && rf.Outcome == refuse.NotRun && rn.metered == 0 && rn.failure == nil && rn.empty()
}

func (rn *run) empty() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.buf.Last() == 0
}

// explain returns why a call ended that may have run.
func (rn *run) explain(ctx context.Context, err error) *refuse.Refusal {
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
	out := rn.sv.unknown(rn.di, rf.Reason, "%s", rf.Detail)
	out.RetryAt = rf.RetryAt
	return out
}

// used returns the metered consumption, which never exceeds the reservation. A
// call of a plain service has a fixed price, which is what was reserved.
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

// complete publishes the last event and schedules the end of the retention.
func (rn *run) complete(ev peer.Event, total ident.Tokens) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	ev.Seq = rn.buf.Last()
	rn.end, rn.total, rn.stopping = &ev, total, false
	close(rn.over)
	rn.notify()
	rn.settle()
	now := rn.sv.clk.Now()
	keep := now.Add(rn.sv.retention)
	rn.sv.agenda.add(keep, rn.discard)
	if until := rn.di.Call.Deadline.Add(rn.sv.retention); until.After(keep) {
		keep = until
	}
	rn.sv.agenda.add(keep, rn.forget)
}
