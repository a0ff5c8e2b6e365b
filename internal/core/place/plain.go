package place

import (
	"math/rand/v2"
	"time"
)

// placeMs is the delay that each request at an upstream means for the next one
// as a share of its places. A call of a plain service takes about 30 ms.
const placeMs = 30.0

// Plain chooses upstreams of plain services by their load.
type Plain struct {
	pick Cheapest[Demand]
}

// NewPlain returns the policy.
func NewPlain() *Plain {
	return &Plain{pick: Cheapest[Demand]{
		Cost: plainCost,
		Skip: func(st *Station, de Demand) bool { return de.tried(st) },
		Turn: rand.IntN,
	}}
}

// Choose returns the upstream with the lowest load.
func (pl *Plain) Choose(list []*Station, de Demand, now time.Time) *Station {
	return pl.pick.Choose(list, de, now)
}

func plainCost(st *Station, de Demand, now time.Time) float64 {
	load := float64(st.Occupied(now)) / float64(st.capacity())
	cost := placeMs * load
	if load >= 1 {
		cost += placeMs * (load - 1) * 4
	}
	if st.Domain != de.Domain {
		cost += remoteMs
	}
	return cost
}
