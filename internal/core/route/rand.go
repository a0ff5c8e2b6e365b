package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// source is a SplitMix64 generator whose state is one atomic counter.
type source struct {
	state atomic.Uint64
}

// NewRand returns a seeded generator that is safe for concurrent use without a
// lock, unlike those of math/rand/v2.
func NewRand(seed uint64) *rand.Rand {
	so := &source{}
	so.state.Store(seed)
	return rand.New(so)
}

// Uint64 returns the next number of the sequence.
func (so *source) Uint64() uint64 {
	val := so.state.Add(0x9e3779b97f4a7c15)
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}
