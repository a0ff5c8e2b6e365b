package front

import (
	"context"
	"log/slog"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/core/route"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// requeueDelay is the wait before a request that no upstream accepted is queued
// again. It limits the rate of calls to an upstream that refuses all requests.
const requeueDelay = 200 * time.Millisecond

// run is the state of one admitted request. All its attempts share one hold,
// because only one of them is charged.
type run struct {
	sv   *Service
	rq   Request
	ho   Hold
	emit func(engine.Chunk) error

	// number is the number of the last attempt, counted from 1.
	number int
	tried  route.Tried
	// firstUnknown is the first failure with the outcome unknown, or nil.
	firstUnknown *refuse.Refusal
}

// runAttempts makes attempts until one succeeds or no other one is allowed.
func (ru *run) runAttempts(ctx context.Context, ta Target) (Response, error) {
	sv := ru.sv
	sv.retries.RecordFirst()
	for {
		at, rf := ru.runWithHedge(ctx, ta)
		if rf == nil {
			return at.response(), nil
		}
		next, ok := Target{}, false
		if ctx.Err() == nil {
			next, ok = ru.placeNext(ctx, at, rf)
		}
		if !ok {
			return at.response(), finalRefusal(ru.firstUnknown, sv.settleFailed(ctx, at, rf))
		}
		ru.recordUnknown(rf)
		ta = next
	}
}

// recordUnknown remembers the first failure after which the call may have run.
func (ru *run) recordUnknown(rf *refuse.Refusal) {
	if ru.firstUnknown == nil && rf.Outcome == refuse.Unknown {
		ru.firstUnknown = rf
	}
}

// placeNext places the attempt that follows a failed one. When the retries are
// used up, a request that did not run is queued again until an upstream accepts
// it.
func (ru *run) placeNext(ctx context.Context, at *attempt, rf *refuse.Refusal) (Target, bool) {
	sv := ru.sv
	now := sv.clk.Now()
	de := sv.retries.Next(at.failure(rf), now)
	pl := Placement{Reason: Retry, Tried: ru.tried}
	switch {
	case de.Action != retry.Stop:
		sv.met.Count("retries", "reason", string(rf.Reason), 1)
		sv.met.Log(evRetried, slog.String("request", string(ru.rq.ID)),
			slog.String("upstream", string(at.target.Upstream.ID)), slog.String("reason", string(rf.Reason)))
	case rf.Outcome == refuse.NotRun && (de.Code == retry.Attempts || de.Code == retry.NoBudget):
		sv.met.Count("returns", "reason", string(rf.Reason), 1)
		// Upstreams that were tried before may have capacity after the wait.
		pl = Placement{Reason: Requeue}
		ru.tried = route.Tried{}
		de.At = now.Add(requeueDelay)
	default:
		return Target{}, false
	}
	ctx, cancel := context.WithDeadline(ctx, ru.rq.Deadline)
	defer cancel()
	if !sv.sleepUntil(ctx, de.At) {
		return Target{}, false
	}
	ta, err := sv.gate.Place(ctx, ru.rq, pl)
	return ta, err == nil
}

// attempt returns the next attempt, which goes to the target. A nil race means
// that no other attempt runs beside it.
func (ru *run) attempt(ta Target, ra *race) *attempt {
	ru.number++
	ru.tried = ru.tried.With(ta.Upstream.ID, ta.Upstream.Domain)
	return &attempt{sv: ru.sv, rq: ru.rq, ho: ru.ho, emit: ru.emit, number: ru.number, target: ta, race: ra}
}

// runWithHedge runs an attempt. If it is a lookup that is slower than usual, a
// second attempt runs beside it.
func (ru *run) runWithHedge(ctx context.Context, ta Target) (*attempt, *refuse.Refusal) {
	hedgeAt, ok := ru.sv.hedges.HedgeAt(ru.rq, ru.sv.clk.Now())
	if !ok {
		at := ru.attempt(ta, nil)
		return at, at.run(ctx)
	}
	return ru.runHedged(ctx, ta, hedgeAt)
}
