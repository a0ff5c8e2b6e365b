package route

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Name names a policy.
type Name string

const (
	// RoundRobin takes the upstreams in turn.
	RoundRobin Name = "roundRobin"
	// LeastLoaded takes the upstream with the lowest load of all.
	LeastLoaded Name = "leastLoaded"
	// ExpectedFinish takes the earliest expected finish of two random
	// candidates and the hinted one.
	ExpectedFinish Name = "expectedFinish"
)

// Names returns the names of all policies.
func Names() []Name { return []Name{RoundRobin, LeastLoaded, ExpectedFinish} }

// Pool is what a policy chooses from.
type Pool[C any] struct {
	Items []C
	// Hint is the position of the hinted candidate, or -1.
	Hint int
}

// Policy chooses a candidate. Choose may be called from several goroutines. It
// reports false when no candidate is usable.
type Policy[C any] interface {
	Name() Name
	Choose(po Pool[C], de Demand, now time.Time) (C, bool)
}

// Fit says how well a candidate suits a demand apart from its load.
type Fit int

const (
	// Unfit candidates must not be chosen.
	Unfit Fit = iota
	// Fallback candidates are chosen when no preferred one is found.
	Fallback
	// Preferred candidates have no objection.
	Preferred
)

// Traits tells policies about candidates of type C. All functions must be safe
// for concurrent use.
type Traits[C any] struct {
	Fit    func(ca C, de Demand, now time.Time) Fit
	Load   func(ca C) float64
	Finish func(ca C, de Demand, now time.Time) time.Time
}

// New returns the policy with the given name. The random number generator is
// used by several goroutines when Choose is; see NewRand.
func New[C any](name Name, tr Traits[C], rng *rand.Rand) (Policy[C], error) {
	switch name {
	case RoundRobin:
		return &roundRobin[C]{traits: tr}, nil
	case LeastLoaded:
		return leastLoaded[C]{traits: tr, rng: rng}, nil
	case ExpectedFinish:
		return expectedFinish[C]{traits: tr, rng: rng}, nil
	default:
		return nil, fmt.Errorf("route: unknown policy %q", name)
	}
}

type roundRobin[C any] struct {
	traits Traits[C]
	next   atomic.Uint64
}

// Name returns RoundRobin.
func (rr *roundRobin[C]) Name() Name { return RoundRobin }

// Choose returns the first preferred candidate from the next position.
func (rr *roundRobin[C]) Choose(po Pool[C], de Demand, now time.Time) (C, bool) {
	return firstFrom(rr.traits, po, int((rr.next.Add(1)-1)%uint64(max(1, len(po.Items)))), de, now)
}

type leastLoaded[C any] struct {
	traits Traits[C]
	rng    *rand.Rand
}

// Name returns LeastLoaded.
func (ll leastLoaded[C]) Name() Name { return LeastLoaded }

// Choose scans all candidates from a random position, so that equal loads do
// not always give the first one.
func (ll leastLoaded[C]) Choose(po Pool[C], de Demand, now time.Time) (C, bool) {
	var best C
	if len(po.Items) == 0 {
		return best, false
	}
	fit, low := Unfit, 0.0
	from := ll.rng.IntN(len(po.Items))
	for ix := range po.Items {
		ca := po.Items[(from+ix)%len(po.Items)]
		fi := ll.traits.Fit(ca, de, now)
		if fi == Unfit || fi < fit {
			continue
		}
		if ld := ll.traits.Load(ca); fi > fit || ld < low {
			best, fit, low = ca, fi, ld
		}
	}
	return best, fit != Unfit
}

// firstFrom returns the first preferred candidate from a position, or else the
// first fallback.
func firstFrom[C any](tr Traits[C], po Pool[C], from int, de Demand, now time.Time) (C, bool) {
	var fallback C
	found := false
	for ix := range po.Items {
		ca := po.Items[(from+ix)%len(po.Items)]
		switch tr.Fit(ca, de, now) {
		case Preferred:
			return ca, true
		case Fallback:
			if !found {
				fallback, found = ca, true
			}
		}
	}
	return fallback, found
}
