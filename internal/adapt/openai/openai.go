// Package openai implements the upstream port for model engines with the OpenAI
// chat completions API.
package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// maxErrorBytes limits the body of an error response.
const maxErrorBytes = 64 << 10

// Engine is a model engine. It implements engine.Upstream.
type Engine struct {
	base             string
	maxEventBytes    int
	maxResponseBytes int64
	promptTokens     func(body []byte) ident.Tokens
	hc               *http.Client
	clk              clock.Clock
}

var _ engine.Upstream = (*Engine)(nil)

// Option configures an Engine.
type Option func(*Engine)

// WithMaxEventBytes sets the largest size of an event. The default is 512 KiB, so
// that an event fits into a frame of 1 MiB.
func WithMaxEventBytes(n int) Option { return func(en *Engine) { en.maxEventBytes = n } }

// WithMaxResponseBytes sets the largest size of a response, counted for each
// connection if the response is resumed. The default is 64 MiB.
func WithMaxResponseBytes(n int64) Option { return func(en *Engine) { en.maxResponseBytes = n } }

// WithPromptCounter sets the function that counts the prompt tokens of a request
// body. Its result is used if the engine fails before it reports the usage. By
// default, the prompt counts as 0 tokens.
func WithPromptCounter(fn func(body []byte) ident.Tokens) Option {
	return func(en *Engine) { en.promptTokens = fn }
}

// WithClient sets the HTTP client. The default is client.New().
func WithClient(hc *http.Client) Option { return func(en *Engine) { en.hc = hc } }

// WithClock sets the clock for the times of load reports and of retries. The
// default is the system clock.
func WithClock(clk clock.Clock) Option { return func(en *Engine) { en.clk = clk } }

// New returns the engine at the base URL, which does not include the path /v1.
func New(baseURL string, opts ...Option) *Engine {
	en := &Engine{
		base: strings.TrimSuffix(baseURL, "/"), maxEventBytes: 512 << 10, maxResponseBytes: 64 << 20,
		promptTokens: func([]byte) ident.Tokens { return 0 }, clk: clock.System{},
	}
	for _, opt := range opts {
		opt(en)
	}
	if en.hc == nil {
		en.hc = client.New(client.WithoutReuseAfterErrors())
	}
	return en
}

// Run requests the chat completion in ca.Body as a stream and passes the JSON of
// each event to emit.
func (en *Engine) Run(ctx context.Context, ca engine.Call, emit func(engine.Chunk) error) (engine.Result, error) {
	body, err := streamingBody(ca)
	if err != nil {
		return engine.Result{}, refuse.New(refuse.BadRequest, "the body is not a chat completion request: %v", err)
	}
	// Cancelling the context closes the connection, upon which the engine cancels
	// the call.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, sent, err := en.post(ctx, ca, body, 0)
	if err != nil && !sent {
		return engine.Result{}, client.Unsent(err)
	}
	tc := &tokenCounter{promptTokens: en.promptTokens(body)}
	if err != nil {
		return engine.Result{Usage: tc.usage()}, client.NoResponse(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return en.statusError(resp, tc)
	}
	res := engine.Result{Status: resp.StatusCode, Header: []engine.Field{{Name: "Content-Type", Value: eventStream}}}
	err = en.stream(ctx, cancel, &responseStream{call: ca, body: body, resp: resp, tokenCounter: tc, emit: emit})
	res.Usage = tc.usage()
	return res, err
}

// post sends the call. If lastID is not 0, it asks the engine to resume the stream
// after the event with this number instead of running the call again. The second
// result is false if the request was not sent.
func (en *Engine) post(ctx context.Context, ca engine.Call, body []byte, lastID uint64) (*http.Response, bool, error) {
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, en.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	re.Header.Set("Content-Type", "application/json")
	re.Header.Set("Accept", eventStream)
	re.Header.Set("X-Request-Id", string(ca.Request))
	if lastID > 0 {
		re.Header.Set("Last-Event-ID", strconv.FormatUint(lastID, 10))
	}
	return client.Do(en.hc, re)
}

// statusError returns the refusal for an error status. A status from 400 to 499, or
// 503, proves that the call did not run.
func (en *Engine) statusError(resp *http.Response, tc *tokenCounter) (engine.Result, error) {
	data, _ := client.ReadAll(resp.Body, maxErrorBytes)
	detail := errorText(data)
	res := engine.Result{Status: resp.StatusCode}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		rf := refuse.New(refuse.Busy, "status %d: %s", resp.StatusCode, detail)
		return res, rf.WithRetryAt(client.RetryAt(resp, en.clk.Now()))
	case resp.StatusCode == http.StatusBadRequest, resp.StatusCode == http.StatusUnprocessableEntity:
		return res, refuse.New(refuse.BadRequest, "status %d: %s", resp.StatusCode, detail)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return res, refuse.New(refuse.Rejected, "status %d: %s", resp.StatusCode, detail)
	default:
		res.Usage = tc.usage()
		return res, refuse.New(refuse.UpstreamFailed, "status %d: %s", resp.StatusCode, detail)
	}
}

// Load returns the engine's load report.
func (en *Engine) Load(ctx context.Context) (engine.Load, error) {
	return client.FetchLoad(ctx, en.hc, en.base+"/load", en.clk.Now())
}

type orderBody struct {
	Fence   ident.Fence      `json:"fence"`
	Kind    engine.OrderKind `json:"kind"`
	Subject string           `json:"subject"`
}

// Order sends an order with its fencing number. Status 409 becomes a refusal with
// the reason rejected.
func (en *Engine) Order(ctx context.Context, or engine.Order) error {
	body, err := json.Marshal(orderBody{Fence: or.Fence, Kind: or.Kind, Subject: or.Subject})
	if err != nil {
		return err
	}
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, en.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	re.Header.Set("Content-Type", "application/json")
	resp, sent, err := client.Do(en.hc, re)
	if err != nil && !sent {
		return client.Unsent(err)
	}
	if err != nil {
		return client.NoResponse(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	_, err = en.statusError(resp, &tokenCounter{})
	return err
}
