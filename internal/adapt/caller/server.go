// Package caller implements the HTTP API for callers: chat completions, calls of
// plain services, and the outcomes of calls with an idempotency key.
package caller

import (
	"context"
	"errors"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Header fields of requests and responses.
const (
	headerKey      = "Idempotency-Key"
	headerBudget   = "Balsamwood-Budget"
	headerClass    = "Balsamwood-Class"
	headerDeadline = "Balsamwood-Deadline"
	headerTimeout  = "Balsamwood-Timeout"
	headerRequest  = "Balsamwood-Request"
	headerCharged  = "Balsamwood-Charged-Tokens"
	headerReplay   = "Balsamwood-Replay"
)

// maxKeyBytes is the greatest length of an idempotency key.
const maxKeyBytes = 255

// RequestServer serves decoded requests. front.Service implements it.
type RequestServer interface {
	Serve(ctx context.Context, rq front.Request, emit func(engine.Chunk) error) (front.Response, error)
}

// Outcome is the stored outcome of a call with an idempotency key.
type Outcome struct {
	State  string `json:"state"`
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Failure is the reason why the call ended without a response. The effect
	// of such a call is not known.
	Failure string `json:"failure,omitempty"`
}

// OutcomeFinder looks up the outcomes of calls with an idempotency key.
type OutcomeFinder interface {
	// Outcome returns the outcome of a key of the account, and false if there
	// is none.
	Outcome(ctx context.Context, ac ident.Account, key ident.Key) (Outcome, bool, error)
}

// ConfigSource provides the current configuration.
type ConfigSource interface {
	Load() config.Snapshot
}

// Frontend is the front end for callers. Handler returns its HTTP handler.
type Frontend struct {
	sv              RequestServer
	cfg             ConfigSource
	outcomes        OutcomeFinder
	clk             clock.Clock
	maxBodyBytes    int64
	defaultTimeouts map[config.Class]time.Duration
	maxTimeout      time.Duration
	defaultTokens   ident.Tokens
	maxTokens       ident.Tokens
	checkReady      func() error
	budgets         *bound.Budgets
}

// Option configures a Frontend.
type Option func(*Frontend)

// WithOutcomes sets the lookup of outcomes. By default, requests for outcomes are
// refused.
func WithOutcomes(ou OutcomeFinder) Option { return func(fe *Frontend) { fe.outcomes = ou } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(fe *Frontend) { fe.clk = ck } }

// WithMaxBodyBytes limits the size of request bodies. The default is 512 KiB.
// The limit must be below the frame limit of the link, 1 MiB.
func WithMaxBodyBytes(size int64) Option { return func(fe *Frontend) { fe.maxBodyBytes = size } }

// WithDefaultTimeout sets the timeout of requests of a class that have no
// deadline. The defaults are 30 s for urgent, 2 min for normal and 8 h for batch.
func WithDefaultTimeout(cl config.Class, du time.Duration) Option {
	return func(fe *Frontend) { fe.defaultTimeouts[cl] = du }
}

// WithCompletionTokens sets the default and the maximum of the completion limit
// of a request in tokens. They are 512 and 16384 without this option.
func WithCompletionTokens(def, most ident.Tokens) Option {
	return func(fe *Frontend) { fe.defaultTokens, fe.maxTokens = def, most }
}

// WithReadyCheck sets the readiness check. By default, the front end is always
// ready.
func WithReadyCheck(check func() error) Option { return func(fe *Frontend) { fe.checkReady = check } }

// New returns the front end.
func New(sv RequestServer, cfg ConfigSource, opts ...Option) *Frontend {
	fe := &Frontend{
		sv: sv, cfg: cfg, clk: clock.System{}, maxBodyBytes: 512 << 10,
		defaultTimeouts: map[config.Class]time.Duration{
			config.Urgent: 30 * time.Second, config.Normal: 2 * time.Minute, config.Batch: 8 * time.Hour,
		},
		maxTimeout: 24 * time.Hour, defaultTokens: 512, maxTokens: 16384,
		checkReady: func() error { return nil }, budgets: bound.NewBudgets(0, 0, meter.Nop{}),
	}
	for _, op := range opts {
		op(fe)
	}
	return fe
}

// Handler returns the HTTP handler.
func (fe *Frontend) Handler() http.Handler {
	ec := echo.New()
	ec.HideBanner, ec.HidePort = true, true
	ec.HTTPErrorHandler = fe.handleError
	ec.Use(fe.releaseBody)
	ec.GET("/healthz", func(ec echo.Context) error { return ec.String(http.StatusOK, "ok\n") })
	ec.GET("/readyz", fe.readyz)
	ec.POST("/v1/chat/completions", fe.chat)
	ec.GET("/v1/models", fe.models)
	ec.GET("/v1/outcomes/:key", fe.outcome)
	ec.Any("/v1/services/:service/*", fe.service)
	return ec
}

func (fe *Frontend) readyz(ec echo.Context) error {
	if err := fe.checkReady(); err != nil {
		return ec.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return ec.String(http.StatusOK, "ready\n")
}

// handleError responds to an error with problem details.
func (fe *Frontend) handleError(err error, ec echo.Context) {
	if ec.Response().Committed {
		return
	}
	rf := refuse.From(err)
	status := statusOf(rf.Reason)
	var he *echo.HTTPError
	if errors.As(err, &he) {
		rf, status = refuse.New(refuse.BadRequest, "%v", he.Message), he.Code
	}
	if rf.Reason == refuse.Overloaded {
		ec.Response().Header().Set(echo.HeaderConnection, "close")
	}
	id, _ := ec.Get(headerRequest).(ident.Request)
	_ = writeProblem(ec, newProblem(id, status, rf), rf, fe.clk.Now())
}

// newRequest authenticates the caller and returns a request with the values of
// the header fields that all requests share.
func (fe *Frontend) newRequest(ec echo.Context) (front.Request, error) {
	rq := front.Request{ID: ident.NewRequest()}
	ec.Set(headerRequest, rq.ID)
	hd := ec.Request().Header
	ec.Response().Header().Set(headerRequest, string(rq.ID))
	ac, err := fe.authenticate(hd)
	if err != nil {
		return rq, err
	}
	rq.Account = ac
	if rq.Budget, err = budgetOf(ac, hd); err != nil {
		return rq, err
	}
	if rq.Class, err = classOf(hd); err != nil {
		return rq, err
	}
	if rq.Deadline, err = fe.deadlineOf(hd, rq.Class); err != nil {
		return rq, err
	}
	rq.Key = ident.Key(hd.Get(headerKey))
	if !utf8.ValidString(string(rq.Key)) {
		return rq, refuse.New(refuse.BadRequest, "%s is not valid UTF-8", headerKey)
	}
	if len(rq.Key) > maxKeyBytes {
		return rq, refuse.New(refuse.BadRequest, "%s exceeds %d bytes", headerKey, maxKeyBytes)
	}
	return rq, nil
}
