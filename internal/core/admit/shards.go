package admit

import (
	"sync"
	"sync/atomic"
)

// shards holds one counter per key. The zero value is ready. sync.Map reads
// without a lock; only the first use of a key takes one.
type shards[K comparable] struct {
	counts sync.Map
}

func (sh *shards[K]) get(key K) *atomic.Int64 {
	if co, ok := sh.counts.Load(key); ok {
		return co.(*atomic.Int64)
	}
	co, _ := sh.counts.LoadOrStore(key, new(atomic.Int64))
	return co.(*atomic.Int64)
}
