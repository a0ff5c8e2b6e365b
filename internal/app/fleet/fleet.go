// Package fleet maintains a router's links to sidecars and chooses among their
// upstreams.
package fleet

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// Events of the router's links.
var (
	evAdded   = meter.Event{Number: 1101, Level: slog.LevelInfo, Text: "upstream added"}
	evRemoved = meter.Event{Number: 1102, Level: slog.LevelInfo, Text: "upstream removed"}
	evLeaving = meter.Event{Number: 1103, Level: slog.LevelInfo, Text: "upstream is leaving"}
	evSuspect = meter.Event{Number: 1104, Level: slog.LevelWarn, Text: "upstream is avoided after a failure"}
)

// Link is a connection to one sidecar, which is kept open while Run runs.
type Link interface {
	peer.Sidecar
	// Run keeps the connection open until ctx ends.
	Run(ctx context.Context)
	// ConnectAttempted reports whether the first attempt to connect has succeeded
	// or failed.
	ConnectAttempted() bool
	// Connected reports whether the connection is open.
	Connected() bool
	// ConfigChanged makes the link offer the configuration in force to the
	// sidecar.
	ConfigChanged()
}

// Dial returns a link to the upstream's sidecar. The link calls onReport with each
// report, one call at a time.
type Dial func(up config.Upstream, onReport func(peer.Report)) Link

// Fleet is the set of upstreams that a router knows. It is safe for concurrent
// use.
type Fleet struct {
	vm          ident.VM
	dial        Dial
	clk         clock.Clock
	met         meter.Meter
	policyName  route.Name
	maxLinks    int
	suspectTime time.Duration
	admission   admit.Rule
	seed        uint64
	policy      route.Policy[*route.Candidate]
	tracker     *route.Tracker
	prefixes    *route.PrefixIndex
	view        *snap.Cell[route.View]
	upstreams   *snap.Cell[map[ident.Upstream]*linkedUpstream]
	totals      *snap.Cell[map[ident.Model]modelTotal]
	leavingVMs  *snap.Cell[map[ident.VM]bool]
	onChange    func()

	mu  sync.Mutex
	ctx context.Context
	wg  sync.WaitGroup
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithPolicy sets the policy by name. The default is expectedFinish.
func WithPolicy(na route.Name) Option { return func(fl *Fleet) { fl.policyName = na } }

// WithMaxLinks bounds the number of links of the router. The default is 64. Three
// links to each model and service are kept regardless of the bound.
func WithMaxLinks(most int) Option { return func(fl *Fleet) { fl.maxLinks = most } }

// WithSuspectTime sets how long an upstream is avoided after a failure, unless it
// sends a report before. The default is 5 s.
func WithSuspectTime(du time.Duration) Option { return func(fl *Fleet) { fl.suspectTime = du } }

// WithRule sets the admission rule. The default is admit.NewRule().
func WithRule(ru admit.Rule) Option { return func(fl *Fleet) { fl.admission = ru } }

// WithSeed sets the seed of the policy's random choices. The default is 1.
func WithSeed(seed uint64) Option { return func(fl *Fleet) { fl.seed = seed } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(fl *Fleet) { fl.clk = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(fl *Fleet) { fl.met = me } }

// WithOnChange sets a function that is called after a report of an upstream or a
// change of the leaving VMs was applied. The default does nothing.
func WithOnChange(fn func()) Option { return func(fl *Fleet) { fl.onChange = fn } }

// New returns a fleet without upstreams. vm is the router's VM, which determines
// its subset of links.
func New(vm ident.VM, dial Dial, opts ...Option) (*Fleet, error) {
	fl := &Fleet{
		vm: vm, dial: dial, clk: clock.System{}, met: meter.Nop{},
		policyName: route.ExpectedFinish, maxLinks: 64, suspectTime: 5 * time.Second, admission: admit.NewRule(), seed: 1,
		tracker: route.NewTracker(), prefixes: route.NewPrefixIndex(),
		view:       snap.NewCell(route.View{}),
		upstreams:  snap.NewCell(map[ident.Upstream]*linkedUpstream{}),
		totals:     snap.NewCell(map[ident.Model]modelTotal{}),
		leavingVMs: snap.NewCell(map[ident.VM]bool{}),
		onChange:   func() {},
	}
	for _, op := range opts {
		op(fl)
	}
	po, err := route.New(fl.policyName, route.CandidateTraits(fl.tracker), route.NewRand(fl.seed))
	if err != nil {
		return nil, err
	}
	fl.policy = po
	return fl, nil
}

// Start sets the context of the links, which all end with it. It must be called
// before Sync.
func (fl *Fleet) Start(ctx context.Context) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.ctx = ctx
}

// Wait returns after every link has ended.
func (fl *Fleet) Wait() { fl.wg.Wait() }

// Sync makes the links match the configuration. An upstream that was removed
// receives no new requests from then on; its link is closed once its running
// requests have ended.
func (fl *Fleet) Sync(sn config.Snapshot) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	want := fl.subset(sn)
	have := maps.Clone(fl.upstreams.Load())
	for id, lu := range have {
		if up, ok := want[id]; !ok || !lu.unchanged(up) {
			delete(have, id)
			fl.drop(lu)
		}
	}
	for id, up := range want {
		if lu, ok := have[id]; ok {
			lu.link.ConfigChanged()
			continue
		}
		have[id] = fl.add(up, sn.DomainClosed(up.Domain))
	}
	fl.upstreams.Store(have)
	if fl.setClosed(sn) {
		fl.updateTotals()
		fl.onChange()
	}
}

// setClosed updates the candidates whose failure domains were closed or opened, and
// reports whether there is one.
func (fl *Fleet) setClosed(sn config.Snapshot) bool {
	_, changed := fl.view.Update(func(vi route.View) (route.View, bool) {
		changed := false
		for _, ca := range vi.All() {
			if closed := sn.DomainClosed(ca.Domain()); closed != ca.Closed() {
				vi, changed = vi.With(ca.WithClosed(closed)), true
			}
		}
		return vi, changed
	})
	return changed
}

// minLinks is the minimum number of links to each model and service, regardless of
// the limit. With three, each is still reachable when two failure domains fail.
const minLinks = 3

// subset returns the upstreams that this router keeps links to. The limit is
// divided evenly among the models and services. Links to upstreams in closed failure
// domains are kept beside those to others, because configuration and orders use them.
func (fl *Fleet) subset(sn config.Snapshot) map[ident.Upstream]config.Upstream {
	groups := make(map[ident.Model][]route.Member)
	for _, up := range sn.Upstreams() {
		for _, mo := range servedModels(up) {
			groups[mo] = append(groups[mo], route.Member{Upstream: up.ID, Domain: up.Domain})
		}
	}
	want := make(map[ident.Upstream]config.Upstream)
	most := max(minLinks, fl.maxLinks/max(1, len(groups)))
	for _, members := range groups {
		open := slices.DeleteFunc(slices.Clone(members), func(me route.Member) bool { return sn.DomainClosed(me.Domain) })
		for _, id := range slices.Concat(route.Subset(fl.vm, members, most), route.Subset(fl.vm, open, most)) {
			up, _ := sn.Upstream(id)
			want[id] = up
		}
	}
	return want
}

// add makes the upstream a candidate and starts its link.
func (fl *Fleet) add(up config.Upstream, closed bool) *linkedUpstream {
	ctx, cancel := context.WithCancel(fl.ctx)
	lu := &linkedUpstream{up: up, cancel: cancel}
	lu.link = fl.dial(up, func(rp peer.Report) {
		lu.revision.Store(uint64(rp.Revision))
		fl.observe(lu, rp)
	})
	fl.view.Update(func(vi route.View) (route.View, bool) {
		ca := route.NewCandidate(up.ID, up.Domain, servedModels(up)...)
		return vi.With(ca.WithLeaving(fl.leavingVMs.Load()[up.VM]).WithClosed(closed)), true
	})
	fl.wg.Go(func() { lu.link.Run(ctx) })
	fl.met.Log(evAdded, slog.String("upstream", string(up.ID)))
	return lu
}

// drop removes the upstream from the candidates and closes its link once its
// requests have ended.
func (fl *Fleet) drop(lu *linkedUpstream) {
	fl.view.Update(func(vi route.View) (route.View, bool) { return vi.Without(lu.up.ID), true })
	fl.tracker.Forget(lu.up.ID)
	fl.prefixes.Forget(lu.up.ID)
	lu.retire()
	fl.met.Log(evRemoved, slog.String("upstream", string(lu.up.ID)))
}

// observe applies a report of a sidecar. The upstream is no longer suspect,
// because its sidecar can be reached.
func (fl *Fleet) observe(lu *linkedUpstream, rp peer.Report) {
	id, ld := lu.up.ID, rp.Load
	reported, newly := lu.recordReport(rp), false
	fl.view.Update(func(vi route.View) (route.View, bool) {
		ca, ok := vi.Get(id)
		if !ok {
			return vi, false
		}
		leaving := reported || fl.leavingVMs.Load()[lu.up.VM]
		newly = leaving && !ca.Leaving()
		return vi.With(ca.WithLeaving(leaving).WithSuspect(time.Time{}).WithLoad(route.Load{
			At: ld.At, Running: ld.Running, Waiting: ld.Waiting, Slots: ld.Slots,
			QueuedTokens: ld.QueuedTokens, TokensPerSecond: ld.TokensPerSecond,
			Routers: rp.Routers,
		})), true
	})
	fl.tracker.Report(id, ld.At, rp.Received)
	fl.updateTotals()
	fl.onChange()
	if newly {
		fl.met.Log(evLeaving, slog.String("upstream", string(id)))
	}
}

// ConnectAttempted reports whether the first attempt to connect to each sidecar
// has succeeded or failed.
func (fl *Fleet) ConnectAttempted() bool {
	for _, lu := range fl.upstreams.Load() {
		if !lu.link.ConnectAttempted() {
			return false
		}
	}
	return true
}

// View returns a snapshot of the candidates.
func (fl *Fleet) View() route.View { return fl.view.Load() }

// Links returns the links by upstream.
func (fl *Fleet) Links() map[ident.Upstream]Link {
	out := make(map[ident.Upstream]Link)
	for id, lu := range fl.upstreams.Load() {
		out[id] = lu.link
	}
	return out
}

// Revisions returns the configuration revisions that the connected sidecars
// reported.
func (fl *Fleet) Revisions() map[ident.Upstream]ident.Revision {
	out := make(map[ident.Upstream]ident.Revision)
	for id, lu := range fl.upstreams.Load() {
		if lu.link.Connected() {
			out[id] = ident.Revision(lu.revision.Load())
		}
	}
	return out
}

// servedModels returns the models that the upstream serves. A plain service is
// represented by a model name that no model has.
func servedModels(up config.Upstream) []ident.Model {
	if up.Kind == config.Plain {
		return []ident.Model{serviceModel(up.Service)}
	}
	return up.Models
}

func serviceModel(se ident.Service) ident.Model { return ident.Model("service:" + string(se)) }
