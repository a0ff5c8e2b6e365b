// Package frame implements the two ends of an ordered stream of chunks: a bounded
// buffer that the sender can replay, and the reassembly at the receiver.
package frame

import "errors"

var (
	// ErrFull means that the buffer has no space until the reader acknowledges
	// more items. Nothing was stored; the producer waits or fails.
	ErrFull = errors.New("frame: buffer full")
	// ErrTooLarge means that a single item exceeds the size of the buffer.
	ErrTooLarge = errors.New("frame: item exceeds the buffer size")
	// ErrDiscarded means that the item was acknowledged and discarded.
	ErrDiscarded = errors.New("frame: item no longer in the buffer")
)

// ReplayBuffer is a bounded buffer of items numbered from 1. Acknowledged items
// stay readable until their space is needed, so that a second reader can start
// at the first item of a short response. It is not safe for concurrent use.
type ReplayBuffer[T any] struct {
	items    []sizedItem[T]
	head     int
	first    uint64
	acked    uint64
	bytes    int
	maxBytes int
	maxItems int
}

type sizedItem[T any] struct {
	val  T
	size int
}

// NewReplayBuffer returns an empty buffer that holds at most maxItems items with
// maxBytes bytes in total.
func NewReplayBuffer[T any](maxBytes, maxItems int) *ReplayBuffer[T] {
	return &ReplayBuffer[T]{first: 1, maxBytes: maxBytes, maxItems: maxItems}
}

// First returns the number of the oldest item in the buffer, or of the next item
// if the buffer is empty.
func (re *ReplayBuffer[T]) First() uint64 { return re.first }

// Last returns the number of the newest item appended, or 0.
func (re *ReplayBuffer[T]) Last() uint64 { return re.first + uint64(re.Len()) - 1 }

// Len returns the number of items in the buffer.
func (re *ReplayBuffer[T]) Len() int { return len(re.items) - re.head }

// Bytes returns the total size of the items in the buffer.
func (re *ReplayBuffer[T]) Bytes() int { return re.bytes }

// Append stores an item of the given size and returns its number. It returns
// ErrFull if the items that are not acknowledged leave no space.
func (re *ReplayBuffer[T]) Append(val T, size int) (uint64, error) {
	if size > re.maxBytes || re.maxItems < 1 {
		return 0, ErrTooLarge
	}
	for re.bytes+size > re.maxBytes || re.Len() >= re.maxItems {
		if re.first > re.acked {
			return 0, ErrFull
		}
		re.dropOldest()
	}
	re.items = append(re.items, sizedItem[T]{val: val, size: size})
	re.bytes += size
	return re.Last(), nil
}

// Read returns the item with the given number and whether it exists yet. It
// returns ErrDiscarded if the item is no longer in the buffer.
func (re *ReplayBuffer[T]) Read(seq uint64) (T, bool, error) {
	var zero T
	if seq < re.first {
		return zero, false, ErrDiscarded
	}
	if seq > re.Last() {
		return zero, false, nil
	}
	return re.items[re.head+int(seq-re.first)].val, true, nil
}

// Ack allows all items up to seq to be discarded when space is needed.
func (re *ReplayBuffer[T]) Ack(seq uint64) { re.acked = max(re.acked, min(seq, re.Last())) }

// Trim acknowledges all items up to seq and discards them at once.
func (re *ReplayBuffer[T]) Trim(seq uint64) {
	re.Ack(seq)
	for re.Len() > 0 && re.first <= min(seq, re.acked) {
		re.dropOldest()
	}
}

func (re *ReplayBuffer[T]) dropOldest() {
	re.bytes -= re.items[re.head].size
	re.items[re.head] = sizedItem[T]{}
	re.head++
	re.first++
	// Compacting only when at least half of the slice is free keeps the
	// amortized cost per item constant.
	if re.head*2 >= len(re.items) {
		kept := copy(re.items, re.items[re.head:])
		clear(re.items[kept:])
		re.items, re.head = re.items[:kept], 0
	}
}
