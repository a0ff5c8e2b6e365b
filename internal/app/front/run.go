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

// returnPause is the wait before a request that no upstream took is queued
// again, so that an upstream which refuses all work is not asked all the time.
const returnPause = 200 * time.Millisecond

// run is the sequence of attempts at one admitted request. All attempts share
// one hold, because only one of them is charged.
type run struct {
	sv   *Service
	rq   Request
	ho   Hold
	emit func(engine.Chunk) error

	number int
	tried  route.Tried
	// lost is why an earlier attempt may have run, or nil.
	lost *refuse.Refusal
}

// attempts goes on until one attempt is answered or no other one is allowed.
func (ru *run) attempts(ctx context.Context, ta Target) (Answer, error) {
	sv := ru.sv
	sv.retries.First()
	for {
		at, rf := ru.round(ctx, ta)
		if rf == nil {
			return at.answer(), nil
		}
		next, ok := Target{}, false
		if ctx.Err() == nil {
			next, ok = ru.next(ctx, at, rf)
		}
		if !ok {
			return at.answer(), afterLost(ru.lost, sv.conclude(ctx, at, rf))
		}
		ru.note(rf)
		ta = next
	}
}

// note remembers the first failure after which the call may have run.
func (ru *run) note(rf *refuse.Refusal) {
	if ru.lost == nil && rf.Outcome == refuse.Unknown {
		ru.lost = rf
	}
}

// next places the attempt that follows a failed one. When the retries are used
// up, a request that did not run waits for an upstream that takes it.
func (ru *run) next(ctx context.Context, at *attempt, rf *refuse.Refusal) (Target, bool) {
	sv := ru.sv
	now := sv.clk.Now()
	de := sv.retries.Next(at.failure(rf), now)
	pl := Placing{Turn: Again, Tried: ru.tried}
	switch {
	case de.Action != retry.Stop:
		sv.met.Count("retries", "reason", string(rf.Reason), 1)
		sv.met.Log(evRetried, slog.String("request", string(ru.rq.ID)),
			slog.String("upstream", string(at.target.Upstream.ID)), slog.String("reason", string(rf.Reason)))
	case rf.Outcome == refuse.NotRun && (de.Code == retry.Attempts || de.Code == retry.NoBudget):
		sv.met.Count("returns", "reason", string(rf.Reason), 1)
		// What was tried before may be usable again after the wait.
		pl = Placing{Turn: Return}
		ru.tried = route.Tried{}
		de.At = now.Add(returnPause)
	default:
		return Target{}, false
	}
	ctx, cancel := context.WithDeadline(ctx, ru.rq.Deadline)
	defer cancel()
	if !sv.wait(ctx, de.At) {
		return Target{}, false
	}
	ta, err := sv.gate.Place(ctx, ru.rq, pl)
	return ta, err == nil
}

// attempt returns the next attempt, at the target.
func (ru *run) attempt(ta Target, ra *race) *attempt {
	ru.number++
	ru.tried = ru.tried.With(ta.Upstream.ID, ta.Upstream.Domain)
	return &attempt{sv: ru.sv, rq: ru.rq, ho: ru.ho, emit: ru.emit, number: ru.number, target: ta, race: ra}
}

// round runs an attempt, and a second one beside it if the first is a lookup
// that is slower than usual.
func (ru *run) round(ctx context.Context, ta Target) (*attempt, *refuse.Refusal) {
	hedgeAt, ok := ru.sv.hedges.At(ru.rq, ru.sv.clk.Now())
	if !ok {
		at := ru.attempt(ta, nil)
		return at, at.run(ctx)
	}
	return ru.hedged(ctx, ta, hedgeAt)
}
