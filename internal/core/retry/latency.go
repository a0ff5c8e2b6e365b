package retry

import (
	"sync/atomic"
	"time"
)

const (
	// usualQuantile is the quantile that Latency follows.
	usualQuantile = 0.95
	// usualStep is the relative step of the estimate per sample.
	usualStep = 0.05
	// usualSamples is the number of samples before the estimate is used. It
	// gives the estimate time to come near the quantile.
	usualSamples = 32
)

// Latency follows the 95th percentile of a latency in constant memory: a sample
// above the estimate raises it 19 times as much as one below lowers it, so that
// it rests where 95 in 100 samples are below. It uses atomics only.
type Latency struct {
	estimate atomic.Int64
	samples  atomic.Int64
}

// Observe adds a sample.
func (la *Latency) Observe(took time.Duration) {
	la.samples.Add(1)
	for {
		old := la.estimate.Load()
		next := int64(took)
		switch {
		case old == 0:
		case int64(took) > old:
			next = old + max(1, int64(float64(old)*usualStep*usualQuantile))
		default:
			next = old - int64(float64(old)*usualStep*(1-usualQuantile))
		}
		if la.estimate.CompareAndSwap(old, max(1, next)) {
			return
		}
	}
}

// Usual returns the estimate, or zero while it rests on too few samples.
func (la *Latency) Usual() time.Duration {
	if la.samples.Load() < usualSamples {
		return 0
	}
	return time.Duration(la.estimate.Load())
}
