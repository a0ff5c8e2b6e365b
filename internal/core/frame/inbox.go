package frame

import (
	"errors"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

var (
	// ErrForeign means that a frame belongs to another request or attempt.
	ErrForeign = errors.New("frame: frame of another attempt")
	// ErrLate means that a frame arrived after the answer had ended.
	ErrLate = errors.New("frame: frame after the end of the answer")
	// ErrGap means that more frames are missing than the window allows for.
	ErrGap = errors.New("frame: gap exceeds the window")
	// ErrTruncated means that the frames do not match the final count, or that
	// the stream ended without it.
	ErrTruncated = errors.New("frame: answer truncated")
)

// Inbox reassembles the frames of one attempt. It is not safe for concurrent
// use.
type Inbox[T any] struct {
	request ident.Request
	attempt uint32
	next    uint64
	highest uint64
	count   uint64
	final   bool
	window  uint64
	early   map[uint64]T
}

// NewInbox returns an inbox for the attempt. window bounds how far a frame may
// be ahead of the next one that is expected.
func NewInbox[T any](request ident.Request, attempt uint32, window uint64) *Inbox[T] {
	return &Inbox[T]{request: request, attempt: attempt, next: 1, window: window, early: make(map[uint64]T)}
}

// From returns an inbox that expects the frame with number next first, for a
// stream that is resumed there.
func (in *Inbox[T]) From(next uint64) *Inbox[T] {
	re := NewInbox[T](in.request, in.attempt, in.window)
	re.next = max(1, next)
	return re
}

// Put adds the frame with number seq and reports whether it is new. A
// duplicate is dropped. A frame that cannot belong to the answer is an error.
func (in *Inbox[T]) Put(request ident.Request, attempt uint32, seq uint64, val T) (bool, error) {
	if err := in.own(request, attempt); err != nil {
		return false, err
	}
	if in.Complete() {
		return false, ErrLate
	}
	if _, held := in.early[seq]; held || seq < in.next {
		return false, nil
	}
	if in.final && seq > in.count {
		return false, fmt.Errorf("%w: frame %d of %d", ErrTruncated, seq, in.count)
	}
	if seq-in.next >= in.window {
		return false, fmt.Errorf("%w: frame %d, expected %d", ErrGap, seq, in.next)
	}
	in.early[seq] = val
	in.highest = max(in.highest, seq)
	return true, nil
}

// Take returns the next frame in order and its number, if it has arrived.
func (in *Inbox[T]) Take() (T, uint64, bool) {
	val, ok := in.early[in.next]
	if !ok {
		return val, 0, false
	}
	seq := in.next
	delete(in.early, seq)
	in.next++
	return val, seq, true
}

// Next returns the number of the next frame to be taken. A resumed stream
// starts there.
func (in *Inbox[T]) Next() uint64 { return in.next }

// Gap reports whether a frame is missing before one that has arrived.
func (in *Inbox[T]) Gap() bool {
	_, ok := in.early[in.next]
	return !ok && len(in.early) > 0
}

// End records the final count. It is an error if more frames have arrived or
// if another count was recorded.
func (in *Inbox[T]) End(request ident.Request, attempt uint32, count uint64) error {
	if err := in.own(request, attempt); err != nil {
		return err
	}
	if in.highest > count || in.final && in.count != count {
		return fmt.Errorf("%w: final count %d, received frame %d", ErrTruncated, count, in.highest)
	}
	in.final, in.count = true, count
	return nil
}

// Complete reports whether the final count has arrived and all frames up to it
// were taken.
func (in *Inbox[T]) Complete() bool { return in.final && in.next > in.count }

// Close returns ErrTruncated unless the answer is complete.
func (in *Inbox[T]) Close() error {
	if in.Complete() {
		return nil
	}
	if !in.final {
		return fmt.Errorf("%w: no final frame after frame %d", ErrTruncated, in.next-1)
	}
	return fmt.Errorf("%w: %d of %d frames", ErrTruncated, in.next-1, in.count)
}

func (in *Inbox[T]) own(request ident.Request, attempt uint32) error {
	if request != in.request || attempt != in.attempt {
		return fmt.Errorf("%w: %s/%d, expected %s/%d", ErrForeign, request, attempt, in.request, in.attempt)
	}
	return nil
}
