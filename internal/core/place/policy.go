package place

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Policy chooses a station for a demand of type D, or nil if none is usable.
type Policy[D any] interface {
	Choose(list []*Station, de D, now time.Time) *Station
}

// Cost tells what sending a demand to a station costs, in milliseconds of
// expected delay.
type Cost[D any] func(st *Station, de D, now time.Time) float64

// suspectCost puts suspected upstreams behind all others, so that they are
// chosen only when nothing else is left.
const suspectCost = 1e6

// Cheapest chooses the station with the lowest cost. Skip excludes stations.
type Cheapest[D any] struct {
	Cost Cost[D]
	Skip func(st *Station, de D) bool
	// Turn breaks ties, so that routers do not all begin with the first one.
	Turn func(n int) int
}

// Choose returns the cheapest station that is neither leaving nor skipped.
func (ch Cheapest[D]) Choose(list []*Station, de D, now time.Time) *Station {
	if len(list) == 0 {
		return nil
	}
	var best *Station
	low := 0.0
	from := ch.Turn(len(list))
	for ix := range list {
		st := list[(from+ix)%len(list)]
		if st.Leaving || ch.Skip(st, de) {
			continue
		}
		cost := ch.Cost(st, de, now)
		if st.Suspect(now) {
			cost += suspectCost
		}
		if best == nil || cost < low {
			best, low = st, cost
		}
	}
	return best
}

// Demand is what a request needs from an upstream.
type Demand struct {
	Domain ident.Domain
	Prompt Prompt
	// Tried lists the upstreams that the request was sent to before.
	Tried []ident.Upstream
}

func (de Demand) tried(st *Station) bool {
	for _, id := range de.Tried {
		if id == st.ID {
			return true
		}
	}
	return false
}
