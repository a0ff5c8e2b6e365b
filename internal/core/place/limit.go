package place

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// limitMemory is the time in which the logarithm of a learned limit approaches that of
	// the number of slots by the factor e while no response shows anything.
	limitMemory = 10 * time.Second
	// limitHold is the time without a response after which a limit begins to do so.
	limitHold = time.Second
	// lateShare is the share of the requests at an upstream with which a response was
	// late that the upstream is assumed to serve in time.
	lateShare = 0.9
	// lateWeight and onTimeWeight are the weights of one response, so that a single
	// outlier does not decide.
	lateWeight   = 0.2
	onTimeWeight = 0.2
	// limitGrowth is added to the limit by a response that was in time at the limit.
	limitGrowth = 0.25
)

// limit is the number of requests up to which an upstream responds in time, as learned
// from its responses to this router. All routers learn the same without exchanging
// messages, because the number counts the requests of all of them.
type limit struct{ latest atomic.Pointer[limitStats] }

type limitStats struct {
	requests float64
	at       time.Time
}

// value returns the limit, which is at least 1 and at most the number of slots.
func (li *limit) value(slots int, now time.Time) float64 {
	return li.latest.Load().value(slots, now)
}

func (ls *limitStats) value(slots int, now time.Time) float64 {
	top := float64(max(1, slots))
	if ls == nil {
		return top
	}
	age := max(0, now.Sub(ls.at)-limitHold)
	return min(max(1, top*math.Pow(ls.requests/top, math.Exp(-float64(age)/float64(limitMemory)))), top)
}

// record adjusts the limit to a response. requests is the number of requests at the
// upstream when that of the response was sent, including it.
func (li *limit) record(requests float64, late bool, slots int, now time.Time) {
	for {
		old := li.latest.Load()
		val := old.value(slots, now)
		switch target := lateShare * requests; {
		case late && target < val:
			// A limit far above the target approaches it within a few responses.
			val *= math.Pow(target/val, lateWeight)
		case !late && old != nil && requests > val-1:
			val += limitGrowth + onTimeWeight*max(0, requests-val)
		default:
			// The response says nothing about the limit.
			return
		}
		if li.latest.CompareAndSwap(old, &limitStats{max(1, val), now}) {
			return
		}
	}
}
