package route

import (
	"math/rand/v2"
	"time"
)

const (
	// sampleCount is the number of random candidates that are compared. Two
	// candidates remove most of the imbalance of a single random choice, and
	// random choices keep routers with the same reports from all choosing the same
	// upstream.
	sampleCount = 2
	// maxDraws bounds the random draws per decision before it falls back to a
	// scan, which happens only when most candidates are unusable.
	maxDraws = 8
)

type expectedFinish[C any] struct {
	traits Traits[C]
	rng    *rand.Rand
}

// choice is the best candidate so far.
type choice[C any] struct {
	at     int
	ca     C
	fit    Fit
	finish time.Time
}

// Name returns ExpectedFinish.
func (ef expectedFinish[C]) Name() Name { return ExpectedFinish }

// Choose compares the hinted candidate and two random ones.
func (ef expectedFinish[C]) Choose(po Pool[C], de Demand, now time.Time) (C, bool) {
	best := choice[C]{at: -1}
	if len(po.Items) == 0 {
		return best.ca, false
	}
	if po.Hint >= 0 {
		best, _ = ef.betterOf(best, po, po.Hint, de, now)
	}
	preferred := 0
	for draw := 0; draw < maxDraws && preferred < sampleCount; draw++ {
		var fit Fit
		if best, fit = ef.betterOf(best, po, ef.rng.IntN(len(po.Items)), de, now); fit == Preferred {
			preferred++
		}
	}
	if best.fit == Preferred {
		return best.ca, true
	}
	return firstFrom(ef.traits, po, ef.rng.IntN(len(po.Items)), de, now)
}

// betterOf returns the better of best and the candidate at the position, together
// with the fit of that candidate.
func (ef expectedFinish[C]) betterOf(best choice[C], po Pool[C], at int, de Demand, now time.Time) (choice[C], Fit) {
	ca := po.Items[at]
	if at == best.at {
		return best, best.fit
	}
	fit := ef.traits.Fit(ca, de, now)
	if fit == Unfit || fit < best.fit {
		return best, fit
	}
	finish := ef.traits.Finish(ca, de, now)
	if fit > best.fit || finish.Before(best.finish) {
		return choice[C]{at: at, ca: ca, fit: fit, finish: finish}, fit
	}
	return best, fit
}
