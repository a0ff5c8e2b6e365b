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

// WithStallTimeout returns a context for one call of Do. It ends with ErrStalled as
// its cause if the header of the response has not arrived by the time headerBy, or
// after that if no byte of the body arrives for the timeout. A large response on a
// slow link is not cut while bytes arrive. The caller calls stop when it has read
// the body.
func WithStallTimeout(ctx context.Context, headerBy time.Time, timeout time.Duration) (stallCtx context.Context, stop context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	st := &stall{timeout: timeout, timer: time.AfterFunc(time.Until(headerBy), func() { cancel(ErrStalled) })}
	return context.WithValue(ctx, stallKey{}, st), func() {
		st.stop()
		cancel(context.Canceled)
	}
}

// stallKey is the key of the stall in a context.
type stallKey struct{}

// stall ends a call when its response makes no progress.
type stall struct {
	timeout time.Duration

	mu    sync.Mutex
	timer *time.Timer
}

// bodyWithStall returns the body, each byte of which extends the time of the call. It
// returns the body itself if the context has no stall timeout.
func bodyWithStall(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	st, ok := ctx.Value(stallKey{}).(*stall)
	if !ok {
		return body
	}
	st.extend()
	return stallBody{body, st}
}

func (st *stall) extend() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.timer.Reset(st.timeout)
}

func (st *stall) stop() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.timer.Stop()
}

type stallBody struct {
	io.ReadCloser
	st *stall
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
