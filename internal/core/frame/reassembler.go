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

// Reassembler puts the frames of one attempt into order. It is not safe for
// concurrent use.
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

// NewReassembler returns a reassembler for the attempt. window bounds how far a
// frame may be ahead of the next expected one.
func NewReassembler[T any](request ident.Request, attempt uint32, window uint64) *Reassembler[T] {
	return &Reassembler[T]{request: request, attempt: attempt, next: 1, window: window, buffered: make(map[uint64]T)}
}

// ResumedAt returns a reassembler whose first expected frame has the number
// next, for a stream that is resumed there.
func (ra *Reassembler[T]) ResumedAt(next uint64) *Reassembler[T] {
	re := NewReassembler[T](ra.request, ra.attempt, ra.window)
	re.next = max(1, next)
	return re
}

// Put adds the frame with number seq and reports whether it is new. A
// duplicate is dropped. A frame that cannot belong to the response is an error.
func (ra *Reassembler[T]) Put(request ident.Request, attempt uint32, seq uint64, val T) (bool, error) {
	if err := ra.checkAttempt(request, attempt); err != nil {
		return false, err
	}
	if ra.Complete() {
		return false, ErrAfterEnd
	}
	if _, buffered := ra.buffered[seq]; buffered || seq < ra.next {
		return false, nil
	}
	if ra.hasFinalCount && seq > ra.finalCount {
		return false, fmt.Errorf("%w: frame %d of %d", ErrTruncated, seq, ra.finalCount)
	}
	if seq-ra.next >= ra.window {
		return false, fmt.Errorf("%w: frame %d, expected %d", ErrGap, seq, ra.next)
	}
	ra.buffered[seq] = val
	ra.highest = max(ra.highest, seq)
	return true, nil
}

// Take returns the next frame in order and its number, if it has arrived.
func (ra *Reassembler[T]) Take() (T, uint64, bool) {
	val, ok := ra.buffered[ra.next]
	if !ok {
		return val, 0, false
	}
	seq := ra.next
	delete(ra.buffered, seq)
	ra.next++
	return val, seq, true
}

// Next returns the number of the next frame to be taken. A resumed stream
// starts there.
func (ra *Reassembler[T]) Next() uint64 { return ra.next }

// HasGap reports whether a frame is missing before one that has arrived.
func (ra *Reassembler[T]) HasGap() bool {
	_, ok := ra.buffered[ra.next]
	return !ok && len(ra.buffered) > 0
}

// SetFinalCount records the final count. It is an error if more frames have
// arrived or if another count was recorded.
func (ra *Reassembler[T]) SetFinalCount(request ident.Request, attempt uint32, count uint64) error {
	if err := ra.checkAttempt(request, attempt); err != nil {
		return err
	}
	if ra.highest > count || ra.hasFinalCount && ra.finalCount != count {
		return fmt.Errorf("%w: final count %d, received frame %d", ErrTruncated, count, ra.highest)
	}
	ra.hasFinalCount, ra.finalCount = true, count
	return nil
}

// Complete reports whether the final count is known and all frames up to it were
// taken.
func (ra *Reassembler[T]) Complete() bool { return ra.hasFinalCount && ra.next > ra.finalCount }

// Close returns ErrTruncated unless the response is complete.
func (ra *Reassembler[T]) Close() error {
	if ra.Complete() {
		return nil
	}
	if !ra.hasFinalCount {
		return fmt.Errorf("%w: no final frame after frame %d", ErrTruncated, ra.next-1)
	}
	return fmt.Errorf("%w: %d of %d frames", ErrTruncated, ra.next-1, ra.finalCount)
}

func (ra *Reassembler[T]) checkAttempt(request ident.Request, attempt uint32) error {
	if request != ra.request || attempt != ra.attempt {
		return fmt.Errorf("%w: %s/%d, expected %s/%d", ErrWrongAttempt, request, attempt, ra.request, ra.attempt)
	}
	return nil
}
