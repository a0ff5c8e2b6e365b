// Package client is the HTTP client side that the adapters share: a pooled
// transport without proxies and redirects, and proof of whether a request was
// sent.
package client

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("client: body exceeds its limit")

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 64 << 10

type settings struct {
	idle    int
	dial    time.Duration
	idleFor time.Duration
	fresh   bool
}

// Option configures a client.
type Option func(*settings)

// WithIdle sets the number of idle connections that are kept per host. The
// default is 256, enough for the slots of one engine; at least 1.
func WithIdle(n int) Option { return func(se *settings) { se.idle = n } }

// WithDialTimeout sets the time that one connection may take to open. The
// default is 2 s.
func WithDialTimeout(d time.Duration) Option { return func(se *settings) { se.dial = d } }

// WithIdleTimeout sets the time after which an idle connection is closed. The
// default is 60 s.
func WithIdleTimeout(d time.Duration) Option { return func(se *settings) { se.idleFor = d } }

// WithFresh makes every request open its own connection. By default
// connections are kept. On a kept connection net/http repeats a request that
// it takes for idempotent when the answer is lost.
func WithFresh() Option { return func(se *settings) { se.fresh = true } }

// New returns a client. Requests are bounded by their contexts only.
func New(opts ...Option) *http.Client {
	se := settings{idle: 256, dial: 2 * time.Second, idleFor: 60 * time.Second}
	for _, opt := range opts {
		opt(&se)
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: se.dial}).DialContext,
			MaxIdleConnsPerHost: se.idle,
			IdleConnTimeout:     se.idleFor,
			DisableCompression:  true,
			DisableKeepAlives:   se.fresh,

			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		// A redirect of a POST with status 307 would send it twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends the request. When it fails, sent reports whether the request may
// have reached the server: it is false only if no connection was obtained.
func Do(hc *http.Client, re *http.Request) (resp *http.Response, sent bool, err error) {
	var conn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { conn.Store(true) }}
	resp, err = hc.Do(re.WithContext(httptrace.WithClientTrace(re.Context(), trace)))
	return resp, conn.Load(), err
}

// ReadAll reads the body up to limit bytes and closes it.
func ReadAll(body io.ReadCloser, limit int64) ([]byte, error) {
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	return data, nil
}
