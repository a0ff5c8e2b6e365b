package admit

import (
	"sync"
	"sync/atomic"
)

// counters holds one counter per key. The zero value is ready for use. Reads of
// the sync.Map take no lock; only the first use of a key may take one.
type counters[K comparable] struct {
	byKey sync.Map
}

func (cs *counters[K]) get(key K) *atomic.Int64 {
	if co, ok := cs.byKey.Load(key); ok {
		return co.(*atomic.Int64)
	}
	co, _ := cs.byKey.LoadOrStore(key, new(atomic.Int64))
	return co.(*atomic.Int64)
}
