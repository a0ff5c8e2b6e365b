package route

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Name identifies a policy.
type Name string

const (
	// RoundRobin chooses the upstreams in turn.
	RoundRobin Name = "roundRobin"
	// LeastLoaded chooses the upstream with the lowest load.
	LeastLoaded Name = "leastLoaded"
	// ExpectedFinish chooses the upstream with the earliest expected finish among
	// two random candidates and the hinted one.
	ExpectedFinish Name = "expectedFinish"
)

// Names returns the names of all policies.
func Names() []Name { return []Name{RoundRobin, LeastLoaded, ExpectedFinish} }

// Pool is the list of candidates that a policy chooses from.
type Pool[C any] struct {
	Items []C
	// Hint is the position of the hinted candidate, or -1.
	Hint int
}

// Policy chooses a candidate. Choose is safe for concurrent use and reports false
// if no candidate is usable.
type Policy[C any] interface {
	Name() Name
	Choose(po Pool[C], de Demand, now time.Time) (C, bool)
}

// Fit is the suitability of a candidate for a demand, regardless of its load.
type Fit int

const (
	// Unfit candidates must not be chosen.
	Unfit Fit = iota
	// Fallback candidates are chosen only if no preferred one is found.
	Fallback
	// Preferred candidates are chosen before all others.
	Preferred
)

// Traits gives policies access to the properties of candidates of type C. All
// functions must be safe for concurrent use.
type Traits[C any] struct {
	Fit    func(ca C, de Demand, now time.Time) Fit
	Load   func(ca C) float64
	Finish func(ca C, de Demand, now time.Time) time.Time
}

// New returns the policy with the given name. Concurrent calls of Choose use the
// random number generator concurrently; see NewRand.
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

// Choose scans all candidates from a random position, so that the first one is
// not always chosen among equal loads.
func (ll leastLoaded[C]) Choose(po Pool[C], de Demand, now time.Time) (C, bool) {
	var best C
	if len(po.Items) == 0 {
		return best, false
	}
	fit, lowest := Unfit, 0.0
	offset := ll.rng.IntN(len(po.Items))
	for ix := range po.Items {
		ca := po.Items[(offset+ix)%len(po.Items)]
		fi := ll.traits.Fit(ca, de, now)
		if fi == Unfit || fi < fit {
			continue
		}
		if ld := ll.traits.Load(ca); fi > fit || ld < lowest {
			best, fit, lowest = ca, fi, ld
		}
	}
	return best, fit != Unfit
}

// firstFrom returns the first preferred candidate from the position offset on, or
// else the first fallback.
func firstFrom[C any](tr Traits[C], po Pool[C], offset int, de Demand, now time.Time) (C, bool) {
	var fallback C
	found := false
	for ix := range po.Items {
		ca := po.Items[(offset+ix)%len(po.Items)]
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
