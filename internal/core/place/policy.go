package place

import (
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Policy chooses an endpoint for a demand of type D, or nil if none is usable.
type Policy[D any] interface {
	Choose(list []*Endpoint, de D, now time.Time) *Endpoint
}

// Cost returns the cost of sending a demand to an endpoint, in milliseconds of
// expected delay.
type Cost[D any] func(ep *Endpoint, de D, now time.Time) float64

// suspectPenaltyMs is added to the cost of suspect upstreams, so that they are
// chosen only if there is no other.
const suspectPenaltyMs = 1e6

// Cheapest chooses the endpoint with the lowest cost. Skip excludes endpoints.
type Cheapest[D any] struct {
	Cost Cost[D]
	Skip func(ep *Endpoint, de D) bool
	// StartIndex returns the position below n from which the list is scanned.
	// Random positions keep routers from all choosing the first of equal
	// endpoints.
	StartIndex func(n int) int
}

// Choose returns the cheapest endpoint that is usable and not skipped.
func (ch Cheapest[D]) Choose(list []*Endpoint, de D, now time.Time) *Endpoint {
	if len(list) == 0 {
		return nil
	}
	var best *Endpoint
	lowest := 0.0
	offset := ch.StartIndex(len(list))
	for ix := range list {
		ep := list[(offset+ix)%len(list)]
		if !ep.Usable(now) || ch.Skip(ep, de) {
			continue
		}
		cost := ch.Cost(ep, de, now)
		if ep.Suspect(now) {
			cost += suspectPenaltyMs
		}
		if best == nil || cost < lowest {
			best, lowest = ep, cost
		}
	}
	return best
}

// Option configures a policy.
type Option func(*options)

type options struct{ rng *rand.Rand }

// WithRandom sets the source of random numbers, which must not be used concurrently. The
// default is the shared one.
func WithRandom(rng *rand.Rand) Option { return func(op *options) { op.rng = rng } }

// dither is the range of the random factor of a cost. Routers that have read the same
// report do not all choose the upstream that is the cheapest by a few percent.
const dither = 0.05

// newCheapest returns the choice by a cost that is varied at random.
func newCheapest[D interface{ excludes(ep *Endpoint) bool }](cost Cost[D], opts []Option) Cheapest[D] {
	var op options
	for _, apply := range opts {
		apply(&op)
	}
	random, index := rand.Float64, rand.IntN
	if op.rng != nil {
		random, index = op.rng.Float64, op.rng.IntN
	}
	return Cheapest[D]{
		Cost: func(ep *Endpoint, de D, now time.Time) float64 {
			return cost(ep, de, now) * (1 + dither*(random()-0.5))
		},
		Skip:       func(ep *Endpoint, de D) bool { return de.excludes(ep) },
		StartIndex: index,
	}
}

// UsableAt returns the earliest time at which an upstream probably accepts a request, if
// all that may be sent new ones have asked for quiet or are cold without capacity left.
func UsableAt(list []*Endpoint, now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, ep := range list {
		at, blocked := ep.UsableAt(now)
		switch {
		case !ep.Accepting():
		case !blocked:
			return time.Time{}, false
		case earliest.IsZero() || at.Before(earliest):
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// Demand describes what a request needs from an upstream.
type Demand struct {
	Domain ident.Domain
	Prompt Prompt
	// Tried lists the upstreams to which earlier attempts were sent.
	Tried []ident.Upstream
	// release is the software release that the upstream must run, or nil.
	release *string
}

func (de Demand) wasTried(ep *Endpoint) bool {
	for _, id := range de.Tried {
		if id == ep.ID {
			return true
		}
	}
	return false
}
