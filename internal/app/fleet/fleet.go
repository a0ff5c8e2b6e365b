// Package fleet keeps a router's links to sidecars and chooses among the
// upstreams behind them.
package fleet

import (
	"context"
	"log/slog"
	"maps"
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

// Link is a connection to one sidecar that is kept open while Run runs.
type Link interface {
	peer.Sidecar
	// Run keeps the connection open until ctx ends.
	Run(ctx context.Context)
	// Tried reports whether a first attempt to connect has ended.
	Tried() bool
	// Connected reports whether the connection is open.
	Connected() bool
	// ConfigChanged offers the configuration in force to the sidecar.
	ConfigChanged()
}

// Dial returns a link to the upstream's sidecar. The link calls onReport in
// turn with each report.
type Dial func(up config.Upstream, onReport func(peer.Report)) Link

// Fleet is the set of upstreams that a router knows. It is safe for concurrent
// use.
type Fleet struct {
	vm       ident.VM
	dial     Dial
	clk      clock.Clock
	met      meter.Meter
	name     route.Name
	links    int
	suspect  time.Duration
	rule     admit.Gate
	seed     uint64
	policy   route.Policy[*route.Candidate]
	tracker  *route.Tracker
	prefixes *route.Prefixes
	view     *snap.Cell[route.View]
	nodes    *snap.Cell[map[ident.Upstream]*node]
	totals   *snap.Cell[map[ident.Model]total]
	listed   *snap.Cell[map[ident.VM]bool]
	onChange func()

	mu  sync.Mutex
	ctx context.Context
	wg  sync.WaitGroup
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithPolicy sets the policy by name. The default is expectedFinish.
func WithPolicy(na route.Name) Option { return func(fl *Fleet) { fl.name = na } }

// WithLinks bounds the links of the router. The default is 64; three to each
// model and service are kept in any case.
func WithLinks(most int) Option { return func(fl *Fleet) { fl.links = most } }

// WithSuspectTime sets how long an upstream is avoided after a failed link,
// unless it reports before. The default is 5 s.
func WithSuspectTime(du time.Duration) Option { return func(fl *Fleet) { fl.suspect = du } }

// WithRule sets the admission rule. The default is admit.NewGate().
func WithRule(ru admit.Gate) Option { return func(fl *Fleet) { fl.rule = ru } }

// WithSeed sets the seed of the policy's random choices. The default is 1.
func WithSeed(seed uint64) Option { return func(fl *Fleet) { fl.seed = seed } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(fl *Fleet) { fl.clk = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(fl *Fleet) { fl.met = me } }

// WithOnChange sets a function that is called after an upstream's report was
// applied. The default does nothing.
func WithOnChange(fn func()) Option { return func(fl *Fleet) { fl.onChange = fn } }

// New returns a fleet without upstreams. vm selects the router's subset of
// links.
func New(vm ident.VM, dial Dial, opts ...Option) (*Fleet, error) {
	fl := &Fleet{
		vm: vm, dial: dial, clk: clock.System{}, met: meter.Nop{},
		name: route.ExpectedFinish, links: 64, suspect: 5 * time.Second, rule: admit.NewGate(), seed: 1,
		tracker: route.NewTracker(), prefixes: route.NewPrefixes(),
		view:     snap.NewCell(route.View{}),
		nodes:    snap.NewCell(map[ident.Upstream]*node{}),
		totals:   snap.NewCell(map[ident.Model]total{}),
		listed:   snap.NewCell(map[ident.VM]bool{}),
		onChange: func() {},
	}
	for _, op := range opts {
		op(fl)
	}
	po, err := route.New(fl.name, route.CandidateTraits(fl.tracker), route.NewRand(fl.seed))
	if err != nil {
		return nil, err
	}
	fl.policy = po
	return fl, nil
}

// Start makes the fleet follow ctx: all links end with it.
func (fl *Fleet) Start(ctx context.Context) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.ctx = ctx
}

// Wait returns after every link has ended.
func (fl *Fleet) Wait() { fl.wg.Wait() }

// Sync makes the links match the configuration. An upstream that was removed
// gets no new work at once; its link stays until its requests have ended.
func (fl *Fleet) Sync(sn config.Snapshot) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	want := fl.subset(sn)
	have := maps.Clone(fl.nodes.Load())
	for id, no := range have {
		if up, ok := want[id]; !ok || !no.same(up) {
			delete(have, id)
			fl.drop(no)
		}
	}
	for id, up := range want {
		if no, ok := have[id]; ok {
			no.link.ConfigChanged()
			continue
		}
		have[id] = fl.add(up)
	}
	fl.nodes.Store(have)
}

// leastLinks is the number of links to each model and service that the limit
// leaves in any case, so that each stays covered when two failure domains fail.
const leastLinks = 3

// subset returns the upstreams that this router keeps links to. The models and
// services share the limit evenly.
func (fl *Fleet) subset(sn config.Snapshot) map[ident.Upstream]config.Upstream {
	groups := make(map[ident.Model][]route.Member)
	for _, up := range sn.Upstreams() {
		for _, mo := range offers(up) {
			groups[mo] = append(groups[mo], route.Member{Upstream: up.ID, Domain: up.Domain})
		}
	}
	want := make(map[ident.Upstream]config.Upstream)
	most := max(leastLinks, fl.links/max(1, len(groups)))
	for _, members := range groups {
		for _, id := range route.Subset(fl.vm, members, most) {
			up, _ := sn.Upstream(id)
			want[id] = up
		}
	}
	return want
}

func (fl *Fleet) add(up config.Upstream) *node {
	ctx, cancel := context.WithCancel(fl.ctx)
	no := &node{up: up, cancel: cancel}
	no.link = fl.dial(up, func(rp peer.Report) {
		no.revision.Store(uint64(rp.Revision))
		fl.observe(no, rp)
	})
	fl.view.Update(func(vi route.View) (route.View, bool) {
		ca := route.NewCandidate(up.ID, up.Domain, offers(up)...)
		return vi.With(ca.WithLeaving(fl.listed.Load()[up.VM])), true
	})
	fl.wg.Go(func() { no.link.Run(ctx) })
	fl.met.Log(evAdded, slog.String("upstream", string(up.ID)))
	return no
}

func (fl *Fleet) drop(no *node) {
	fl.view.Update(func(vi route.View) (route.View, bool) { return vi.Without(no.up.ID), true })
	fl.tracker.Forget(no.up.ID)
	fl.prefixes.Forget(no.up.ID)
	no.retire()
	fl.met.Log(evRemoved, slog.String("upstream", string(no.up.ID)))
}

// observe applies a report of a sidecar. It also ends suspicion, because the
// upstream answers.
func (fl *Fleet) observe(no *node, rp peer.Report) {
	id, ld := no.up.ID, rp.Load
	left, newly := no.leaves(rp), false
	fl.view.Update(func(vi route.View) (route.View, bool) {
		ca, ok := vi.Get(id)
		if !ok {
			return vi, false
		}
		leaving := left || fl.listed.Load()[no.up.VM]
		newly = leaving && !ca.Leaving()
		return vi.With(ca.WithLeaving(leaving).WithSuspect(time.Time{}).WithLoad(route.Load{
			At: ld.At, Running: ld.Running, Waiting: ld.Waiting, Slots: ld.Slots,
			QueuedTokens: ld.QueuedTokens, TokensPerSecond: ld.TokensPerSecond,
			Routers: rp.Routers,
		})), true
	})
	fl.tracker.Report(id, ld.At, rp.Received)
	fl.sum()
	fl.onChange()
	if newly {
		fl.met.Log(evLeaving, slog.String("upstream", string(id)))
	}
}

// Tried reports whether a first attempt to connect to every sidecar has ended.
func (fl *Fleet) Tried() bool {
	for _, no := range fl.nodes.Load() {
		if !no.link.Tried() {
			return false
		}
	}
	return true
}

// View returns the candidates as they are known now.
func (fl *Fleet) View() route.View { return fl.view.Load() }

// Links returns the links by upstream.
func (fl *Fleet) Links() map[ident.Upstream]Link {
	out := make(map[ident.Upstream]Link)
	for id, no := range fl.nodes.Load() {
		out[id] = no.link
	}
	return out
}

// Revisions returns the configuration revisions that the connected sidecars
// reported.
func (fl *Fleet) Revisions() map[ident.Upstream]ident.Revision {
	out := make(map[ident.Upstream]ident.Revision)
	for id, no := range fl.nodes.Load() {
		if no.link.Connected() {
			out[id] = ident.Revision(no.revision.Load())
		}
	}
	return out
}

// offers returns what the upstream serves. A plain service is listed like a
// model, under a name that no model has.
func offers(up config.Upstream) []ident.Model {
	if up.Kind == config.Plain {
		return []ident.Model{serviceModel(up.Service)}
	}
	return up.Models
}

func serviceModel(se ident.Service) ident.Model { return ident.Model("service:" + string(se)) }
