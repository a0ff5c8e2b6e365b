// Package direct serves requests at a router that calls the upstreams directly:
// it checks the key and the route, reserves tokens, chooses an upstream, retries
// what may be retried, and settles the usage.
package direct

import (
	"context"
	"hash/maphash"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/resume"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/poison"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// Prepaid is the name of the one budget that each client account has.
const Prepaid ident.Budget = "prepaid"

// Reserver reserves tokens of prepaid budgets.
type Reserver interface {
	// Reserve reserves tokens of the budget. The preference says whether a false
	// refusal or overspend is worse. The error carries a refusal.
	Reserve(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, pf config.Preference) (budget.Hold, error)
}

// View is the router's view of the rest of the system. Each value is an
// immutable snapshot that is loaded once for each decision.
type View interface {
	// Config returns the configuration that is in force.
	Config() intent.Config
	// Upstreams returns the known upstreams.
	Upstreams() place.EndpointMap
}

// RetryBudget is the retry budget of one service.
type RetryBudget interface {
	// RecordFirst counts a first attempt, which adds to the budget.
	RecordFirst()
	// Take takes a retry from the budget and reports whether one was left.
	Take() bool
}

// PartGuard knows which parts of prompts end upstreams. Parts that are not shared are
// not passed to it.
type PartGuard interface {
	// Admit returns a refusal if the request would end another upstream.
	Admit(ctx context.Context, parts []poison.Part) *refuse.Refusal
	// Suspect reports whether another attempt could end another upstream than those
	// tried.
	Suspect(parts []poison.Part, tried []ident.Upstream) bool
	// History returns what is known about the parts.
	History(parts []poison.Part) poison.History
	// Ended records that the connection to the upstream ended before the response showed
	// that the request does not end it. known is what was known when the request was
	// sent, which tells this end from earlier ones of an upstream that keeps its id.
	Ended(up proxy.Upstream, parts []poison.Part, known poison.History)
	// Served records that the request was served, or has been responded to for so long
	// that it does not end its upstream.
	Served(parts []poison.Part)
}

// Roster keeps what upstreams say about themselves in their responses.
type Roster interface {
	// RecordLeaving records that the upstream has announced that it is about to end.
	// The view's next snapshots contain it as leaving.
	RecordLeaving(up place.Upstream)
}

// Streams knows which software releases began the streams in progress.
type Streams interface {
	// Began records a stream whose first event is about to reach the caller. Others of
	// the service that are in progress began at since or later.
	Began(st resume.Stream, since time.Time)
	// Find returns what is known of a stream.
	Find(ctx context.Context, qu resume.Query) (resume.Stream, bool)
}

type options struct {
	guard      PartGuard
	streams    Streams
	roster     Roster
	clock      clock.Clock
	meter      meter.Meter
	domain     ident.Domain
	preference config.Preference
	retries    func() RetryBudget
	link       *shed.Link
	congested  func(now time.Time) bool
}

// Option configures a Service.
type Option func(*options)

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(op *options) { op.clock = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(op *options) { op.meter = me } }

// WithDomain sets the failure domain of the router. Upstreams in it are
// preferred. The default is none.
func WithDomain(domain ident.Domain) Option { return func(op *options) { op.domain = domain } }

// WithPreference sets whether false refusals or overspend weigh more. The
// default is config.AvoidRefusal.
func WithPreference(pf config.Preference) Option { return func(op *options) { op.preference = pf } }

// WithRetries sets the constructor of the retry budget of a service. The default
// allows no retries.
func WithRetries(newRetries func() RetryBudget) Option {
	return func(op *options) { op.retries = newRetries }
}

// WithPartGuard sets what knows the parts of prompts that end upstreams. The default
// knows none.
func WithPartGuard(pg PartGuard) Option { return func(op *options) { op.guard = pg } }

// WithRoster sets what keeps the announcements of upstreams. The default discards them.
func WithRoster(ro Roster) Option { return func(op *options) { op.roster = ro } }

// WithStreams sets what knows the software releases that began streams. By default, a
// stream that a caller takes up goes on only at upstreams that name no release.
func WithStreams(st Streams) Option { return func(op *options) { op.streams = st } }

// Service serves requests. It is safe for concurrent use.
type Service struct {
	view     View
	reserver Reserver
	opts     options
	engines  *place.EnginePolicy
	plain    *place.PlainPolicy
	retries  *snap.Cell[map[ident.Service]RetryBudget]
	seed     maphash.Seed
	// exitAt is when the process exits, or nil if that is not announced.
	exitAt atomic.Pointer[time.Time]
}

// New returns a service.
func New(view View, reserver Reserver, opts ...Option) *Service {
	op := options{clock: clock.System{}, meter: meter.Nop{}, preference: config.AvoidRefusal, retries: func() RetryBudget { return noRetries{} }, guard: noGuard{}, streams: noStreams{}, roster: noRoster{}, congested: func(time.Time) bool { return false }}
	for _, apply := range opts {
		apply(&op)
	}
	return &Service{
		view: view, reserver: reserver, opts: op, engines: place.NewEnginePolicy(), plain: place.NewPlainPolicy(),
		retries: snap.NewCell(map[ident.Service]RetryBudget{}), seed: maphash.MakeSeed(),
	}
}

// Leave announces when the process exits. From now on the service refuses the
// requests whose deadlines are later, because they may not complete in time.
func (se *Service) Leave(exitAt time.Time) { se.exitAt.Store(&exitAt) }

// mayOutlastProcess reports whether a request with the deadline may not have ended when
// the process exits.
func (se *Service) mayOutlastProcess(deadline time.Time) bool {
	exitAt := se.exitAt.Load()
	return exitAt != nil && deadline.After(*exitAt)
}

// Serve handles one request. It returns nil if the response is complete, or else
// the refusal. If started is true, a part of the response was already written, so
// that the refusal cannot be sent and the connection must be closed.
func (se *Service) Serve(ctx context.Context, info proxy.RequestInfo, sender proxy.Sender, writer proxy.ResponseWriter) (started bool, re *refuse.Refusal) {
	rn := &run{se: se, info: info, sender: sender, writer: writer, conf: se.view.Config()}
	rn.lastEvent.Store(info.LastEvent)
	if re := rn.resolve(); re != nil {
		rn.report(re)
		return false, re
	}
	ctx, cancel := context.WithDeadline(ctx, rn.deadline)
	defer cancel()
	if re := se.opts.guard.Admit(ctx, rn.parts); re != nil {
		rn.report(re)
		return false, re
	}
	if re := rn.takeUp(ctx); re != nil {
		rn.report(re)
		return false, re
	}
	hold, re := rn.reserve(ctx)
	if re == nil {
		re = rn.serve(ctx)
		rn.settle(hold)
	}
	rn.report(re)
	return rn.stream != nil, re
}

// retryBudget returns the retry budget of a service and creates it if necessary.
func (se *Service) retryBudget(name ident.Service) RetryBudget {
	if rb, ok := se.retries.Load()[name]; ok {
		return rb
	}
	fresh := se.opts.retries()
	current, _ := se.retries.Update(func(old map[ident.Service]RetryBudget) (map[ident.Service]RetryBudget, bool) {
		if _, ok := old[name]; ok {
			return old, false
		}
		next := make(map[ident.Service]RetryBudget, len(old)+1)
		for key, rb := range old {
			next[key] = rb
		}
		next[name] = fresh
		return next, true
	})
	return current[name]
}

type noRetries struct{}

// RecordFirst does nothing.
func (noRetries) RecordFirst() {}

// Take reports that no retry is left.
func (noRetries) Take() bool { return false }

type noGuard struct{}

// Admit refuses nothing.
func (noGuard) Admit(context.Context, []poison.Part) *refuse.Refusal { return nil }

// Suspect reports false.
func (noGuard) Suspect([]poison.Part, []ident.Upstream) bool { return false }

// Ended does nothing.
func (noGuard) Ended(proxy.Upstream, []poison.Part, poison.History) {}

// History returns nothing.
func (noGuard) History([]poison.Part) poison.History { return nil }

// Served does nothing.
func (noGuard) Served([]poison.Part) {}

// noRoster is the default roster, which keeps nothing.
type noRoster struct{}

// RecordLeaving does nothing.
func (noRoster) RecordLeaving(place.Upstream) {}

// deadlineOf returns the earlier of the route's and the caller's deadline.
func deadlineOf(info proxy.RequestInfo, ro intent.Route) time.Time {
	deadline := info.Arrived.Add(ro.Timeout)
	if !info.Deadline.IsZero() && info.Deadline.Before(deadline) {
		return info.Deadline
	}
	return deadline
}
