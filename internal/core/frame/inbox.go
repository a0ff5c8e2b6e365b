package frame

import (
	"errors"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

var (
	// ErrWrongAttempt means that a frame belongs to another request or attempt.
	ErrWrongAttempt = errors.New("frame: frame of another attempt")
	// ErrAfterEnd means that a frame arrived after the end of the response.
	ErrAfterEnd = errors.New("frame: frame after the end of the response")
	// ErrGap means that a frame is further ahead than the window allows.
	ErrGap = errors.New("frame: gap exceeds the window")
	// ErrTruncated means that the frames do not match the final count, or that
	// the stream ended without a final count.
	ErrTruncated = errors.New("frame: response truncated")
)

// Reassembler reassembles the frames of one attempt. It is not safe for concurrent
// use.
type Reassembler[T any] struct {
	request       ident.Request
	attempt       uint32
	next          uint64
	highest       uint64
	finalCount    uint64
	hasFinalCount bool
	window        uint64
	buffered      map[uint64]T
}

// NewReassembler returns an inbox for the attempt. window bounds how far a frame may
// be ahead of the next expected one.
func NewReassembler[T any](request ident.Request, attempt uint32, window uint64) *Reassembler[T] {
	return &Reassembler[T]{request: request, attempt: attempt, next: 1, window: window, buffered: make(map[uint64]T)}
}

// ResumedAt returns an inbox whose first expected frame has the number next, for a
// stream that is resumed there.
func (in *Reassembler[T]) ResumedAt(next uint64) *Reassembler[T] {
	re := NewReassembler[T](in.request, in.attempt, in.window)
	re.next = max(1, next)
	return re
}

// Put adds the frame with number seq and reports whether it is new. A
// duplicate is dropped. A frame that cannot belong to the response is an error.
func (in *Reassembler[T]) Put(request ident.Request, attempt uint32, seq uint64, val T) (bool, error) {
	if err := in.checkAttempt(request, attempt); err != nil {
		return false, err
	}
	if in.Complete() {
		return false, ErrAfterEnd
	}
	if _, buffered := in.buffered[seq]; buffered || seq < in.next {
		return false, nil
	}
	if in.hasFinalCount && seq > in.finalCount {
		return false, fmt.Errorf("%w: frame %d of %d", ErrTruncated, seq, in.finalCount)
	}
	if seq-in.next >= in.window {
		return false, fmt.Errorf("%w: frame %d, expected %d", ErrGap, seq, in.next)
	}
	in.buffered[seq] = val
	in.highest = max(in.highest, seq)
	return true, nil
}

// Take returns the next frame in order and its number, if it has arrived.
func (in *Reassembler[T]) Take() (T, uint64, bool) {
	val, ok := in.buffered[in.next]
	if !ok {
		return val, 0, false
	}
	seq := in.next
	delete(in.buffered, seq)
	in.next++
	return val, seq, true
}

// Next returns the number of the next frame to be taken. A resumed stream
// starts there.
func (in *Reassembler[T]) Next() uint64 { return in.next }

// HasGap reports whether a frame is missing before one that has arrived.
func (in *Reassembler[T]) HasGap() bool {
	_, ok := in.buffered[in.next]
	return !ok && len(in.buffered) > 0
}

// SetFinalCount records the final count. It is an error if more frames have arrived or
// if another count was recorded.
func (in *Reassembler[T]) SetFinalCount(request ident.Request, attempt uint32, count uint64) error {
	if err := in.checkAttempt(request, attempt); err != nil {
		return err
	}
	if in.highest > count || in.hasFinalCount && in.finalCount != count {
		return fmt.Errorf("%w: final count %d, received frame %d", ErrTruncated, count, in.highest)
	}
	in.hasFinalCount, in.finalCount = true, count
	return nil
}

// Complete reports whether the final count is known and all frames up to it were
// taken.
func (in *Reassembler[T]) Complete() bool { return in.hasFinalCount && in.next > in.finalCount }

// Close returns ErrTruncated unless the response is complete.
func (in *Reassembler[T]) Close() error {
	if in.Complete() {
		return nil
	}
	if !in.hasFinalCount {
		return fmt.Errorf("%w: no final frame after frame %d", ErrTruncated, in.next-1)
	}
	return fmt.Errorf("%w: %d of %d frames", ErrTruncated, in.next-1, in.finalCount)
}

func (in *Reassembler[T]) checkAttempt(request ident.Request, attempt uint32) error {
	if request != in.request || attempt != in.attempt {
		return fmt.Errorf("%w: %s/%d, expected %s/%d", ErrWrongAttempt, request, attempt, in.request, in.attempt)
	}
	return nil
}
