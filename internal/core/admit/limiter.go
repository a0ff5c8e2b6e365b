package admit

import (
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/snap"
)

// Limit bounds the requests of one key.
type Limit struct {
	// PerSecond is the sustained rate; zero means no limit.
	PerSecond float64
	// Burst is the number of requests that may arrive at once, at least 1.
	Burst int
	// MaxRunning bounds the requests in flight; zero means no limit.
	MaxRunning int
}

// bucket is a token bucket, implemented by the generic cell rate algorithm: its
// rate state is just the time at which the bucket will be full again.
type bucket struct {
	limit   Limit
	fullAt  *atomic.Int64
	running *atomic.Int64
}

// RateLimiter limits the request rate and the number of requests in flight per
// key, for example per client account. Requests are counted with atomics only.
// The limits are replaced by read-copy-update, which keeps the state of keys
// that remain limited.
type RateLimiter[K comparable] struct {
	buckets *snap.Cell[map[K]bucket]
}

// NewRateLimiter returns a rate limiter without limits.
func NewRateLimiter[K comparable]() *RateLimiter[K] {
	return &RateLimiter[K]{buckets: snap.NewCell(map[K]bucket{})}
}

// SetLimits replaces all limits. Keys that are not in the map are not limited.
func (ra *RateLimiter[K]) SetLimits(limits map[K]Limit) {
	ra.buckets.Update(func(cur map[K]bucket) (map[K]bucket, bool) {
		next := make(map[K]bucket, len(limits))
		for key, li := range limits {
			bu, ok := cur[key]
			if !ok {
				bu = bucket{fullAt: new(atomic.Int64), running: new(atomic.Int64)}
			}
			bu.limit = li
			next[key] = bu
		}
		return next, true
	})
}

// Acquire counts a request of the key. A decision of Admit must be followed by
// one Release; the only other verdict is Refuse with the reason RateLimited.
func (ra *RateLimiter[K]) Acquire(key K, now time.Time) Decision {
	bu, ok := ra.buckets.Load()[key]
	if !ok {
		return Decision{Verdict: Admit}
	}
	if running := bu.running.Add(1); bu.limit.MaxRunning > 0 && running > int64(bu.limit.MaxRunning) {
		bu.running.Add(-1)
		return Decision{Verdict: Refuse, Reason: refuse.RateLimited}
	}
	if at, ok := bu.take(now); !ok {
		bu.running.Add(-1)
		return Decision{Verdict: Refuse, Reason: refuse.RateLimited, RetryAt: at}
	}
	return Decision{Verdict: Admit}
}

// Release counts the end of a request for which Acquire returned Admit.
func (ra *RateLimiter[K]) Release(key K) {
	if bu, ok := ra.buckets.Load()[key]; ok {
		// If the limit of the key was set after the request was admitted, the
		// request was not counted.
		for {
			cur := bu.running.Load()
			if cur <= 0 || bu.running.CompareAndSwap(cur, cur-1) {
				return
			}
		}
	}
}

// Running returns the number of requests of the key in flight. It is zero for a
// key without a limit.
func (ra *RateLimiter[K]) Running(key K) int {
	if bu, ok := ra.buckets.Load()[key]; ok {
		return int(bu.running.Load())
	}
	return 0
}

// take counts a request against the rate, or returns the time at which a retry
// conforms to it.
func (bu bucket) take(now time.Time) (retryAt time.Time, ok bool) {
	if bu.limit.PerSecond <= 0 {
		return time.Time{}, true
	}
	interval := int64(float64(time.Second) / bu.limit.PerSecond)
	burst := interval * int64(max(1, bu.limit.Burst))
	for {
		old := bu.fullAt.Load()
		full := max(old, now.UnixNano()) + interval
		if full-now.UnixNano() > burst {
			return time.Unix(0, full-burst).In(now.Location()), false
		}
		if bu.fullAt.CompareAndSwap(old, full) {
			return time.Time{}, true
		}
	}
}
