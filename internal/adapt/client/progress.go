package client

import (
	"context"
	"io"
	"sync"
	"time"
)

// ErrStalled means that a response arrived more slowly than the lowest rate.
const ErrStalled = timeoutError("client: the response makes no progress")

// Rate is a lowest rate of a transfer: at least Bytes in each Window.
type Rate struct {
	Bytes  int
	Window time.Duration
}

// WithLowestRate returns a context for one call of Do. It ends with ErrStalled as its
// cause if the header of the response has not arrived by the time headerBy, or after
// that if the body arrives more slowly than the rate. There is no limit on the whole
// transfer, which depends on the size of the response and on the link. While the link of
// the client is congested, the call goes on for up to a second longer. The caller calls
// stop when it has read the body.
func WithLowestRate(ctx context.Context, headerBy time.Time, rate Rate) (rateCtx context.Context, stop context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	pr := &progress{rate: rate, expiry: newExpiry(headerBy, nil, func() { cancel(ErrStalled) })}
	return context.WithValue(ctx, progressKey{}, pr), func() {
		pr.expiry.stop()
		cancel(context.Canceled)
	}
}

// progressKey is the key of the progress in a context.
type progressKey struct{}

// progress ends a call when its response arrives too slowly.
type progress struct {
	rate   Rate
	expiry *expiry

	mu sync.Mutex
	// received counts the bytes since the deadline was set.
	received int
}

// bodyWithProgress returns the body, which extends the time of the call as it
// arrives. It returns the body itself if the context has no lowest rate.
func bodyWithProgress(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	pr, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return body
	}
	pr.record(pr.rate.Bytes)
	return progressBody{body, pr}
}

// record counts received bytes. As many as the rate asks for extend the time.
func (pr *progress) record(bytes int) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.received += bytes; pr.received >= pr.rate.Bytes {
		pr.received = 0
		pr.expiry.reset(time.Now().Add(pr.rate.Window))
	}
}

type progressBody struct {
	io.ReadCloser
	pr *progress
}

// progressBytes is the largest read of a body. The reader of a chunked body fills
// the whole buffer before it returns, so that larger reads would hide progress.
const progressBytes = 4 << 10

// Read reads from the body.
func (pb progressBody) Read(buf []byte) (int, error) {
	n, err := pb.ReadCloser.Read(buf[:min(len(buf), progressBytes)])
	if n > 0 {
		pb.pr.record(n)
	}
	return n, err
}
