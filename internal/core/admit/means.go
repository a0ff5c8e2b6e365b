package admit

import (
	"math"
	"sync"
	"sync/atomic"
)

// smoothingFactor is the weight of a new value in the moving mean.
const smoothingFactor = 1.0 / 16

// MovingMeans keeps an exponentially weighted moving mean per key. Methods use
// atomics only; the first use of a key may take a lock.
type MovingMeans[K comparable] struct {
	initial float64
	byKey   sync.Map
}

// NewMovingMeans returns means that start from the initial value.
func NewMovingMeans[K comparable](initial float64) *MovingMeans[K] {
	return &MovingMeans[K]{initial: initial}
}

// Mean returns the mean of the key, or the initial value before the first Add.
func (mm *MovingMeans[K]) Mean(key K) float64 {
	if bits, ok := mm.byKey.Load(key); ok {
		return math.Float64frombits(bits.(*atomic.Uint64).Load())
	}
	return mm.initial
}

// Add includes the value in the mean of the key.
func (mm *MovingMeans[K]) Add(key K, value float64) {
	stored, ok := mm.byKey.Load(key)
	if !ok {
		fresh := new(atomic.Uint64)
		fresh.Store(math.Float64bits(mm.initial))
		stored, _ = mm.byKey.LoadOrStore(key, fresh)
	}
	bits := stored.(*atomic.Uint64)
	for {
		old := bits.Load()
		mean := math.Float64frombits(old)
		if bits.CompareAndSwap(old, math.Float64bits(mean+smoothingFactor*(value-mean))) {
			return
		}
	}
}
