package place

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// paceTime is the time over which reported paces are averaged. An upstream may
	// report another pace with each response, and a request takes longer than one of
	// these changes lasts.
	paceTime = 300 * time.Millisecond
	// maxPaceWeight is the greatest weight of one reported pace, so that a single false
	// one does not decide.
	maxPaceWeight = 0.5
	// minPace and maxPace bound a reported pace, relative to the usual one.
	minPace = 0.8
	maxPace = 8.0
	// learnedLifetime is the time in which a learned value decays by the factor e towards
	// the usual one of the service unless it is measured again. A router that sends an
	// upstream few requests then notices within seconds that it has recovered.
	learnedLifetime = 2 * time.Second
)

// learned is what a router has learned about one upstream.
type learned struct {
	// pace is the duration of work relative to the usual one, as reported.
	pace decayingMean
	// invalidReport says that a load report had an invalid figure.
	invalidReport atomic.Bool
}

// ReportedPace records the current duration of work that the upstream has reported,
// relative to the usual one.
func (ep *Endpoint) ReportedPace(pace float64, now time.Time) {
	pace = min(max(pace, minPace), maxPace)
	ep.state.pace.update(1, now, func(old float64, age time.Duration) float64 {
		weight := 1 - math.Exp(-float64(age)/float64(paceTime))
		return old + min(weight, maxPaceWeight)*(pace-old)
	})
}

// Pace returns the expected duration of work relative to the usual one, from the recent
// reports.
func (ep *Endpoint) Pace(now time.Time) float64 { return ep.state.pace.value(1, now) }

// FirstInvalidReport records that a load report has an invalid figure, and reports
// whether it is the first one of the upstream.
func (ep *Endpoint) FirstInvalidReport() bool { return !ep.state.invalidReport.Swap(true) }

// decayingMean is a mean that decays towards a usual value while it is not measured.
type decayingMean struct{ latest atomic.Pointer[measured] }

type measured struct {
	value float64
	at    time.Time
}

// value returns the mean, or the usual value if nothing was measured.
func (dm *decayingMean) value(usual float64, now time.Time) float64 {
	return dm.latest.Load().decayed(usual, now)
}

// update replaces the mean by the result of next, which gets the decayed mean and the
// time since the last update.
func (dm *decayingMean) update(usual float64, now time.Time, next func(old float64, age time.Duration) float64) {
	for {
		old := dm.latest.Load()
		age := time.Duration(math.MaxInt64)
		if old != nil {
			age = max(0, now.Sub(old.at))
		}
		if dm.latest.CompareAndSwap(old, &measured{next(old.decayed(usual, now), age), now}) {
			return
		}
	}
}

func (me *measured) decayed(usual float64, now time.Time) float64 {
	if me == nil {
		return usual
	}
	age := max(0, now.Sub(me.at))
	return usual + (me.value-usual)*math.Exp(-float64(age)/float64(learnedLifetime))
}
