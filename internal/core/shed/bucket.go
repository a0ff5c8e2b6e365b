package shed

import (
	"sync/atomic"
	"time"
)

// bucket is a virtual queue of bytes that leave it at a fixed rate. Times are
// nanoseconds since the start of the link. Its methods are safe for concurrent use.
type bucket struct {
	nsPerByte float64
	// emptyAt is the time at which the last byte will have left the queue.
	emptyAt atomic.Int64
}

// add puts bytes into the queue and returns how long the first of them waits. The
// queue holds at most what leaves it within the limit.
func (bu *bucket) add(bytes, now int64, limit time.Duration) time.Duration {
	for {
		old := bu.emptyAt.Load()
		start := max(old, now)
		end := min(start+int64(float64(bytes)*bu.nsPerByte), now+int64(limit))
		if bu.emptyAt.CompareAndSwap(old, max(end, start)) {
			return time.Duration(start - now)
		}
	}
}

// wait returns how long the next byte waits.
func (bu *bucket) wait(now int64) time.Duration {
	return time.Duration(max(0, bu.emptyAt.Load()-now))
}
