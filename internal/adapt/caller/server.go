// Package caller is the HTTP front end for callers: chat completions, plain
// services and the outcomes of keyed calls.
package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// Header fields of requests and answers.
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

// maxKey bounds the length of an idempotency key.
const maxKey = 255

// Server serves requests as the use case does.
type Server interface {
	Serve(ctx context.Context, rq front.Request, emit func(engine.Chunk) error) (front.Answer, error)
}

// Outcome is the stored outcome of a keyed call.
type Outcome struct {
	State  string `json:"state"`
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Failure is the reason if the call ended without an answer, so that its
	// effect is not known.
	Failure string `json:"failure,omitempty"`
}

// Outcomes looks up the outcomes of keyed calls.
type Outcomes interface {
	// Outcome returns the outcome of the account's own key.
	Outcome(ctx context.Context, ac ident.Account, key ident.Key) (Outcome, bool, error)
}

// Configs returns the configuration in force.
type Configs interface {
	Load() config.Snapshot
}

// Caller is the front end. Handler returns its HTTP handler.
type Caller struct {
	sv       Server
	cfg      Configs
	outcomes Outcomes
	clk      clock.Clock
	maxBody  int64
	timeouts map[config.Class]time.Duration
	maxWait  time.Duration
	tokens   ident.Tokens
	maxTok   ident.Tokens
	ready    func() error
}

// Option configures a Caller.
type Option func(*Caller)

// WithOutcomes sets the lookup of outcomes. The default knows none.
func WithOutcomes(ou Outcomes) Option { return func(ca *Caller) { ca.outcomes = ou } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(ca *Caller) { ca.clk = ck } }

// WithMaxBody bounds request bodies in bytes. The default is 512 KiB; it must
// stay below the frame limit of the link, 1 MiB.
func WithMaxBody(size int64) Option { return func(ca *Caller) { ca.maxBody = size } }

// WithTimeout sets the time allowed for a request of a class without its own
// deadline. The defaults are 30 s, 2 min and 8 h.
func WithTimeout(cl config.Class, du time.Duration) Option {
	return func(ca *Caller) { ca.timeouts[cl] = du }
}

// WithTokens sets the default and the largest number of completion tokens of a
// request. The defaults are 512 and 16384.
func WithTokens(def, most ident.Tokens) Option {
	return func(ca *Caller) { ca.tokens, ca.maxTok = def, most }
}

// WithReady sets the readiness check. The default is always ready.
func WithReady(check func() error) Option { return func(ca *Caller) { ca.ready = check } }

// New returns the front end.
func New(sv Server, cfg Configs, opts ...Option) *Caller {
	ca := &Caller{
		sv: sv, cfg: cfg, clk: clock.System{}, maxBody: 512 << 10,
		timeouts: map[config.Class]time.Duration{
			config.Urgent: 30 * time.Second, config.Normal: 2 * time.Minute, config.Batch: 8 * time.Hour,
		},
		maxWait: 24 * time.Hour, tokens: 512, maxTok: 16384,
		ready: func() error { return nil },
	}
	for _, op := range opts {
		op(ca)
	}
	return ca
}

// Handler returns the HTTP handler.
func (ca *Caller) Handler() http.Handler {
	ec := echo.New()
	ec.HideBanner, ec.HidePort = true, true
	ec.HTTPErrorHandler = ca.handleError
	ec.GET("/healthz", func(ec echo.Context) error { return ec.String(http.StatusOK, "ok\n") })
	ec.GET("/readyz", ca.readyz)
	ec.POST("/v1/chat/completions", ca.chat)
	ec.GET("/v1/models", ca.models)
	ec.GET("/v1/outcomes/:key", ca.outcome)
	ec.Any("/v1/services/:service/*", ca.service)
	return ec
}

func (ca *Caller) readyz(ec echo.Context) error {
	if err := ca.ready(); err != nil {
		return ec.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return ec.String(http.StatusOK, "ready\n")
}

// handleError turns every error into problem details.
func (ca *Caller) handleError(err error, ec echo.Context) {
	if ec.Response().Committed {
		return
	}
	rf := refuse.From(err)
	status := statusOf(rf.Reason)
	var he *echo.HTTPError
	if errors.As(err, &he) {
		rf, status = refuse.New(refuse.BadRequest, "%v", he.Message), he.Code
	}
	id, _ := ec.Get(headerRequest).(ident.Request)
	_ = writeProblem(ec, newProblem(id, status, rf), rf, ca.clk.Now())
}

// begin identifies the caller and reads what all requests have in common.
func (ca *Caller) begin(ec echo.Context) (front.Request, error) {
	rq := front.Request{ID: ident.NewRequest()}
	ec.Set(headerRequest, rq.ID)
	hd := ec.Request().Header
	ec.Response().Header().Set(headerRequest, string(rq.ID))
	ac, err := ca.authenticate(hd)
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
	if rq.Deadline, err = ca.deadlineOf(hd, rq.Class); err != nil {
		return rq, err
	}
	rq.Key = ident.Key(hd.Get(headerKey))
	if !utf8.ValidString(string(rq.Key)) {
		return rq, refuse.New(refuse.BadRequest, "%s is not valid UTF-8", headerKey)
	}
	if len(rq.Key) > maxKey {
		return rq, refuse.New(refuse.BadRequest, "%s exceeds %d bytes", headerKey, maxKey)
	}
	return rq, nil
}

// body reads the request body up to its limit.
func (ca *Caller) body(ec echo.Context) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(ec.Response(), ec.Request().Body, ca.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse.New(refuse.TooLarge, "the body exceeds %d bytes", ca.maxBody)
	}
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, "read body: %v", err)
	}
	return data, nil
}
