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
	// Burst is the number of requests that may arrive together, at least 1.
	Burst int
	// MaxRunning bounds the requests in flight; zero means no limit.
	MaxRunning int
}

// bucket is a token bucket in the form of the generic cell rate algorithm: its
// whole state is the time at which the bucket will be full again.
type bucket struct {
	limit   Limit
	full    *atomic.Int64
	running *atomic.Int64
}

// Rates limits the request rate and the requests in flight per key, for example
// per client account. Take and Done use atomics only; Set replaces the limits by
// read-copy-update and keeps the state of keys that stay.
type Rates[K comparable] struct {
	buckets *snap.Cell[map[K]bucket]
}

// NewRates returns rates without limits.
func NewRates[K comparable]() *Rates[K] {
	return &Rates[K]{buckets: snap.NewCell(map[K]bucket{})}
}

// Set replaces all limits. Keys without a limit are not limited.
func (ra *Rates[K]) Set(limits map[K]Limit) {
	ra.buckets.Update(func(cur map[K]bucket) (map[K]bucket, bool) {
		next := make(map[K]bucket, len(limits))
		for key, li := range limits {
			bu, ok := cur[key]
			if !ok {
				bu = bucket{full: new(atomic.Int64), running: new(atomic.Int64)}
			}
			bu.limit = li
			next[key] = bu
		}
		return next, true
	})
}

// Take counts a request of the key. A decision of Admit must be followed by one
// Done; the only other verdict is Refuse with the reason RateLimited.
func (ra *Rates[K]) Take(key K, now time.Time) Decision {
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

// Done counts the end of a request for which Take returned Admit.
func (ra *Rates[K]) Done(key K) {
	if bu, ok := ra.buckets.Load()[key]; ok {
		// A key that was limited only after Take has no request counted.
		for {
			cur := bu.running.Load()
			if cur <= 0 || bu.running.CompareAndSwap(cur, cur-1) {
				return
			}
		}
	}
}

// Running returns the requests of the key in flight.
func (ra *Rates[K]) Running(key K) int {
	if bu, ok := ra.buckets.Load()[key]; ok {
		return int(bu.running.Load())
	}
	return 0
}

func (bu bucket) take(now time.Time) (retryAt time.Time, ok bool) {
	if bu.limit.PerSecond <= 0 {
		return time.Time{}, true
	}
	step := int64(float64(time.Second) / bu.limit.PerSecond)
	burst := step * int64(max(1, bu.limit.Burst))
	for {
		old := bu.full.Load()
		full := max(old, now.UnixNano()) + step
		if full-now.UnixNano() > burst {
			return time.Unix(0, full-burst).In(now.Location()), false
		}
		if bu.full.CompareAndSwap(old, full) {
			return time.Time{}, true
		}
	}
}
