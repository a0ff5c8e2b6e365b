package place

import "time"

// defaultPlainMs is the time of a call of a plain service, in milliseconds, that is
// assumed until one was measured.
const defaultPlainMs = 30.0

// idleLoad is the load at which a call costs twice as much as at an idle upstream. A
// slower upstream gets calls before a faster one is full.
const idleLoad = 0.5

// PlainPolicy is the policy for plain services: it chooses the upstream with
// the lowest load.
type PlainPolicy struct {
	cheapest Cheapest[Demand]
}

// NewPlainPolicy returns the policy.
func NewPlainPolicy(opts ...Option) *PlainPolicy {
	return &PlainPolicy{cheapest: newCheapest(plainCost, opts)}
}

// Choose returns the endpoint with the lowest expected delay.
func (pl *PlainPolicy) Choose(list []*Endpoint, de Demand, now time.Time) *Endpoint {
	return pl.cheapest.Choose(list, de, now)
}

// plainCost returns the expected delay in milliseconds at the learned speed. It is
// proportional to the load, and each request beyond the learned limit counts five times
// as much as one within it.
func plainCost(ep *Endpoint, de Demand, now time.Time) float64 {
	load := ep.expectedRequests(defaultPlainMs, now) / ep.Limit(now)
	cost := idleLoad + load
	if load >= 1 {
		cost += (load - 1) * 4
	}
	cost *= ep.profile.ServiceTime(defaultPlainMs) * ep.Slowness(now)
	if ep.Domain != de.Domain {
		cost += remoteDomainMs
	}
	return cost
}
