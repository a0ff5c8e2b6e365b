// Package gate admits requests to a router and places them at upstreams: rates
// per client account, fair shares, and a bounded queue for each model and
// service.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

const (
	defaultQueueCapacity = 1024
	defaultPollPeriod    = 100 * time.Millisecond
	// defaultInitialOutput is the expected length of a response before any was
	// recorded. It is below the usual max_tokens, because an overestimate causes
	// refusals of requests that would finish in time.
	defaultInitialOutput = 256
)

// accountClass is the key of fair shares and expected outputs. Classes are kept
// apart so that an account's backlog of batch drafts does not hold back its
// interactive questions.
type accountClass struct {
	account ident.Account
	class   config.Class
}

func accountClassOf(rq front.Request) accountClass {
	return accountClass{account: rq.Account.ID, class: rq.Class}
}

// Gate is the admission controller of a router. It is safe for concurrent use.
type Gate struct {
	rates         *admit.RateLimiter[ident.Account]
	outputs       *admit.MovingMeans[accountClass]
	fleet         Fleet
	clk           clock.Clock
	met           meter.Meter
	queue         int
	pollPeriod    time.Duration
	initialOutput ident.Tokens

	schedulers sync.Map // *scheduler by schedulerKey
}

// Option configures a Gate.
type Option func(*Gate)

// WithQueueCapacity sets the capacity of the queue of each model and service.
// The default is 1024 requests, the range is 0 or more. At 0 the router queues
// nothing and requests queue at the upstreams.
func WithQueueCapacity(most int) Option { return func(ga *Gate) { ga.queue = max(0, most) } }

// WithPollPeriod sets how often the gate tries to place queued requests when no
// report arrives and no request ends. The default is 100 ms, the range is above 0.
func WithPollPeriod(pe time.Duration) Option { return func(ga *Gate) { ga.pollPeriod = pe } }

// WithExpectedOutput sets the initial value of the expected completion tokens of
// each account and class. The default is 256, the range is above 0.
func WithExpectedOutput(to ident.Tokens) Option { return func(ga *Gate) { ga.initialOutput = to } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(ga *Gate) { ga.clk = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(ga *Gate) { ga.met = me } }

// New returns a gate without limits per client account.
func New(fl Fleet, opts ...Option) *Gate {
	ga := &Gate{
		rates: admit.NewRateLimiter[ident.Account](), fleet: fl,
		clk: clock.System{}, met: meter.Nop{},
		queue: defaultQueueCapacity, pollPeriod: defaultPollPeriod, initialOutput: defaultInitialOutput,
	}
	for _, op := range opts {
		op(ga)
	}
	ga.outputs = admit.NewMovingMeans[accountClass](float64(ga.initialOutput))
	return ga
}

// Configure applies the limits of the client accounts.
func (ga *Gate) Configure(sn config.Snapshot) {
	limits := make(map[ident.Account]admit.Limit)
	for _, ac := range sn.Accounts() {
		limits[ac.ID] = admit.Limit{
			PerSecond: ac.RequestsPerSecond, Burst: max(1, ac.Burst), MaxRunning: ac.MaxRunning,
		}
	}
	ga.rates.SetLimits(limits)
}

// Admit counts the request against the limits of its client account. It returns a
// function that counts the end of the request.
func (ga *Gate) Admit(rq front.Request, now time.Time) (func(), error) {
	if de := ga.rates.Acquire(rq.Account.ID, now); de.Verdict != admit.Admit {
		return nil, refuse.New(de.Reason, "the client account exceeds its limit of requests per second or in flight").WithRetryAt(de.RetryAt)
	}
	return func() { ga.rates.Release(rq.Account.ID) }, nil
}

// Place returns an upstream that can serve the request, after a wait in the queue
// if necessary.
func (ga *Gate) Place(ctx context.Context, rq front.Request, pl front.Placement) (front.Target, error) {
	return ga.scheduler(rq).place(ctx, pendingRequest{request: rq, class: rq.Class, tried: pl.Tried}, pl.Reason)
}

func (ga *Gate) scheduler(rq front.Request) *scheduler {
	key := schedulerKey{kind: rq.Kind, model: rq.Model, service: rq.Service}
	if sc, ok := ga.schedulers.Load(key); ok {
		return sc.(*scheduler)
	}
	sc, _ := ga.schedulers.LoadOrStore(key, newScheduler(ga, key))
	return sc.(*scheduler)
}

// expectedOutput returns the expected number of completion tokens. Callers often
// set max_tokens far above it.
func (ga *Gate) expectedOutput(rq front.Request) ident.Tokens {
	if rq.Kind == config.Plain {
		return rq.MaxTokens
	}
	return min(rq.MaxTokens, ident.Tokens(ga.outputs.Mean(accountClassOf(rq))))
}

// recordOutput includes the length of a complete response in the expected output.
func (ga *Gate) recordOutput(rq front.Request, ar front.AttemptResult) {
	if rq.Kind == config.Engine && ar.Refusal == nil && ar.Output > 0 {
		ga.outputs.Add(accountClassOf(rq), float64(ar.Output))
	}
}

// PlaceQueued places queued requests for which an upstream has a free slot. It is
// called after the reports of the upstreams have changed.
func (ga *Gate) PlaceQueued() {
	ga.schedulers.Range(func(_, sc any) bool {
		sc.(*scheduler).placeQueued()
		return true
	})
}

// Run places queued requests periodically until ctx ends, because upstreams become
// usable again and batch requests gain rank as time passes.
func (ga *Gate) Run(ctx context.Context) {
	ti := time.NewTicker(ga.pollPeriod)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ti.C:
			ga.PlaceQueued()
		}
	}
}
