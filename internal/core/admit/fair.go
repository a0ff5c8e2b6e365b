package admit

import "sync/atomic"

// FairShares divides capacity fairly among the keys that use it. A key may use any
// amount while there is free capacity. Once the capacity is exhausted, a key
// that exceeds its equal share is held back. Methods use atomics only; the first
// use of a key may take a lock.
type FairShares[K comparable] struct {
	counts  counters[K]
	running atomic.Int64
	active  atomic.Int64
}

// NewFairShares returns shares without requests in flight.
func NewFairShares[K comparable]() *FairShares[K] {
	return &FairShares[K]{}
}

// Enter counts the start of a request of the key.
func (fa *FairShares[K]) Enter(key K) {
	fa.running.Add(1)
	if fa.counts.get(key).Add(1) == 1 {
		fa.active.Add(1)
	}
}

// Leave counts the end of a request of the key.
func (fa *FairShares[K]) Leave(key K) {
	fa.running.Add(-1)
	if fa.counts.get(key).Add(-1) == 0 {
		fa.active.Add(-1)
	}
}

// ExceedsShare reports whether the capacity is exhausted and one more request
// would put the key above its equal share.
func (fa *FairShares[K]) ExceedsShare(key K, capacity int) bool {
	if fa.running.Load() < int64(capacity) {
		return false
	}
	own := fa.counts.get(key).Load()
	active := fa.active.Load()
	if own == 0 {
		active++
	}
	return (own+1)*max(1, active) > int64(capacity)
}
