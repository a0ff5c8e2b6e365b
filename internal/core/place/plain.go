package place

import (
	"math/rand/v2"
	"time"
)

// fullLoadMs is the expected delay at an upstream whose slots are all occupied; it
// is proportional to the load below that. A call of a plain service takes about
// 30 ms.
const fullLoadMs = 30.0

// Plain is the policy for plain services: it chooses the upstream with the lowest
// load.
type Plain struct {
	cheapest Cheapest[Demand]
}

// NewPlain returns the policy.
func NewPlain() *Plain {
	return &Plain{cheapest: Cheapest[Demand]{
		Cost: plainCost,
		Skip: func(ep *Station, de Demand) bool { return de.wasTried(ep) },
		Turn: rand.IntN,
	}}
}

// Choose returns the endpoint with the lowest expected delay.
func (pl *Plain) Choose(list []*Station, de Demand, now time.Time) *Station {
	return pl.cheapest.Choose(list, de, now)
}

// plainCost returns the expected delay in milliseconds. Each request beyond the
// slots of the upstream counts five times as much as one within them.
func plainCost(ep *Station, de Demand, now time.Time) float64 {
	load := float64(ep.Occupied(now)) / float64(ep.capacity())
	cost := fullLoadMs * load
	if load >= 1 {
		cost += fullLoadMs * (load - 1) * 4
	}
	if ep.Domain != de.Domain {
		cost += remoteDomainMs
	}
	return cost
}
