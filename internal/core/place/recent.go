package place

import (
	"sync/atomic"
	"time"
)

const (
	// indexSlots is the number of entries, each a pair of a prefix and an upstream.
	// At the planned size a router sends about 14 prompts per second with up to
	// three shared parts, so that 32768 entries cover ten minutes.
	indexSlots = 1 << 15
	// tagBits and timeBits are the sizes of the two parts of an entry: a tag, which
	// identifies the pair, and the time in milliseconds at which it was recorded.
	tagBits  = 24
	timeBits = 64 - tagBits
)

// RecentPrefixes is a lossy index of the prompt prefixes that upstreams recently
// prefilled. Colliding entries overwrite each other; a wrong result only costs
// prefill time. Its methods are safe for concurrent use and take no lock.
type RecentPrefixes struct {
	slots    []atomic.Uint64
	lifetime time.Duration
}

// NewRecentPrefixes returns an empty index whose entries expire after the lifetime.
func NewRecentPrefixes(lifetime time.Duration) *RecentPrefixes {
	return &RecentPrefixes{slots: make([]atomic.Uint64, indexSlots), lifetime: lifetime}
}

// Add records that the upstream has prefilled the prefix.
func (rp *RecentPrefixes) Add(prefix, upstream uint64, now time.Time) {
	sl, tag := rp.slot(prefix, upstream)
	sl.Store(tag<<timeBits | uint64(now.UnixMilli())&(1<<timeBits-1))
}

// Contains reports whether the upstream probably still caches the prefix.
func (rp *RecentPrefixes) Contains(prefix, upstream uint64, now time.Time) bool {
	sl, tag := rp.slot(prefix, upstream)
	val := sl.Load()
	if val == 0 || val>>timeBits != tag {
		return false
	}
	// The time is kept modulo 2^40 ms, which is 34 years.
	age := (uint64(now.UnixMilli()) - val) & (1<<timeBits - 1)
	return age < uint64(rp.lifetime.Milliseconds())
}

// slot returns the slot of the pair and the tag that identifies it there.
func (rp *RecentPrefixes) slot(prefix, upstream uint64) (*atomic.Uint64, uint64) {
	key := mix(prefix ^ upstream)
	return &rp.slots[key%indexSlots], key >> timeBits
}

// mix distributes the bits of a number over all positions. It is the finalizer of
// SplitMix64.
func mix(key uint64) uint64 {
	key ^= key >> 30
	key *= 0xbf58476d1ce4e5b9
	key ^= key >> 27
	key *= 0x94d049bb133111eb
	return key ^ key>>31
}
