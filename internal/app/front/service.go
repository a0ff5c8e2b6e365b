// Package front is the use case of a router: it admits a request, reserves its
// budget, chooses an upstream, dispatches, retries and settles.
package front

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Events of the router's request path.
var (
	evRefused  = meter.Event{Number: 1001, Level: slog.LevelInfo, Text: "request refused"}
	evRetried  = meter.Event{Number: 1002, Level: slog.LevelInfo, Text: "attempt retried"}
	evUnknown  = meter.Event{Number: 1003, Level: slog.LevelWarn, Text: "usage unknown, escrow stays held"}
	evResolved = meter.Event{Number: 1004, Level: slog.LevelInfo, Text: "usage learned after the connection was lost"}
)

// OutcomePath is below which the outcome of a keyed call can be queried.
const OutcomePath = "/v1/outcomes/"

// cancelTimeout bounds the cancellation of a key, during which the caller
// waits for its refusal.
const cancelTimeout = 2 * time.Second

// settleGrace is how long after a request's deadline the last event of an
// attempt is awaited before its usage counts as unknown.
const settleGrace = 5 * time.Second

// Service serves requests. It is safe for concurrent use.
type Service struct {
	router  ident.Incarnation
	purse   Purse
	gate    Gate
	keys    Keys
	retries Retries
	hedges  Hedges
	clk     clock.Clock
	met     meter.Meter
	resolve time.Duration

	mu      sync.Mutex
	leaving bool
	wg      sync.WaitGroup
}

// Option configures a Service.
type Option func(*Service)

// WithKeys sets how idempotency keys are cancelled. The default cancels none.
func WithKeys(ke Keys) Option { return func(sv *Service) { sv.keys = ke } }

// WithRetries sets the retry decision. The default never retries.
func WithRetries(re Retries) Option { return func(sv *Service) { sv.retries = re } }

// WithHedges sets the decision about hedges. The default never hedges.
func WithHedges(he Hedges) Option { return func(sv *Service) { sv.hedges = he } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(sv *Service) { sv.clk = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(sv *Service) { sv.met = me } }

// WithResolveTime sets how long the usage of an attempt is asked for after its
// connection was lost. The default is 30 s.
func WithResolveTime(du time.Duration) Option { return func(sv *Service) { sv.resolve = du } }

// New returns a service for the router's incarnation.
func New(router ident.Incarnation, pu Purse, ga Gate, opts ...Option) *Service {
	sv := &Service{
		router: router, purse: pu, gate: ga,
		keys: noKeys{}, retries: noRetries{}, hedges: noHedges{},
		clk: clock.System{}, met: meter.Nop{}, resolve: 30 * time.Second,
	}
	for _, op := range opts {
		op(sv)
	}
	return sv
}

// Serve runs the request and passes its chunks to emit. It returns after the
// budget was settled or its resolution was scheduled. The error is a
// *refuse.Refusal.
func (sv *Service) Serve(ctx context.Context, rq Request, emit func(engine.Chunk) error) (Answer, error) {
	if !sv.enter() {
		return Answer{}, sv.refused(rq, refuse.New(refuse.Leaving, "this router is leaving"))
	}
	defer sv.wg.Done()
	an, err := sv.serve(ctx, rq, emit)
	if err != nil {
		return an, sv.refused(rq, refuse.From(err))
	}
	sv.met.Count("served", "class", string(rq.Class), 1)
	return an, nil
}

func (sv *Service) serve(ctx context.Context, rq Request, emit func(engine.Chunk) error) (Answer, error) {
	now := sv.clk.Now()
	if !now.Before(rq.Deadline) {
		return Answer{}, refuse.New(refuse.DeadlinePassed, "the deadline has passed")
	}
	if !rq.Idempotent && rq.Key == "" {
		return Answer{}, refuse.New(refuse.KeyRequired, "a call that is not idempotent needs an Idempotency-Key header")
	}
	leave, err := sv.gate.Admit(rq, now)
	if err != nil {
		return Answer{}, err
	}
	defer leave()
	admitted, cancel := context.WithDeadline(ctx, rq.Deadline)
	defer cancel()
	// Escrow is reserved after the wait for an upstream, so that queued work
	// holds none.
	ta, err := sv.gate.Place(admitted, rq, Placing{Turn: First})
	if err != nil {
		return Answer{}, err
	}
	ho, err := sv.purse.Reserve(admitted, rq.Ref(), rq.Worst(), rq.Account.Weight)
	if err != nil {
		ta.Done(Verdict{})
		return Answer{}, err
	}
	ru := &run{sv: sv, rq: rq, ho: ho, emit: emit}
	return ru.attempts(ctx, ta)
}

// afterLost returns the refusal for the caller. That the last attempt did not
// run proves nothing about an earlier one that may have run.
func afterLost(lost, last *refuse.Refusal) *refuse.Refusal {
	if lost == nil || last.Outcome != refuse.NotRun {
		return last
	}
	return refuse.New(lost.Reason, "%s; the last attempt was refused: %s: %s", lost.Detail, last.Reason, last.Detail).
		WithOutcome(refuse.Unknown).WithRetryAt(last.RetryAt)
}

// conclude settles after the last attempt failed, and returns the refusal for
// the caller.
func (sv *Service) conclude(ctx context.Context, at *attempt, rf *refuse.Refusal) *refuse.Refusal {
	if rf.Outcome == refuse.Unknown && !at.rq.Idempotent {
		return sv.concludeKeyed(ctx, at, rf)
	}
	at.settle(rf, ctx.Err() != nil)
	return rf
}

// concludeKeyed tries to prove that a call that is not idempotent did not run
// and will not run, by cancelling its key.
func (sv *Service) concludeKeyed(ctx context.Context, at *attempt, rf *refuse.Refusal) *refuse.Refusal {
	rq := at.rq
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	won, err := sv.keys.Cancel(ctx, rq.Account.ID, rq.Key, rq.Fingerprint)
	if err == nil && won {
		at.ho.Release()
		return rf.WithOutcome(refuse.NotRun)
	}
	at.settle(rf, false)
	return rf.WithAskAt(OutcomePath + string(rq.Key))
}

func (sv *Service) enter() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.leaving {
		return false
	}
	sv.wg.Add(1)
	return true
}

// Leave refuses new requests from now on.
func (sv *Service) Leave() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.leaving = true
}

// Wait returns when every request has ended and its usage is settled or known
// to be unknown, or when ctx ends.
func (sv *Service) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		sv.wg.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (sv *Service) wait(ctx context.Context, until time.Time) bool {
	du := until.Sub(sv.clk.Now())
	if du <= 0 {
		return ctx.Err() == nil
	}
	ti := time.NewTimer(du)
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ti.C:
		return true
	}
}

func (sv *Service) refused(rq Request, rf *refuse.Refusal) *refuse.Refusal {
	sv.met.Count("refusals", "reason", string(rf.Reason), 1)
	sv.met.Log(evRefused,
		slog.String("request", string(rq.ID)), slog.String("account", string(rq.Account.ID)),
		slog.String("reason", string(rf.Reason)), slog.String("outcome", string(rf.Outcome)),
		slog.String("detail", rf.Detail))
	return rf
}
