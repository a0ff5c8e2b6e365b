package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// race selects the one of several concurrent attempts whose response the caller
// gets. A nil race has one attempt.
type race struct{ winner atomic.Pointer[attempt] }

// claim reports whether the attempt wins the race. The first one to call it does.
func (ra *race) claim(at *attempt) bool {
	return ra == nil || ra.winner.CompareAndSwap(nil, at) || ra.winner.Load() == at
}

// lost reports whether another attempt has won the race.
func (ra *race) lost(at *attempt) bool {
	if ra == nil {
		return false
	}
	winner := ra.winner.Load()
	return winner != nil && winner != at
}

// attemptEnd says how an attempt of a race ended. rf is nil after a complete
// response.
type attemptEnd struct {
	at *attempt
	rf *refuse.Refusal
}

// runHedged runs an attempt and starts a second one at hedgeAt. The first
// attempt to respond wins; the other one is cancelled and ends in the background
// without a charge.
func (ru *run) runHedged(ctx context.Context, ta Target, hedgeAt time.Time) (*attempt, *refuse.Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ra, ends := &race{}, make(chan attemptEnd, 2)
	start := func(ta Target) {
		at := ru.attempt(ta, ra)
		ru.sv.wg.Go(func() { ends <- attemptEnd{at, at.run(ctx)} })
	}
	start(ta)
	ti := time.NewTimer(hedgeAt.Sub(ru.sv.clk.Now()))
	defer ti.Stop()
	for running := 1; ; {
		select {
		case ae := <-ends:
			running--
			if ae.rf != nil {
				ru.recordUnknown(ae.rf)
			}
			// An attempt that failed after its first chunk ends the race.
			if ae.rf == nil || ae.at.emitted || running == 0 {
				return ae.at, ae.rf
			}
		case <-ti.C:
			if second, ok := ru.placeHedge(ctx, ra); ok {
				running++
				start(second)
			}
		}
	}
}

// placeHedge places the second attempt if the policy allows it and an upstream
// has capacity.
func (ru *run) placeHedge(ctx context.Context, ra *race) (Target, bool) {
	sv := ru.sv
	if ctx.Err() != nil || ra.winner.Load() != nil {
		return Target{}, false
	}
	ta, err := sv.gate.Place(ctx, ru.rq, Placement{Reason: Hedge, Tried: ru.tried})
	if err != nil {
		return Target{}, false
	}
	if !sv.hedges.Take(ru.rq, ru.number, sv.clk.Now()) {
		ta.Done(AttemptResult{})
		return Target{}, false
	}
	sv.met.Count("hedges", "service", string(ru.rq.Service), 1)
	return ta, true
}
