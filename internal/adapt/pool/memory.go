package pool

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// defaultMemory is the number of bytes of response bodies that are held at the same
	// time by default.
	defaultMemory = 32 << 20
	// initialBytes is the first size of a buffer.
	initialBytes = 4 << 10
	// freeBytes is the size up to which a buffer is not accounted for. Sound events and
	// most sound bodies are smaller.
	freeBytes = 64 << 10
)

// errNoMemory means that a body was given up because it was the largest of those that
// did not fit into the memory together.
var errNoMemory = errors.New("the memory for response bodies is used up")

// memory bounds the bytes of the response bodies that are held at the same time. When
// it is used up, the largest body that is being read is given up: a body without an end
// gives way to the sound ones beside it.
type memory struct {
	limit int

	mu   sync.Mutex
	used int
	// reading holds the buffers of bodies that are not complete.
	reading map[*buffer]struct{}
}

func newMemory(limit int) *memory {
	return &memory{limit: limit, reading: map[*buffer]struct{}{}}
}

// account records that the buffer will have a capacity. It gives up the largest buffers
// until all fit, and returns errNoMemory if this one is given up.
func (me *memory) account(bf *buffer, capacity int) error {
	me.mu.Lock()
	defer me.mu.Unlock()
	if bf.givenUp.Load() {
		return errNoMemory
	}
	me.used += capacity - bf.accounted
	bf.accounted = capacity
	me.reading[bf] = struct{}{}
	for me.used > me.limit {
		largest := me.largest()
		me.remove(largest)
		largest.givenUp.Store(true)
		if largest == bf {
			return errNoMemory
		}
		largest.abort()
	}
	return nil
}

// complete records that the body in the buffer is complete, so that giving it up would
// not free its bytes.
func (me *memory) complete(bf *buffer) {
	me.mu.Lock()
	defer me.mu.Unlock()
	delete(me.reading, bf)
}

// release records that the buffer is not held any more.
func (me *memory) release(bf *buffer) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.remove(bf)
}

func (me *memory) remove(bf *buffer) {
	me.used -= bf.accounted
	bf.accounted = 0
	delete(me.reading, bf)
}

func (me *memory) largest() *buffer {
	var largest *buffer
	for bf := range me.reading {
		if largest == nil || bf.accounted > largest.accounted {
			largest = bf
		}
	}
	return largest
}

// buffer holds bytes that were read from a response. buf[from:to] are those that were
// not consumed yet. One goroutine uses it.
type buffer struct {
	memory *memory
	// abort ends a read in progress.
	abort func()
	// accounted is the capacity that memory counts, which guards the field.
	accounted int
	givenUp   atomic.Bool

	buf  []byte
	from int
	to   int
}

func newBuffer(me *memory, abort func()) *buffer { return &buffer{memory: me, abort: abort} }

// bytes returns what was not consumed yet.
func (bf *buffer) bytes() []byte { return bf.buf[bf.from:bf.to] }

// consume returns the next bytes, which are valid until the next read.
func (bf *buffer) consume(count int) []byte {
	bf.from += count
	return bf.buf[bf.from-count : bf.from]
}

// readFrom reads once, after making room. Fewer than limit bytes may be held before, and
// at most limit afterwards.
func (bf *buffer) readFrom(src io.Reader, limit int) error {
	if bf.from > 0 {
		bf.to = copy(bf.buf, bf.bytes())
		bf.from = 0
	}
	if bf.to == len(bf.buf) {
		if err := bf.grow(limit); err != nil {
			return err
		}
	}
	n, err := src.Read(bf.buf[bf.to:])
	bf.to += n
	switch {
	case bf.givenUp.Load():
		return errNoMemory
	case n > 0:
		// The next read returns the error again.
		return nil
	default:
		return err
	}
}

// grow doubles the capacity up to the limit.
func (bf *buffer) grow(limit int) error {
	old := len(bf.buf)
	size := min(max(2*old, initialBytes), limit)
	if size <= freeBytes {
		bf.resize(size)
		return nil
	}
	// Both slices are held while the bytes are copied.
	if err := bf.memory.account(bf, old+size); err != nil {
		return err
	}
	bf.resize(size)
	return bf.memory.account(bf, size)
}

func (bf *buffer) resize(size int) {
	next := make([]byte, size)
	copy(next, bf.buf)
	bf.buf = next
}

// complete records that all has been read.
func (bf *buffer) complete() {
	if len(bf.buf) > freeBytes {
		bf.memory.complete(bf)
	}
}

// release gives the bytes back.
func (bf *buffer) release() {
	if len(bf.buf) > freeBytes {
		bf.memory.release(bf)
	}
	bf.buf, bf.from, bf.to = nil, 0, 0
}
