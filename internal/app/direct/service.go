// Package direct serves requests from upstreams that a router calls itself: it
// checks the key and the route, reserves tokens, chooses an upstream, repeats
// what may be repeated, and settles what was used.
package direct

import (
	"context"
	"hash/maphash"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/hop"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Prepaid is the name of the one budget that each client account has.
const Prepaid ident.Budget = "prepaid"

// Purse reserves tokens of prepaid budgets.
type Purse interface {
	Reserve(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, we config.Weight) (budget.Hold, error)
}

// Belief is what the router believes about the rest of the system. Both values
// are loaded once for each decision.
type Belief interface {
	Config() intent.Config
	Upstreams() place.Map
}

// Retries bounds the repetitions of one service.
type Retries interface {
	// First counts a first attempt, Take reports whether a further one is
	// allowed.
	First()
	Take() bool
}

type options struct {
	clock   clock.Clock
	meter   meter.Meter
	domain  ident.Domain
	weight  config.Weight
	retries func() Retries
}

// Option configures a Service.
type Option func(*options)

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(op *options) { op.clock = ck } }

// WithMeter sets the meter. By default nothing is recorded.
func WithMeter(me meter.Meter) Option { return func(op *options) { op.meter = me } }

// WithDomain sets the failure domain of the router, whose upstreams are
// preferred. The default is none.
func WithDomain(domain ident.Domain) Option { return func(op *options) { op.domain = domain } }

// WithWeight sets which error hurts the accounts more. The default is
// config.WeighRefusal.
func WithWeight(we config.Weight) Option { return func(op *options) { op.weight = we } }

// WithRetries sets the constructor of the retry allowance of a service. By
// default nothing is repeated.
func WithRetries(newRetries func() Retries) Option {
	return func(op *options) { op.retries = newRetries }
}

// Service is the use case. Serve may be called from several goroutines.
type Service struct {
	belief  Belief
	purse   Purse
	opts    options
	engines *place.Engines
	plain   *place.Plain
	retries *snap.Cell[map[ident.Service]Retries]
	seed    maphash.Seed
	// end is when the process ends, or nil.
	end atomic.Pointer[time.Time]
}

// New returns a service.
func New(belief Belief, purse Purse, opts ...Option) *Service {
	op := options{clock: clock.System{}, meter: meter.Nop{}, weight: config.WeighRefusal, retries: func() Retries { return none{} }}
	for _, apply := range opts {
		apply(&op)
	}
	return &Service{
		belief: belief, purse: purse, opts: op, engines: place.NewEngines(), plain: place.NewPlain(),
		retries: snap.NewCell(map[ident.Service]Retries{}), seed: maphash.MakeSeed(),
	}
}

// Leave makes the service refuse all streams, and the other requests shortly
// before the end of the process, because they may not be complete by then.
func (se *Service) Leave(end time.Time) { se.end.Store(&end) }

// tooLate reports whether a request of the route may outlast the process.
func (se *Service) tooLate(ro intent.Route, now time.Time) bool {
	end := se.end.Load()
	return end != nil && (ro.Kind == intent.Stream || now.Add(lastCall).After(*end))
}

// Serve answers one request. It returns nil if the reply is complete, or else
// why it is not. If begun is set, a part of the answer has been written and the
// connection must be broken off.
func (se *Service) Serve(ctx context.Context, ask hop.Ask, rq hop.Request, rp hop.Reply) (begun bool, re *refuse.Refusal) {
	rn := &run{se: se, ask: ask, rq: rq, rp: rp, conf: se.belief.Config(), last: ask.After}
	if re := rn.check(); re != nil {
		rn.report(re)
		return false, re
	}
	ctx, cancel := context.WithDeadline(ctx, rn.deadline)
	defer cancel()
	hold, re := rn.reserve(ctx)
	if re == nil {
		re = rn.serve(ctx)
		rn.settle(hold)
	}
	rn.report(re)
	return rn.begun, re
}

// allowance returns the retry allowance of a service.
func (se *Service) allowance(name ident.Service) Retries {
	if al, ok := se.retries.Load()[name]; ok {
		return al
	}
	fresh := se.opts.retries()
	now, _ := se.retries.Update(func(old map[ident.Service]Retries) (map[ident.Service]Retries, bool) {
		if _, ok := old[name]; ok {
			return old, false
		}
		next := make(map[ident.Service]Retries, len(old)+1)
		for key, al := range old {
			next[key] = al
		}
		next[name] = fresh
		return next, true
	})
	return now[name]
}

type none struct{}

// First does nothing.
func (none) First() {}

// Take allows nothing.
func (none) Take() bool { return false }

// deadlineOf returns the time by which the request needs its final answer.
func deadlineOf(ask hop.Ask, ro intent.Route) time.Time {
	by := ask.Arrived.Add(ro.Timeout)
	if !ask.Deadline.IsZero() && ask.Deadline.Before(by) {
		return ask.Deadline
	}
	return by
}
