package place

import (
	"math/rand/v2"
	"time"
)

// fullLoadMs is the expected delay at an upstream whose slots are all occupied.
// At lower loads the delay is proportional to the load. A call of a plain
// service takes about 30 ms.
const fullLoadMs = 30.0

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

// plainCost returns the expected delay in milliseconds. Each request beyond the
// slots of the upstream counts five times as much as one within them.
func plainCost(ep *Endpoint, de Demand, now time.Time) float64 {
	load := float64(ep.EstimatedRequests(now)) / float64(ep.capacity())
	cost := fullLoadMs * load
	if load >= 1 {
		cost += fullLoadMs * (load - 1) * 4
	}
	if ep.Domain != de.Domain {
		cost += remoteDomainMs
	}
	return cost
}
