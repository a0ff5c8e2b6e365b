package client

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// ErrStalled means that no byte of a response arrived for the stall timeout.
var ErrStalled = errors.New("client: the response makes no progress")

// Stall cancels a call when its response makes no progress. A large response on
// a slow link takes longer than a short one and is not cut while bytes arrive.
type Stall struct {
	cancel  context.CancelCauseFunc
	timeout time.Duration

	mu    sync.Mutex
	timer *time.Timer
}

// WithStallTimeout returns a context for a call. It ends with ErrStalled as its
// cause if the header of the response has not arrived by the time headerBy, or
// after that if no byte of the body arrives for the timeout. The caller stops the
// Stall when the call has ended.
func WithStallTimeout(ctx context.Context, headerBy time.Time, timeout time.Duration) (context.Context, *Stall) {
	ctx, cancel := context.WithCancelCause(ctx)
	st := &Stall{cancel: cancel, timeout: timeout}
	st.timer = time.AfterFunc(time.Until(headerBy), func() { cancel(ErrStalled) })
	return ctx, st
}

// Stop ends the supervision and releases the context.
func (st *Stall) Stop() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.timer.Stop()
	st.cancel(context.Canceled)
}

// Body returns the body, each byte of which extends the time of the call.
func (st *Stall) Body(body io.ReadCloser) io.ReadCloser {
	st.extend()
	return stallBody{body, st}
}

func (st *Stall) extend() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.timer.Reset(st.timeout)
}

type stallBody struct {
	io.ReadCloser
	st *Stall
}

// progressBytes is the largest read of a body. The reader of a chunked body fills
// the whole buffer before it returns, so that larger reads would hide progress.
const progressBytes = 4 << 10

// Read reads from the body.
func (sb stallBody) Read(buf []byte) (int, error) {
	n, err := sb.ReadCloser.Read(buf[:min(len(buf), progressBytes)])
	if n > 0 {
		sb.st.extend()
	}
	return n, err
}
