package retry

import (
	"sync/atomic"
	"time"
)

const (
	// quantile is the quantile that Latency estimates.
	quantile = 0.95
	// relativeStep is the step of the estimate per sample, relative to the
	// estimate.
	relativeStep = 0.05
	// minSamples is the number of samples before the estimate is used, so that
	// it has come near the quantile by then.
	minSamples = 32
)

// Latency estimates the 95th percentile of a latency in constant memory. A sample
// above the estimate raises it 19 times as much as one below lowers it, so that
// it settles where 95 of 100 samples are below. It uses atomics only.
type Latency struct {
	estimate atomic.Int64
	samples  atomic.Int64
}

// Observe adds a sample.
func (la *Latency) Observe(elapsed time.Duration) {
	la.samples.Add(1)
	for {
		old := la.estimate.Load()
		next := int64(elapsed)
		switch {
		case old == 0:
		case int64(elapsed) > old:
			next = old + max(1, int64(float64(old)*relativeStep*quantile))
		default:
			next = old - int64(float64(old)*relativeStep*(1-quantile))
		}
		if la.estimate.CompareAndSwap(old, max(1, next)) {
			return
		}
	}
}

// Estimate returns the estimated 95th percentile, or zero as long as there are
// too few samples.
func (la *Latency) Estimate() time.Duration {
	if la.samples.Load() < minSamples {
		return 0
	}
	return time.Duration(la.estimate.Load())
}
