// Package front serves requests at a router: it admits a request, reserves
// escrow for it, chooses an upstream, dispatches, retries and settles the usage.
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

// OutcomePath is the path prefix of the outcome query. The idempotency key of
// the call follows it.
const OutcomePath = "/v1/outcomes/"

// cancelTimeout bounds the cancellation of an idempotency key. The caller waits
// for its refusal meanwhile.
const cancelTimeout = 2 * time.Second

// settleGrace is how long after a request's deadline the router still waits for
// the last event of an attempt, which reports the usage.
const settleGrace = 5 * time.Second

// Service serves requests. It is safe for concurrent use.
type Service struct {
	router         ident.Incarnation
	reserver       Reserver
	gate           Gate
	keyCanceller   KeyCanceller
	retries        RetryPolicy
	hedges         HedgePolicy
	clk            clock.Clock
	met            meter.Meter
	resolveTimeout time.Duration

	mu      sync.Mutex
	leaving bool
	wg      sync.WaitGroup
}

// Option configures a Service.
type Option func(*Service)

// WithKeyCanceller sets what cancels idempotency keys. The default cancels none.
func WithKeyCanceller(kc KeyCanceller) Option { return func(sv *Service) { sv.keyCanceller = kc } }

// WithRetries sets the retry policy. The default never retries.
func WithRetries(rp RetryPolicy) Option { return func(sv *Service) { sv.retries = rp } }

// WithHedges sets the hedging policy. The default never hedges.
func WithHedges(hp HedgePolicy) Option { return func(sv *Service) { sv.hedges = hp } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(sv *Service) { sv.clk = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(sv *Service) { sv.met = me } }

// WithResolveTimeout sets how long the service tries to learn the usage of an
// attempt after its connection was lost. The default is 30 s.
func WithResolveTimeout(du time.Duration) Option { return func(sv *Service) { sv.resolveTimeout = du } }

// New returns a service for the router's incarnation.
func New(router ident.Incarnation, rsv Reserver, ga Gate, opts ...Option) *Service {
	sv := &Service{
		router: router, reserver: rsv, gate: ga,
		keyCanceller: noKeyCanceller{}, retries: noRetries{}, hedges: noHedges{},
		clk: clock.System{}, met: meter.Nop{}, resolveTimeout: 30 * time.Second,
	}
	for _, op := range opts {
		op(sv)
	}
	return sv
}

// Serve runs the request and passes the chunks of the response to emit. It
// returns after the hold was settled or released, or after a background task
// was started that learns the usage. The error is a *refuse.Refusal.
func (sv *Service) Serve(ctx context.Context, rq Request, emit func(engine.Chunk) error) (Response, error) {
	if !sv.startRequest() {
		return Response{}, sv.recordRefusal(rq, refuse.New(refuse.Leaving, "this router is leaving and accepts no new requests"))
	}
	defer sv.wg.Done()
	rsp, err := sv.serve(ctx, rq, emit)
	if err != nil {
		return rsp, sv.recordRefusal(rq, refuse.From(err))
	}
	sv.met.Count("served", "class", string(rq.Class), 1)
	return rsp, nil
}

func (sv *Service) serve(ctx context.Context, rq Request, emit func(engine.Chunk) error) (Response, error) {
	now := sv.clk.Now()
	if !now.Before(rq.Deadline) {
		return Response{}, refuse.New(refuse.DeadlinePassed, "the deadline has passed")
	}
	if !rq.Idempotent && rq.Key == "" {
		return Response{}, refuse.New(refuse.KeyRequired, "a call that is not idempotent needs an Idempotency-Key header")
	}
	release, err := sv.gate.Admit(rq, now)
	if err != nil {
		return Response{}, err
	}
	defer release()
	admitted, cancel := context.WithDeadline(ctx, rq.Deadline)
	defer cancel()
	// Escrow is reserved after the wait for an upstream, so that queued requests
	// hold none.
	ta, err := sv.gate.Place(admitted, rq, Placement{Reason: First})
	if err != nil {
		return Response{}, err
	}
	ho, err := sv.reserver.Reserve(admitted, rq.BudgetRef(), rq.MaxCharge(), rq.Account.Preference)
	if err != nil {
		ta.Done(AttemptResult{})
		return Response{}, err
	}
	ru := &run{sv: sv, rq: rq, ho: ho, emit: emit}
	return ru.runAttempts(ctx, ta)
}

// finalRefusal returns the refusal for the caller. Its outcome is unknown if any
// attempt may have run: that the last one did not run proves nothing about an
// earlier one.
func finalRefusal(firstUnknown, last *refuse.Refusal) *refuse.Refusal {
	if firstUnknown == nil || last.Outcome != refuse.NotRun {
		return last
	}
	return refuse.New(firstUnknown.Reason, "%s; the last attempt was refused: %s: %s", firstUnknown.Detail, last.Reason, last.Detail).
		WithOutcome(refuse.Unknown).WithRetryAt(last.RetryAt)
}

// settleFailed settles or releases the hold after the last attempt failed, and
// returns the refusal for the caller.
func (sv *Service) settleFailed(ctx context.Context, at *attempt, rf *refuse.Refusal) *refuse.Refusal {
	if rf.Outcome == refuse.Unknown && !at.rq.Idempotent {
		return sv.cancelKeyOrSettle(ctx, at, rf)
	}
	at.settle(rf, ctx.Err() != nil)
	return rf
}

// cancelKeyOrSettle cancels the idempotency key of a non-idempotent call. If that
// succeeds, the call did not and will not run, and the hold is released.
// Otherwise the hold is settled, and the refusal names the outcome query.
func (sv *Service) cancelKeyOrSettle(ctx context.Context, at *attempt, rf *refuse.Refusal) *refuse.Refusal {
	rq := at.rq
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	cancelled, err := sv.keyCanceller.Cancel(ctx, rq.Account.ID, rq.Key, rq.Fingerprint)
	if err == nil && cancelled {
		at.ho.Release()
		return rf.WithOutcome(refuse.NotRun)
	}
	at.settle(rf, false)
	return rf.WithOutcomePath(OutcomePath + string(rq.Key))
}

// startRequest counts a request that Wait waits for. It reports false once the
// router is leaving.
func (sv *Service) startRequest() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.leaving {
		return false
	}
	sv.wg.Add(1)
	return true
}

// Leave makes the service refuse new requests. Requests in progress continue.
func (sv *Service) Leave() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.leaving = true
}

// Wait returns when every request has ended and its hold is settled, released
// or marked as unknown, or when ctx ends.
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

// sleepUntil reports false if ctx ended first.
func (sv *Service) sleepUntil(ctx context.Context, until time.Time) bool {
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

// recordRefusal counts and logs the refusal and returns it.
func (sv *Service) recordRefusal(rq Request, rf *refuse.Refusal) *refuse.Refusal {
	sv.met.Count("refusals", "reason", string(rf.Reason), 1)
	sv.met.Log(evRefused,
		slog.String("request", string(rq.ID)), slog.String("account", string(rq.Account.ID)),
		slog.String("reason", string(rf.Reason)), slog.String("outcome", string(rf.Outcome)),
		slog.String("detail", rf.Detail))
	return rf
}
