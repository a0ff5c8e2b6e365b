package admit

import "sync/atomic"

// Fair divides capacity among the keys that use it. While the capacity is not
// exhausted every key may take what it likes; when it is, a key that holds more
// than its equal share is held back. All methods use atomics only.
type Fair[K comparable] struct {
	counts  shards[K]
	running atomic.Int64
	active  atomic.Int64
}

// NewFair returns an empty Fair.
func NewFair[K comparable]() *Fair[K] {
	return &Fair[K]{}
}

// Enter counts a request of the key.
func (fa *Fair[K]) Enter(key K) {
	fa.running.Add(1)
	if fa.counts.get(key).Add(1) == 1 {
		fa.active.Add(1)
	}
}

// Leave counts the end of a request of the key.
func (fa *Fair[K]) Leave(key K) {
	fa.running.Add(-1)
	if fa.counts.get(key).Add(-1) == 0 {
		fa.active.Add(-1)
	}
}

// Over reports whether the key, with one more request, would exceed its equal
// share of an exhausted capacity.
func (fa *Fair[K]) Over(key K, capacity int) bool {
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
