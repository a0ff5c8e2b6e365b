package admit

import (
	"math"
	"sync"
	"sync/atomic"
)

// meanWeight is the weight of a new value in a mean.
const meanWeight = 1.0 / 16

// Means keeps an exponentially weighted mean per key. All methods use atomics
// only.
type Means[K comparable] struct {
	prior float64
	means sync.Map
}

// NewMeans returns means that start from the prior value.
func NewMeans[K comparable](prior float64) *Means[K] {
	return &Means[K]{prior: prior}
}

// Mean returns the mean of the key, or the prior value before the first Add.
func (me *Means[K]) Mean(key K) float64 {
	if bits, ok := me.means.Load(key); ok {
		return math.Float64frombits(bits.(*atomic.Uint64).Load())
	}
	return me.prior
}

// Add moves the mean of the key towards the value.
func (me *Means[K]) Add(key K, value float64) {
	held, ok := me.means.Load(key)
	if !ok {
		fresh := new(atomic.Uint64)
		fresh.Store(math.Float64bits(me.prior))
		held, _ = me.means.LoadOrStore(key, fresh)
	}
	bits := held.(*atomic.Uint64)
	for {
		old := bits.Load()
		mean := math.Float64frombits(old)
		if bits.CompareAndSwap(old, math.Float64bits(mean+meanWeight*(value-mean))) {
			return
		}
	}
}
