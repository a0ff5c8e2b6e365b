package client

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/flow"
	"github.com/balsamwood/balsamwood/internal/core/shed"
)

const (
	// congestionAllowance is how much longer a call may take while the router's own link
	// is congested. Each direction of the link may hold half a second of packets.
	congestionAllowance = time.Second
	// congestionInterval is the time between two looks at the link of an overdue call.
	congestionInterval = 100 * time.Millisecond
)

// timeoutError is a timeout, like net.Error.
type timeoutError string

// Error returns the text of the error.
func (te timeoutError) Error() string { return string(te) }

// Timeout reports true.
func (timeoutError) Timeout() bool { return true }

// errNotConnected means that a connection was not opened in time.
const errNotConnected = timeoutError("client: no connection in time")

// expiry ends a call at its deadline. While the router's own link is congested the call
// may wait in the queue of the link, and goes on for up to congestionAllowance.
type expiry struct {
	end func()

	mu    sync.Mutex
	link  *shed.Link
	timer *time.Timer
	// latest is when the call ends whatever the state of the link.
	latest time.Time
}

// newExpiry returns an expiry that calls end at the deadline. The link may be nil. The
// caller calls stop.
func newExpiry(deadline time.Time, li *shed.Link, end func()) *expiry {
	ex := &expiry{end: end, link: li, latest: deadline.Add(congestionAllowance)}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.timer = time.AfterFunc(time.Until(deadline), ex.expire)
	return ex
}

// useLink sets the link that the call uses.
func (ex *expiry) useLink(li *shed.Link) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.link = li
}

// reset sets a new deadline.
func (ex *expiry) reset(deadline time.Time) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.latest = deadline.Add(congestionAllowance)
	ex.timer.Reset(time.Until(deadline))
}

func (ex *expiry) stop() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.timer.Stop()
}

func (ex *expiry) expire() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	now := time.Now()
	if ex.link == nil || !now.Before(ex.latest) || !ex.link.Congested(now) {
		ex.end()
		return
	}
	ex.timer.Reset(min(congestionInterval, ex.latest.Sub(now)))
}

// dialInTime returns the function with a timeout.
func dialInTime(dial flow.Dial, timeout time.Duration, li *shed.Link) flow.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		ex := newExpiry(time.Now().Add(timeout), li, func() { cancel(errNotConnected) })
		defer ex.stop()
		nc, err := dial(ctx, network, addr)
		if err != nil && context.Cause(ctx) == errNotConnected {
			return nil, fmt.Errorf("dial %s %s: %w", network, addr, errNotConnected)
		}
		return nc, err
	}
}
