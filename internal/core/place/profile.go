package place

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// defaultPrefillRate is the prefill rate, in prompt tokens per millisecond, that
	// is assumed until one was measured.
	defaultPrefillRate = 40.0
	// minMeasuredPrompt is the least number of uncached tokens from which a prefill
	// rate is measured: with shorter prompts the network and the decoding steps of
	// other requests take most of the time.
	minMeasuredPrompt = 2048
	// riseWeight and fallWeight are the weights of a sample in the prefill rate. A
	// sample is too low if the prompt waited behind others or if shared parts of it
	// were prefilled as well, so that the rate follows the highest samples.
	riseWeight = 0.3
	fallWeight = 0.03
	// meanWeight is the weight of a sample in the other means.
	meanWeight = 0.05
	// defaultGapGrowth is the share by which each request at an engine lengthens the gap
	// between two events of the others, until it was measured: 0.02 of about 4 ms.
	defaultGapGrowth = 0.005
	// gapGrowthRange bounds the measured share relative to that.
	gapGrowthRange = 4.0
	// gapWeight is the weight of a sample in the fit of gaps, and gapPrior the weight of
	// the default in it, as a variance of the number of requests.
	gapWeight = 0.005
	gapPrior  = 100.0
)

// Profile is what a router has learned about the upstreams of one service from
// their responses. Its methods are safe for concurrent use and take no lock.
type Profile struct {
	// prefillRate is in prompt tokens per millisecond, uncached the mean number of
	// prompt tokens that a request has to prefill, and serviceTime the mean time of
	// a whole request in milliseconds. Zero means that nothing was measured yet.
	prefillRate mean
	uncached    mean
	serviceTime mean
	// load is the mean of the reported requests per slot.
	load mean
	// firstEvents, gaps and calls are what is usual of the times to the first event, of
	// those between events, and of calls that are no streams.
	firstEvents, gaps, calls timing
	// gapFit relates the gaps between events to the number of requests.
	gapFit atomic.Pointer[lineFit]
}

// NewProfile returns a profile without measurements.
func NewProfile() *Profile { return &Profile{} }

// PrefillRate returns the prefill rate of an engine in prompt tokens per
// millisecond.
func (pf *Profile) PrefillRate() float64 { return pf.prefillRate.valueOr(defaultPrefillRate) }

// MeanUncached returns the mean number of prompt tokens that a request has to
// prefill.
func (pf *Profile) MeanUncached() float64 { return pf.uncached.valueOr(0) }

// ServiceTime returns the mean time of a whole request in milliseconds, or the
// fallback if none was measured.
func (pf *Profile) ServiceTime(fallback float64) float64 { return pf.serviceTime.valueOr(fallback) }

// Load returns the mean number of requests per slot that upstreams have reported.
func (pf *Profile) Load() float64 { return pf.load.valueOr(0) }

func (pf *Profile) recordLoad(load float64) {
	// A mean of zero is the same as none.
	pf.load.add(max(load, 1e-6), meanWeight, meanWeight)
}

// recordPrefill records that so many prompt tokens, none of which can have been
// cached, were prefilled in the time. waited says that the prompt is known to have waited
// behind others, so that the rate was higher.
func (pf *Profile) recordPrefill(tokens float64, took time.Duration, waited bool) {
	fall := fallWeight
	if waited {
		fall = 0
	}
	if ms := float64(took) / float64(time.Millisecond); tokens >= minMeasuredPrompt && ms > 0 {
		pf.prefillRate.add(tokens/ms, riseWeight, fall)
	}
}

func (pf *Profile) recordSent(tokens ident.Tokens) {
	pf.uncached.add(float64(tokens), meanWeight, meanWeight)
}

func (pf *Profile) recordDone(took time.Duration) {
	pf.serviceTime.add(float64(took)/float64(time.Millisecond), meanWeight, meanWeight)
}

// gapGrowth returns the share by which each request at an engine lengthens the gaps
// between the events of the others.
func (pf *Profile) gapGrowth() float64 {
	fit := pf.gapFit.Load()
	if fit == nil {
		return defaultGapGrowth
	}
	idle := fit.meanY / (1 + defaultGapGrowth*fit.meanX)
	growth := (fit.covariance/idle + gapPrior*defaultGapGrowth) / (fit.variance + gapPrior)
	return min(max(growth, defaultGapGrowth/gapGrowthRange), defaultGapGrowth*gapGrowthRange)
}

// recordGap records the mean gap between the events of a response in milliseconds, at
// the usual speed, with the number of requests at the engine.
func (pf *Profile) recordGap(gap float64, requests float64) {
	for {
		old := pf.gapFit.Load()
		next := lineFit{meanX: requests, meanY: gap}
		if old != nil {
			next = old.WithSample(requests, gap, gapWeight)
		}
		if pf.gapFit.CompareAndSwap(old, &next) {
			return
		}
	}
}

// lineFit holds moving moments of pairs of values. It is immutable.
type lineFit struct{ meanX, meanY, variance, covariance float64 }

// WithSample returns a copy with one more pair.
func (lf lineFit) WithSample(xx, yy, weight float64) lineFit {
	dx, dy := xx-lf.meanX, yy-lf.meanY
	lf.meanX += weight * dx
	lf.meanY += weight * dy
	lf.variance = (1 - weight) * (lf.variance + weight*dx*dx)
	lf.covariance = (1 - weight) * (lf.covariance + weight*dx*dy)
	return lf
}

// mean is a moving mean of positive samples. The first sample becomes the mean.
type mean struct{ bits atomic.Uint64 }

// valueOr returns the mean, or the fallback if there was no sample.
func (me *mean) valueOr(fallback float64) float64 {
	if bits := me.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return fallback
}

// add moves the mean towards the sample, with one weight if it rises and another
// one if it falls.
func (me *mean) add(sample, rise, fall float64) {
	for {
		old := me.bits.Load()
		val := math.Float64frombits(old)
		switch {
		case old == 0:
			val = sample
		case sample > val:
			val += rise * (sample - val)
		default:
			val += fall * (sample - val)
		}
		if me.bits.CompareAndSwap(old, math.Float64bits(val)) {
			return
		}
	}
}
