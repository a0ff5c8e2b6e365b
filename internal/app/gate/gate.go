// Package gate admits requests to a router: rates per client account, fair
// shares, and a bounded queue for each model and service.
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

// Capacity tells what the upstreams of a request can take.
type Capacity interface {
	// Slots returns the slots of all usable upstreams that meet the demand,
	// and how many of them were taken when the upstreams last reported. Zero
	// slots means that nothing was reported.
	Slots(de front.Demand) (slots, running int)
}

// Gate is the admission of a router. It is safe for concurrent use.
type Gate struct {
	rates *admit.Rates[ident.Account]
	capa  Capacity
	rule  admit.Gate
	clk   clock.Clock
	met   meter.Meter
	queue int

	lanes sync.Map // lane by name
}

// Option configures a Gate.
type Option func(*Gate)

// WithQueue bounds the queue of each model and service. The default is 1024
// requests.
func WithQueue(most int) Option { return func(ga *Gate) { ga.queue = most } }

// WithRule sets the admission rule. The default is admit.NewGate().
func WithRule(ru admit.Gate) Option { return func(ga *Gate) { ga.rule = ru } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(ga *Gate) { ga.clk = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(ga *Gate) { ga.met = me } }

// New returns a gate without limits per client account.
func New(ca Capacity, opts ...Option) *Gate {
	ga := &Gate{
		rates: admit.NewRates[ident.Account](), capa: ca, rule: admit.NewGate(),
		clk: clock.System{}, met: meter.Nop{}, queue: 1024,
	}
	for _, op := range opts {
		op(ga)
	}
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

// Admit waits until the request may be dispatched. It returns a function that
// gives its place back.
func (ga *Gate) Admit(ctx context.Context, rq front.Request, now time.Time) (func(), error) {
	if de := ga.rates.Take(rq.Account.ID, now); de.Verdict != admit.Admit {
		return nil, refuse.New(de.Reason, "the client account exceeds its rate").WithRetryAt(de.RetryAt)
	}
	la := ga.lane(rq)
	if err := la.enter(ctx, rq, now); err != nil {
		ga.rates.Done(rq.Account.ID)
		return nil, err
	}
	return func() {
		la.leave(rq)
		ga.rates.Done(rq.Account.ID)
	}, nil
}

func (ga *Gate) lane(rq front.Request) *lane {
	key := laneKey{kind: rq.Kind, model: rq.Model, service: rq.Service}
	if la, ok := ga.lanes.Load(key); ok {
		return la.(*lane)
	}
	la, _ := ga.lanes.LoadOrStore(key, newLane(ga, key))
	return la.(*lane)
}
