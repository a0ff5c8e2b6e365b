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

// plainCost returns the expected delay in milliseconds.
func plainCost(ep *Endpoint, de Demand, now time.Time) float64 {
	return plainTerms(ep, de, now).Total()
}

// plainTerms returns the parts of the cost. It is proportional to the load, and each
// request beyond the learned limit counts five times as much as one within it.
func plainTerms(ep *Endpoint, de Demand, now time.Time) Terms {
	callMs := ep.profile.ServiceTime(defaultPlainMs)
	load := ep.expectedRequests(defaultPlainMs, now) / ep.Limit(now)
	te := Terms{Work: idleLoad * callMs, Requests: load * callMs, Slowness: ep.Slowness(now)}
	if load >= 1 {
		te.OverLimit = (load - 1) * 4 * callMs
	}
	if ep.Domain != de.Domain {
		te.Remote = remoteDomainMs
	}
	return te
}

func (pl *PlainPolicy) candidate(ep *Endpoint, _ []*Endpoint, de Demand, now time.Time) Candidate {
	return Candidate{Terms: plainTerms(ep, de, now), Requests: ep.expectedRequests(defaultPlainMs, now)}
}
