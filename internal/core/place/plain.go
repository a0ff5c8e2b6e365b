package place

import (
	"math/rand/v2"
	"time"
)

// defaultPlainMs is the time of a call of a plain service, in milliseconds, that is
// assumed until one was measured.
const defaultPlainMs = 30.0

// PlainPolicy is the policy for plain services: it chooses the upstream with
// the lowest load.
type PlainPolicy struct {
	cheapest Cheapest[Demand]
}

// NewPlainPolicy returns the policy.
func NewPlainPolicy() *PlainPolicy {
	return &PlainPolicy{cheapest: Cheapest[Demand]{
		Cost:       plainCost,
		Skip:       func(ep *Endpoint, de Demand) bool { return de.wasTried(ep) },
		StartIndex: rand.IntN,
	}}
}

// Choose returns the endpoint with the lowest expected delay.
func (pl *PlainPolicy) Choose(list []*Endpoint, de Demand, now time.Time) *Endpoint {
	return pl.cheapest.Choose(list, de, now)
}

// plainCost returns the expected delay in milliseconds. It is the time of a call
// if all slots are occupied, and proportional to the load below. Each request
// beyond the slots of the upstream counts five times as much as one within them.
func plainCost(ep *Endpoint, de Demand, now time.Time) float64 {
	fullLoadMs := ep.profile.ServiceTime(defaultPlainMs)
	load := float64(ep.EstimatedRequests(now)) / float64(ep.capacity())
	cost := fullLoadMs * load
	if load >= 1 {
		cost += fullLoadMs * (load - 1) * 4
	}
	cost *= ep.Pace(now)
	if ep.Domain != de.Domain {
		cost += remoteDomainMs
	}
	return cost
}
