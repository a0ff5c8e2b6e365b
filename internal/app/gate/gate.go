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
	defaultQueue = 1024
	defaultDrain = 100 * time.Millisecond
	// defaultOutput is the expected answer before any was seen. It lies below
	// the usual max_tokens, because an estimate that is too long refuses
	// requests that would be on time.
	defaultOutput = 256
)

// claim is a key of fair shares and expected answers. Classes are apart, so
// that an account's backlog of drafts does not hold back its questions.
type claim struct {
	account ident.Account
	class   config.Class
}

func claimOf(rq front.Request) claim { return claim{account: rq.Account.ID, class: rq.Class} }

// Gate is the admission of a router. It is safe for concurrent use.
type Gate struct {
	rates   *admit.Rates[ident.Account]
	outputs *admit.Means[claim]
	fleet   Fleet
	clk     clock.Clock
	met     meter.Meter
	queue   int
	drain   time.Duration
	output  ident.Tokens

	lanes sync.Map // lane by name
}

// Option configures a Gate.
type Option func(*Gate)

// WithQueue bounds the queue of each model and service. The default is 1024
// requests, the range is 0 or more; at 0 only the upstreams queue.
func WithQueue(most int) Option { return func(ga *Gate) { ga.queue = max(0, most) } }

// WithDrainPeriod sets how often queued requests are looked at when no report
// arrives and no request ends. The default is 100 ms, the range is above 0.
func WithDrainPeriod(pe time.Duration) Option { return func(ga *Gate) { ga.drain = pe } }

// WithOutput sets the expected completion tokens of an account's first
// requests of a class. The default is 256, the range is above 0.
func WithOutput(to ident.Tokens) Option { return func(ga *Gate) { ga.output = to } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(ga *Gate) { ga.clk = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(ga *Gate) { ga.met = me } }

// New returns a gate without limits per client account.
func New(fl Fleet, opts ...Option) *Gate {
	ga := &Gate{
		rates: admit.NewRates[ident.Account](), fleet: fl,
		clk: clock.System{}, met: meter.Nop{},
		queue: defaultQueue, drain: defaultDrain, output: defaultOutput,
	}
	for _, op := range opts {
		op(ga)
	}
	ga.outputs = admit.NewMeans[claim](float64(ga.output))
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
	ga.rates.Set(limits)
}

// Admit counts the request against the limits of its client account. It returns
// a function that ends this.
func (ga *Gate) Admit(rq front.Request, now time.Time) (func(), error) {
	if de := ga.rates.Take(rq.Account.ID, now); de.Verdict != admit.Admit {
		return nil, refuse.New(de.Reason, "the client account exceeds its rate").WithRetryAt(de.RetryAt)
	}
	return func() { ga.rates.Done(rq.Account.ID) }, nil
}

// Place returns an upstream that can take the request, after a wait in the
// queue if necessary.
func (ga *Gate) Place(ctx context.Context, rq front.Request, pl front.Placing) (front.Target, error) {
	return ga.lane(rq).place(ctx, work{rq: rq, class: rq.Class, tried: pl.Tried}, pl.Turn)
}

func (ga *Gate) lane(rq front.Request) *lane {
	key := laneKey{kind: rq.Kind, model: rq.Model, service: rq.Service}
	if la, ok := ga.lanes.Load(key); ok {
		return la.(*lane)
	}
	la, _ := ga.lanes.LoadOrStore(key, newLane(ga, key))
	return la.(*lane)
}

// expected returns the completion tokens that the request will probably need.
// Callers often set max_tokens far above that.
func (ga *Gate) expected(rq front.Request) ident.Tokens {
	if rq.Kind == config.Plain {
		return rq.MaxTokens
	}
	return min(rq.MaxTokens, ident.Tokens(ga.outputs.Mean(claimOf(rq))))
}

// learn takes a complete answer into account.
func (ga *Gate) learn(rq front.Request, ve front.Verdict) {
	if rq.Kind == config.Engine && ve.Refusal == nil && ve.Output > 0 {
		ga.outputs.Add(claimOf(rq), float64(ve.Output))
	}
}

// Refresh places queued requests after the upstreams' reports have changed.
func (ga *Gate) Refresh() {
	ga.lanes.Range(func(_, la any) bool {
		la.(*lane).advance()
		return true
	})
}

// Run looks at queued requests periodically until ctx ends: upstreams become
// usable again and batch work gains rank as time passes.
func (ga *Gate) Run(ctx context.Context) {
	ti := time.NewTicker(ga.drain)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ti.C:
			ga.Refresh()
		}
	}
}
