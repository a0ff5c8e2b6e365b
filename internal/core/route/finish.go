package route

import (
	"math/rand/v2"
	"time"
)

const (
	// samples is the number of random candidates that are compared. Two remove
	// most of the imbalance of one random choice and keep routers that see the
	// same reports from all choosing the same upstream.
	samples = 2
	// maxDraws bounds the random draws per decision before it falls back to a
	// scan, which only happens when most candidates are unusable.
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
		best, _ = ef.better(best, po, po.Hint, de, now)
	}
	preferred := 0
	for draw := 0; draw < maxDraws && preferred < samples; draw++ {
		var fit Fit
		if best, fit = ef.better(best, po, ef.rng.IntN(len(po.Items)), de, now); fit == Preferred {
			preferred++
		}
	}
	if best.fit == Preferred {
		return best.ca, true
	}
	return firstFrom(ef.traits, po, ef.rng.IntN(len(po.Items)), de, now)
}

// better returns the better of best and the candidate at a position, together
// with the fit of the latter.
func (ef expectedFinish[C]) better(best choice[C], po Pool[C], at int, de Demand, now time.Time) (choice[C], Fit) {
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
