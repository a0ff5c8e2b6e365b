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
	// slownessWeight is the weight of a sample in the slowness of one upstream, and
	// minSlowness and maxSlowness bound it. Up to slowThreshold it is ignored: the
	// prompts of other routers cause as much, and avoiding an engine for that costs
	// its cached prefixes.
	slownessWeight = 0.05
	slowThreshold  = 3.0
	minSlowness    = 0.8
	maxSlowness    = 6.0
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

// recordPrefill records that so many prompt tokens, none of which can have been
// cached, were prefilled in the time.
func (pf *Profile) recordPrefill(tokens float64, took time.Duration) {
	if ms := float64(took) / float64(time.Millisecond); tokens >= minMeasuredPrompt && ms > 0 {
		pf.prefillRate.add(tokens/ms, riseWeight, fallWeight)
	}
}

func (pf *Profile) recordSent(tokens ident.Tokens) {
	pf.uncached.add(float64(tokens), meanWeight, meanWeight)
}

func (pf *Profile) recordDone(took time.Duration) {
	pf.serviceTime.add(float64(took)/float64(time.Millisecond), meanWeight, meanWeight)
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
