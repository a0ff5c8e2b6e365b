package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// race lets one of several attempts answer. A nil race has one attempt.
type race struct{ winner atomic.Pointer[attempt] }

// claim reports whether the attempt may answer.
func (ra *race) claim(at *attempt) bool {
	return ra == nil || ra.winner.CompareAndSwap(nil, at) || ra.winner.Load() == at
}

// lost reports whether another attempt answers.
func (ra *race) lost(at *attempt) bool {
	if ra == nil {
		return false
	}
	won := ra.winner.Load()
	return won != nil && won != at
}

// end is how an attempt of a race ended.
type end struct {
	at *attempt
	rf *refuse.Refusal
}

// hedged runs an attempt and starts a second one at hedgeAt. The first answer
// counts; the other attempt is cancelled and ends in the background, without a
// charge.
func (ru *run) hedged(ctx context.Context, ta Target, hedgeAt time.Time) (*attempt, *refuse.Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ra, ends := &race{}, make(chan end, 2)
	start := func(ta Target) {
		at := ru.attempt(ta, ra)
		ru.sv.wg.Go(func() { ends <- end{at, at.run(ctx)} })
	}
	start(ta)
	ti := time.NewTimer(hedgeAt.Sub(ru.sv.clk.Now()))
	defer ti.Stop()
	for running := 1; ; {
		select {
		case en := <-ends:
			running--
			if en.rf != nil {
				ru.note(en.rf)
			}
			// An attempt that failed in the middle of its answer ends the race.
			if en.rf == nil || en.at.emitted || running == 0 {
				return en.at, en.rf
			}
		case <-ti.C:
			if second, ok := ru.hedge(ctx, ra); ok {
				running++
				start(second)
			}
		}
	}
}

// hedge places the second attempt if that is allowed.
func (ru *run) hedge(ctx context.Context, ra *race) (Target, bool) {
	sv := ru.sv
	if ctx.Err() != nil || ra.winner.Load() != nil {
		return Target{}, false
	}
	ta, err := sv.gate.Place(ctx, ru.rq, Placing{Turn: Hedge, Tried: ru.tried})
	if err != nil {
		return Target{}, false
	}
	if !sv.hedges.Take(ru.rq, ru.number, sv.clk.Now()) {
		ta.Done(Verdict{})
		return Target{}, false
	}
	sv.met.Count("hedges", "service", string(ru.rq.Service), 1)
	return ta, true
}
