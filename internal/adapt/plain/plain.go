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

// chunkBytes is the largest part of an answer in one chunk.
const chunkBytes = 32 << 10

// keyHeader is written in lower case on purpose: net/http repeats a request
// that carries "Idempotency-Key" when a kept connection breaks, and a call must
// not be sent twice.
const keyHeader = "idempotency-key"

// Service is an engine.Upstream. Any HTTP status is an answer of the service;
// only a missing or incomplete answer is an error.
type Service struct {
	base      string
	headers   []string
	maxAnswer int64
	hc, fresh *http.Client
	clk       clock.Clock
}

var _ engine.Upstream = (*Service)(nil)

// Option configures a Service.
type Option func(*Service)

// WithHeaders sets the request headers that are passed on. The default is
// Accept, Accept-Language, Content-Type, Traceparent and Tracestate.
func WithHeaders(names ...string) Option {
	return func(sv *Service) {
		sv.headers = nil
		for _, name := range names {
			sv.headers = append(sv.headers, textproto.CanonicalMIMEHeaderKey(name))
		}
	}
}

// WithMaxAnswer sets the largest answer in bytes. The default is 16 MiB.
func WithMaxAnswer(n int64) Option { return func(sv *Service) { sv.maxAnswer = n } }

// WithClock sets the clock that dates load reports. The default is the system
// clock.
func WithClock(clk clock.Clock) Option { return func(sv *Service) { sv.clk = clk } }

// New returns the service at the base URL.
func New(baseURL string, opts ...Option) *Service {
	sv := &Service{
		base: strings.TrimSuffix(baseURL, "/"), maxAnswer: 16 << 20, clk: clock.System{},
		headers: []string{"Accept", "Accept-Language", "Content-Type", "Traceparent", "Tracestate"},
		hc:      client.New(), fresh: client.New(client.WithFresh()),
	}
	for _, opt := range opts {
		opt(sv)
	}
	return sv
}

// Run forwards the call and passes the body of the answer to emit.
func (sv *Service) Run(ctx context.Context, ca engine.Call, emit func(engine.Chunk) error) (engine.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	re, err := sv.request(ctx, ca)
	if err != nil {
		return engine.Result{}, refuse.New(refuse.BadRequest, "%v", err)
	}
	resp, sent, err := client.Do(sv.client(ca), re)
	if err != nil && !sent {
		return engine.Result{}, client.Unsent(err)
	}
	if err != nil {
		return engine.Result{}, client.Lost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return result(resp), sv.copy(resp.Body, emit)
}

// client returns the client without kept connections for a keyed call with a
// method that net/http repeats by itself.
func (sv *Service) client(ca engine.Call) *http.Client {
	switch ca.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if ca.Key != "" {
			return sv.fresh
		}
	}
	return sv.hc
}

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
		re.Header[keyHeader] = []string{string(ca.Key)}
	}
	return re, nil
}

// checkPath refuses a path that leaves the service or the route under which it
// was admitted.
func checkPath(path string) error {
	ur, err := url.Parse(path)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(path, "/") || ur.Host != "" || ur.Scheme != "" {
		return errors.New("the path is not absolute")
	}
	for _, seg := range strings.Split(ur.Path, "/") {
		if seg == "." || seg == ".." {
			return errors.New("the path has a dot segment")
		}
	}
	return nil
}

func result(resp *http.Response) engine.Result {
	res := engine.Result{Status: resp.StatusCode}
	for _, name := range []string{"Content-Type", "Location"} {
		if val := resp.Header.Get(name); val != "" {
			res.Header = append(res.Header, engine.Field{Name: name, Value: val})
		}
	}
	return res
}

// copy passes the body on in parts. The service may have acted, so a body that
// breaks off leaves the outcome unknown.
func (sv *Service) copy(body io.Reader, emit func(engine.Chunk) error) error {
	left := sv.maxAnswer
	buf := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buf)
		if left -= int64(n); left < 0 {
			return refuse.New(refuse.UpstreamFailed, "the answer exceeds %d bytes", sv.maxAnswer)
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
			return refuse.New(refuse.Truncated, "the answer broke off")
		default:
			return client.Lost(err)
		}
	}
}

// Load returns the service's load report.
func (sv *Service) Load(ctx context.Context) (engine.Load, error) {
	return client.Load(ctx, sv.hc, sv.base+"/load", sv.clk.Now())
}

// Order refuses every order, because a plain service takes none.
func (sv *Service) Order(context.Context, engine.Order) error {
	return refuse.New(refuse.Rejected, "a plain service takes no orders")
}
