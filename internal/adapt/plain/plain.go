// Package plain implements the upstream port for a plain HTTP service.
package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// maxChunkBytes is the maximum size of a chunk of a response.
const maxChunkBytes = 32 << 10

// idempotencyKeyHeader is in lower case on purpose: net/http repeats a request with
// the header "Idempotency-Key" when a kept-alive connection breaks, and a call must
// not be sent twice.
const idempotencyKeyHeader = "idempotency-key"

// Service is an engine.Upstream. A response with any HTTP status is a result; only
// a missing or incomplete response is an error.
type Service struct {
	base             string
	headers          []string
	maxResponseBytes int64
	hc, noKeepAlive  *http.Client
	clk              clock.Clock
}

var _ engine.Upstream = (*Service)(nil)

// Option configures a Service.
type Option func(*Service)

// WithHeaders sets the request headers that are forwarded. The default is Accept,
// Accept-Language, Content-Type, Traceparent and Tracestate.
func WithHeaders(names ...string) Option {
	return func(sv *Service) {
		sv.headers = nil
		for _, name := range names {
			sv.headers = append(sv.headers, textproto.CanonicalMIMEHeaderKey(name))
		}
	}
}

// WithMaxResponseBytes sets the maximum size of a response in bytes. The default
// is 16 MiB.
func WithMaxResponseBytes(n int64) Option { return func(sv *Service) { sv.maxResponseBytes = n } }

// WithClock sets the clock for the timestamps of load reports. The default is the
// system clock.
func WithClock(clk clock.Clock) Option { return func(sv *Service) { sv.clk = clk } }

// New returns the service at the base URL.
func New(baseURL string, opts ...Option) *Service {
	sv := &Service{
		base: strings.TrimSuffix(baseURL, "/"), maxResponseBytes: 16 << 20, clk: clock.System{},
		headers: []string{"Accept", "Accept-Language", "Content-Type", "Traceparent", "Tracestate"},
		hc:      client.New(client.WithoutReuseAfterErrors()), noKeepAlive: client.New(client.WithoutKeepAlives()),
	}
	for _, opt := range opts {
		opt(sv)
	}
	return sv
}

// Run forwards the call and passes the body of the response to emit.
func (sv *Service) Run(ctx context.Context, ca engine.Call, emit func(engine.Chunk) error) (engine.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	re, err := sv.request(ctx, ca)
	if err != nil {
		return engine.Result{}, refuse.New(refuse.BadRequest, "%v", err)
	}
	resp, sent, err := client.Do(sv.clientFor(ca), re)
	if err != nil && !sent {
		return engine.Result{}, client.Unsent(err)
	}
	if err != nil {
		return engine.Result{}, client.NoResponse(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return result(resp), sv.copy(resp.Body, emit)
}

// clientFor returns the client without keep-alive for a call that has a key and a
// method for which net/http may repeat requests.
func (sv *Service) clientFor(ca engine.Call) *http.Client {
	switch ca.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if ca.Key != "" {
			return sv.noKeepAlive
		}
	}
	return sv.hc
}

// request returns the HTTP request for the call.
func (sv *Service) request(ctx context.Context, ca engine.Call) (*http.Request, error) {
	if err := checkPath(ca.Path); err != nil {
		return nil, err
	}
	re, err := http.NewRequestWithContext(ctx, ca.Method, sv.base+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		return nil, err
	}
	for _, fi := range ca.Header {
		name := textproto.CanonicalMIMEHeaderKey(fi.Name)
		if slices.Contains(sv.headers, name) && !strings.HasSuffix(name, "Idempotency-Key") {
			re.Header.Add(fi.Name, fi.Value)
		}
	}
	re.Header.Set("X-Request-Id", string(ca.Request))
	if ca.Key != "" {
		re.Header[idempotencyKeyHeader] = []string{string(ca.Key)}
	}
	return re, nil
}

// checkPath refuses a path that leads to another service, or out of the route for
// which the call was admitted.
func checkPath(path string) error {
	ur, err := url.Parse(path)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(path, "/") || ur.Host != "" || ur.Scheme != "" {
		return errors.New("the path does not start with / or contains a scheme or a host")
	}
	for _, seg := range strings.Split(ur.Path, "/") {
		if seg == "." || seg == ".." {
			return errors.New("the path contains a dot segment")
		}
	}
	return nil
}

// result returns the status and the forwarded header fields of the response.
func result(resp *http.Response) engine.Result {
	res := engine.Result{Status: resp.StatusCode}
	for _, name := range []string{"Content-Type", "Location"} {
		if val := resp.Header.Get(name); val != "" {
			res.Header = append(res.Header, engine.Field{Name: name, Value: val})
		}
	}
	return res
}

// copy passes the body to emit in chunks. The service may have executed the call,
// so an incomplete body leaves the outcome unknown.
func (sv *Service) copy(body io.Reader, emit func(engine.Chunk) error) error {
	left := sv.maxResponseBytes
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := body.Read(buf)
		if left -= int64(n); left < 0 {
			return refuse.New(refuse.UpstreamFailed, "the response exceeds %d bytes", sv.maxResponseBytes)
		}
		if n > 0 {
			if err := emit(engine.Chunk{Data: bytes.Clone(buf[:n])}); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			return refuse.New(refuse.Truncated, "the response is incomplete")
		default:
			return client.NoResponse(err)
		}
	}
}

// Load returns the load report of the service.
func (sv *Service) Load(ctx context.Context) (engine.Load, error) {
	return client.FetchLoad(ctx, sv.hc, sv.base+"/load", sv.clk.Now())
}

// Order refuses every order, because a plain service does not accept orders.
func (sv *Service) Order(context.Context, engine.Order) error {
	return refuse.New(refuse.Rejected, "a plain service does not accept orders")
}
