package place

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// speedMemory is the time in which measurements of a speed lose weight by the factor
	// e, so that a change shows within one or two seconds and an upstream that is hardly
	// used returns to the usual speed of its service.
	speedMemory = 2 * time.Second
	// biasMemory is the same for the bias of the reported pace. It outlasts the time for
	// which an upstream with a false pace is avoided.
	biasMemory = 30 * time.Second
	// priorWeight is the weight of the usual speed beside the measurements, so that a
	// single one does not decide.
	priorWeight = 1.0
	// speedVariance is the assumed variance of the logarithm of speeds among the
	// upstreams of a service. A measurement counts less the more its kind varies beyond
	// that for other reasons.
	speedVariance = 0.25
	// maxLogRatio bounds the logarithm of one measurement and of a learned speed.
	maxLogRatio = 2.1
	// errorWeight is the weight of a sample in the mean squared errors, and maxBiasWeight
	// bounds that of the samples of the bias, so that it follows a change.
	errorWeight   = 0.1
	maxBiasWeight = 20
	// startError is the mean squared error of either prediction before a measurement.
	startError = 0.1
)

// speed is what was learned about the duration of work at one upstream, as logarithms
// relative to the usual duration. It is immutable.
type speed struct {
	// recent is the mean of the measurements, and bias that of their difference from the
	// reported pace.
	recent, bias weightedMean
	// recentError and paceError are the mean squared errors of the predictions from
	// either.
	recentError, paceError float64
}

// newSpeed returns a speed without measurements. Neither prediction is trusted more.
func newSpeed() speed { return speed{recentError: startError, paceError: startError} }

// WithSample returns a copy with a measurement of the weight. logPace is the reported
// pace of that time, or zero.
func (sp speed) WithSample(logRatio, logPace, weight float64, now time.Time) speed {
	sp.recentError += errorWeight * (square(logRatio-sp.recent.value(now, speedMemory)) - sp.recentError)
	sp.paceError += errorWeight * (square(logRatio-logPace-sp.bias.value(now, biasMemory)) - sp.paceError)
	sp.recent = sp.recent.WithSample(logRatio, weight, math.Inf(1), now, speedMemory)
	sp.bias = sp.bias.WithSample(logRatio-logPace, weight, maxBiasWeight, now, biasMemory)
	return sp
}

// factor returns the expected duration of work relative to the usual one. The reported
// pace counts as far as it has predicted the measurements better than those before, and
// less the older it is.
func (sp speed) factor(pace reportedPace, now time.Time) float64 {
	log := sp.recent.value(now, speedMemory)
	if !pace.at.IsZero() {
		predicted := (math.Log(pace.value) + sp.bias.value(now, biasMemory)) * pace.freshness(now)
		one, two := cube(sp.recentError), cube(sp.paceError)
		log += one / (one + two) * (predicted - log)
	}
	return math.Exp(min(max(log, -maxLogRatio), maxLogRatio))
}

func square(val float64) float64 { return val * val }

// cube sharpens the choice between two predictions. Their errors share the variance of
// single measurements, which says nothing about either.
func cube(val float64) float64 { return val * val * val }

// weightedMean is a mean of samples whose weights fade with time. It is immutable.
type weightedMean struct {
	mean, weight float64
	at           time.Time
}

// value returns the mean drawn towards zero by the weight of the prior.
func (wm weightedMean) value(now time.Time, memory time.Duration) float64 {
	weight := wm.faded(now, memory)
	return wm.mean * weight / (weight + priorWeight)
}

// WithSample returns a copy with one more sample. The weight of all samples before is at
// most maxWeight.
func (wm weightedMean) WithSample(sample, weight, maxWeight float64, now time.Time, memory time.Duration) weightedMean {
	sum := min(wm.faded(now, memory), maxWeight) + weight
	wm.mean += weight / sum * (sample - wm.mean)
	wm.weight, wm.at = sum, now
	return wm
}

func (wm weightedMean) faded(now time.Time, memory time.Duration) float64 {
	age := max(0, now.Sub(wm.at))
	return wm.weight * math.Exp(-float64(age)/float64(memory))
}

// timing is what was learned about one kind of measurement of a service: the mean of
// its logarithm, which is the usual value, and the variance at one upstream.
type timing struct{ latest atomic.Pointer[timingStats] }

type timingStats struct{ usual, variance float64 }

// timingWeight is the weight of a sample in the usual value and in the variance.
const timingWeight = 0.02

// add records a measurement, and returns it relative to the usual value together with
// its weight. predicted is the relative value that was expected of the upstream.
func (ti *timing) add(logRatio, predicted float64) (relative, weight float64) {
	for {
		old := ti.latest.Load()
		next := timingStats{usual: logRatio, variance: speedVariance}
		if old != nil {
			// A single outlier must not take the weight of later measurements.
			logRatio = min(max(logRatio, old.usual-maxLogRatio), old.usual+maxLogRatio)
			next = *old
			next.usual += timingWeight * (logRatio - next.usual)
			next.variance += timingWeight * (square(logRatio-old.usual-predicted) - next.variance)
		}
		if ti.latest.CompareAndSwap(old, &next) {
			return logRatio - next.usual, min(1, speedVariance/next.variance)
		}
	}
}
