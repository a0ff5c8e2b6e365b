// Package client is the HTTP client that the adapters share. It pools
// connections, uses no proxies, follows no redirects and tells whether a request
// may have been sent.
package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/flow"
	"github.com/balsamwood/balsamwood/internal/adapt/sock"
	"github.com/balsamwood/balsamwood/internal/core/shed"
)

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("client: body exceeds its limit")

// maxHeaderBytes bounds the header of a response.
const maxHeaderBytes = 64 << 10

type settings struct {
	maxIdleConns      int
	dialTimeout       time.Duration
	idleTimeout       time.Duration
	disableKeepAlives bool
	// noReuseAfterErrors says that connections are not reused after error statuses.
	noReuseAfterErrors bool
	dial               func(ctx context.Context, network, addr string) (net.Conn, error)
	link               *shed.Link
}

// Option configures a client.
type Option func(*settings)

// WithMaxIdleConns sets the maximum number of idle connections per host. The
// default is 256, enough for the slots of one engine; the minimum is 1.
func WithMaxIdleConns(n int) Option { return func(se *settings) { se.maxIdleConns = n } }

// WithDialTimeout sets the timeout for opening a connection, which is up to a second
// longer while the link is congested. The default is 2 s.
func WithDialTimeout(d time.Duration) Option { return func(se *settings) { se.dialTimeout = d } }

// WithIdleTimeout sets the time after which an idle connection is closed. The
// default is 60 s.
func WithIdleTimeout(d time.Duration) Option { return func(se *settings) { se.idleTimeout = d } }

// WithDial sets the function that opens connections. The default is TCP.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(se *settings) { se.dial = dial }
}

// WithLink sets the link on which the bytes of the connections are counted, and whose
// congestion extends timeouts. The default is none.
func WithLink(li *shed.Link) Option { return func(se *settings) { se.link = li } }

// WithoutKeepAlives makes every request open its own connection. By default,
// connections are reused. On a reused connection, net/http repeats a request that
// it considers idempotent when the response is lost.
func WithoutKeepAlives() Option { return func(se *settings) { se.disableKeepAlives = true } }

// New returns a client. Only the context of a request limits its duration.
func New(opts ...Option) *http.Client {
	se := settings{maxIdleConns: 256, dialTimeout: 2 * time.Second, idleTimeout: 60 * time.Second}
	for _, opt := range opts {
		opt(&se)
	}
	if se.dial == nil {
		se.dial = (&net.Dialer{}).DialContext
	}
	dial := dialInTime(se.dial, se.dialTimeout, se.link).With(func(nc net.Conn) net.Conn { return sock.NewConn(nc) })
	dial = flow.CountingDial(dial, se.link)
	dial = dial.With(func(nc net.Conn) net.Conn { return &errorConn{Conn: nc, noReuse: se.noReuseAfterErrors} })
	hc := &http.Client{
		// A redirect of a POST with status 307 would send it twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	tr := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: se.maxIdleConns,
		IdleConnTimeout:     se.idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   se.disableKeepAlives,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	hc.Transport = tr
	if se.link != nil {
		hc.Transport = linkTransport{tr, se.link}
	}
	return hc
}

// linkTransport makes calls over a link, whose congestion extends their deadlines.
type linkTransport struct {
	*http.Transport
	link *shed.Link
}

// RoundTrip makes a call.
func (lt linkTransport) RoundTrip(re *http.Request) (*http.Response, error) {
	if pr, ok := re.Context().Value(progressKey{}).(*progress); ok {
		pr.expiry.useLink(lt.link)
	}
	return lt.Transport.RoundTrip(re)
}

// Do sends the request. After an error, sent reports whether the request may
// have reached the server; it is false only if no connection was obtained. A lowest
// rate of the request's context applies.
func Do(hc *http.Client, re *http.Request) (resp *http.Response, sent bool, err error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) }}
	resp, err = hc.Do(re.WithContext(httptrace.WithClientTrace(re.Context(), trace)))
	used := conn.Load()
	if err != nil {
		return resp, used != nil, err
	}
	if err := checkResponse(used, resp); err != nil {
		_ = resp.Body.Close()
		return nil, true, err
	}
	resp.Body = bodyWithProgress(re.Context(), resp.Body)
	return resp, used != nil, nil
}

// ReadAll reads the body up to limit bytes and closes it. The error of a read says
// how much of the body had arrived.
func ReadAll(body io.ReadCloser, limit int64) ([]byte, error) {
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("after %d bytes: %w", len(data), err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	return data, nil
}
