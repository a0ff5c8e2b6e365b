package place

import (
	"sync/atomic"
	"time"
)

const (
	// warmSlots is the number of remembered pairs of a prompt part and an
	// upstream. At the planned size a router sends about 14 prompts a second
	// with up to three shared parts, so that 32768 slots cover ten minutes.
	warmSlots = 1 << 15
	tagBits   = 24
	timeBits  = 64 - tagBits
)

// Warm remembers which upstream lately read which prefix of a prompt. Entries
// overwrite each other; a wrong answer costs time and nothing else. Its methods
// are safe for concurrent use and take no lock.
type Warm struct {
	slots []atomic.Uint64
	life  time.Duration
}

// NewWarm returns an empty memory whose entries last for life.
func NewWarm(life time.Duration) *Warm {
	return &Warm{slots: make([]atomic.Uint64, warmSlots), life: life}
}

// Note records that the upstream has read the prefix.
func (wa *Warm) Note(prefix, upstream uint64, now time.Time) {
	at, tag := wa.place(prefix, upstream)
	at.Store(tag<<timeBits | uint64(now.UnixMilli())&(1<<timeBits-1))
}

// Has reports whether the upstream has probably kept the prefix.
func (wa *Warm) Has(prefix, upstream uint64, now time.Time) bool {
	at, tag := wa.place(prefix, upstream)
	val := at.Load()
	if val == 0 || val>>timeBits != tag {
		return false
	}
	// The time is kept modulo 2^40 ms, which is 34 years.
	age := (uint64(now.UnixMilli()) - val) & (1<<timeBits - 1)
	return age < uint64(wa.life.Milliseconds())
}

func (wa *Warm) place(prefix, upstream uint64) (*atomic.Uint64, uint64) {
	key := mix(prefix ^ upstream)
	return &wa.slots[key%warmSlots], key >> timeBits
}

// mix spreads the bits of a number over all positions (finalizer of
// SplitMix64).
func mix(key uint64) uint64 {
	key ^= key >> 30
	key *= 0xbf58476d1ce4e5b9
	key ^= key >> 27
	key *= 0x94d049bb133111eb
	return key ^ key>>31
}
