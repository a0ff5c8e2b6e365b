// Package openai implements the upstream port for a model engine that serves
// OpenAI chat completions.
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

// maxErrorBytes bounds the body of an error answer.
const maxErrorBytes = 64 << 10

// Engine is an engine.Upstream.
type Engine struct {
	base      string
	maxLine   int
	maxAnswer int64
	prompt    func(body []byte) ident.Tokens
	hc        *http.Client
	clk       clock.Clock
}

var _ engine.Upstream = (*Engine)(nil)

// Option configures an Engine.
type Option func(*Engine)

// WithMaxLine sets the largest event in bytes. The default is 512 KiB, so that
// an event fits into a frame of 1 MiB.
func WithMaxLine(n int) Option { return func(en *Engine) { en.maxLine = n } }

// WithMaxAnswer sets the largest answer in bytes. The default is 64 MiB.
func WithMaxAnswer(n int64) Option { return func(en *Engine) { en.maxAnswer = n } }

// WithPromptCount sets how the prompt tokens of a request body are counted
// when the engine fails before it reports them. By default they count as 0.
func WithPromptCount(fn func(body []byte) ident.Tokens) Option {
	return func(en *Engine) { en.prompt = fn }
}

// WithClient sets the HTTP client. The default is client.New().
func WithClient(hc *http.Client) Option { return func(en *Engine) { en.hc = hc } }

// WithClock sets the clock that dates load reports. The default is the system
// clock.
func WithClock(clk clock.Clock) Option { return func(en *Engine) { en.clk = clk } }

// New returns the engine at the base URL, without the path /v1.
func New(baseURL string, opts ...Option) *Engine {
	en := &Engine{
		base: strings.TrimSuffix(baseURL, "/"), maxLine: 512 << 10, maxAnswer: 64 << 20,
		prompt: func([]byte) ident.Tokens { return 0 }, clk: clock.System{},
	}
	for _, opt := range opts {
		opt(en)
	}
	if en.hc == nil {
		en.hc = client.New()
	}
	return en
}

// Run posts the chat completion in ca.Body as a stream and passes the JSON of
// each event to emit.
func (en *Engine) Run(ctx context.Context, ca engine.Call, emit func(engine.Chunk) error) (engine.Result, error) {
	body, err := rewrite(ca)
	if err != nil {
		return engine.Result{}, refuse.New(refuse.BadRequest, "the body is not a chat completion: %v", err)
	}
	// The end of the context closes the connection, which cancels the call at
	// the engine.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, sent, err := en.post(ctx, ca, body, 0)
	if err != nil && !sent {
		return engine.Result{}, client.Unsent(err)
	}
	me := &meter{prompt: en.prompt(body)}
	if err != nil {
		return engine.Result{Usage: me.usage()}, client.Lost(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return en.failed(resp, me)
	}
	res := engine.Result{Status: resp.StatusCode, Header: []engine.Field{{Name: "Content-Type", Value: eventStream}}}
	err = en.stream(ctx, cancel, &answer{call: ca, body: body, resp: resp, meter: me, emit: emit})
	res.Usage = me.usage()
	return res, err
}

// post sends the call. After the event with the number last, it asks the engine
// to resume the stream in place of a new run.
func (en *Engine) post(ctx context.Context, ca engine.Call, body []byte, last uint64) (*http.Response, bool, error) {
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, en.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	re.Header.Set("Content-Type", "application/json")
	re.Header.Set("Accept", eventStream)
	re.Header.Set("X-Request-Id", string(ca.Request))
	if last > 0 {
		re.Header.Set("Last-Event-ID", strconv.FormatUint(last, 10))
	}
	return client.Do(en.hc, re)
}

// failed maps an error status. Statuses below 500, 429 and 503 prove that the
// call did not run.
func (en *Engine) failed(resp *http.Response, me *meter) (engine.Result, error) {
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
		res.Usage = me.usage()
		return res, refuse.New(refuse.UpstreamFailed, "status %d: %s", resp.StatusCode, detail)
	}
}

// Load returns the engine's load report.
func (en *Engine) Load(ctx context.Context) (engine.Load, error) {
	return client.Load(ctx, en.hc, en.base+"/load", en.clk.Now())
}

type order struct {
	Fence   ident.Fence      `json:"fence"`
	Kind    engine.OrderKind `json:"kind"`
	Subject string           `json:"subject"`
}

// Order passes an order on with its fencing number. Status 409 is a refusal
// with the reason rejected.
func (en *Engine) Order(ctx context.Context, or engine.Order) error {
	body, err := json.Marshal(order{Fence: or.Fence, Kind: or.Kind, Subject: or.Subject})
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
		return client.Lost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	_, err = en.failed(resp, &meter{})
	return err
}
