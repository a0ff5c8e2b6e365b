// Package direct wires a router that calls upstreams itself, without a sidecar
// beside each of them.
package direct

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/adapt/peers"
	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/adapt/serve"
	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	app "github.com/balsamwood/balsamwood/internal/app/direct"
	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/app/hedge"
	"github.com/balsamwood/balsamwood/internal/app/poison"
	"github.com/balsamwood/balsamwood/internal/app/resume"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Log events of the direct router.
var (
	evStarted          = meter.Event{Number: 9301, Level: slog.LevelInfo, Text: "direct router started"}
	evReady            = meter.Event{Number: 9302, Level: slog.LevelInfo, Text: "direct router is ready"}
	evLeaving          = meter.Event{Number: 9303, Level: slog.LevelInfo, Text: "direct router is leaving"}
	evStopped          = meter.Event{Number: 9304, Level: slog.LevelInfo, Text: "direct router stopped"}
	evRegisterFailed   = meter.Event{Number: 9305, Level: slog.LevelWarn, Text: "the incarnation could not be registered yet"}
	evEscrowHeld       = meter.Event{Number: 9306, Level: slog.LevelWarn, Text: "escrow stays held after the shutdown"}
	evReclaimFailed    = meter.Event{Number: 9308, Level: slog.LevelWarn, Text: "escrow of earlier incarnations could not be reclaimed"}
	evReloaded         = meter.Event{Number: 9309, Level: slog.LevelInfo, Text: "settings reloaded"}
	evLateReclaimed    = meter.Event{Number: 9311, Level: slog.LevelInfo, Text: "escrow of a late draw of a dead incarnation reclaimed"}
	evSettingsRejected = meter.Event{Number: 9310, Level: slog.LevelError, Text: "new settings cannot be used, the previous ones stay in force"}
)

const (
	// retryDelay is the wait between attempts to register the incarnation and
	// between attempts to reclaim escrow.
	retryDelay = 200 * time.Millisecond
	// minLeavingTime is how long the router still accepts callers after it has
	// announced that it leaves. The platform stops sending callers after two
	// failed readiness checks that are one second apart.
	minLeavingTime = 2500 * time.Millisecond
	// refuseLongAfter is the time after which a leaving router refuses requests that may
	// not have ended when the process exits. It is halfway to the exit if that is sooner.
	refuseLongAfter = 2900 * time.Millisecond
	// escrowReturnTimeout bounds the return of escrow. This time is reserved at
	// the end of the drain time.
	escrowReturnTimeout = 500 * time.Millisecond
	// statementTimeout bounds the transfer of the statement to other routers.
	statementTimeout = 250 * time.Millisecond
	// leavePollInterval is the time between two checks for busy connections while
	// the router leaves.
	leavePollInterval = 50 * time.Millisecond
	// expireInterval is the time between two removals of expired upstreams.
	expireInterval = 200 * time.Millisecond
	// maxFeedOverdue is how long the feed of the upstreams may be overdue until a new
	// software release may have been missed.
	maxFeedOverdue = time.Second
	// budgetReadInterval is the time between two reads of a budget row while the
	// router holds unused escrow of the budget.
	budgetReadInterval = 2 * time.Second
	// maxReclaimAttempts bounds the attempts to reclaim, which take at least 8 s
	// together. By then the time lock of a predecessor has expired; what was not
	// reclaimed stays held.
	maxReclaimAttempts = 40
	// lateDrawDelay is the time after a reclaim by which a delayed write of the dead
	// incarnation has taken effect or never will.
	lateDrawDelay = 10 * time.Second
	// flushInterval is the time between two flushes of the escrow holder.
	flushInterval = 200 * time.Millisecond
	// partLongPoll is how long the store may hold a call for the records of prompt
	// parts, which are rarely written. A connection without responses is detected
	// within 2 s, so that what others have seen is known within 3 s.
	partLongPoll = 1600 * time.Millisecond
	// flushParallelism is the number of budgets that are flushed at the same time.
	flushParallelism = 8
)

// headroom is the escrow held in advance. It has to last through outages of the
// store, which may take 8 s.
var headroom = escrow.Headroom{Seconds: 16, LowSeconds: 10, Requests: 4, LowRequests: 1, Parts: 2, IdleParts: 8, LeftParts: 2}

// timeLock leaves little of the escrow unlocked: what is unlocked when a router is
// killed is lost to the account. A killed router runs again after 1 to 3 s. While
// no router can reach the store, requests wait until locked escrow unlocks by
// expiry.
var timeLock = budget.TimeLock{
	RenewInterval: 400 * time.Millisecond, LockTime: time.Second,
	IdleRenewInterval: time.Second, IdleLockTime: 2500 * time.Millisecond,
	AvailableFor: time.Second, ScarceBelow: 12 * time.Second, ScarceLockTime: 2200 * time.Millisecond, ScarceAvailableFor: 300 * time.Millisecond,
	UnlockFactor:  1.3,
	MinUnlockSpan: 2 * time.Second, MaxUnlockSpan: 30 * time.Second,
}

// Platform holds the adapters to the platform of a deployment.
type Platform struct {
	Table     store.Table
	Configs   feed.Feed
	Upstreams feed.Feed
	// PoisonRecords is the feed of the rows with the prefix poison.Prefix.
	PoisonRecords  feed.Feed
	DecodeConfig   follow.DecodeConfig
	DecodeClosure  follow.DecodeClosure
	DecodeUpstream follow.DecodeUpstream
	HeaderNames    terms.HeaderNames
	// Clock returns a lower bound of the store's clock in milliseconds. Started
	// returns an upper bound, on the same clock, of the time of the first call to
	// the store; a router makes this call when it already listens on its
	// addresses. Both report false while the time is not known.
	Clock, Started func() (ms int64, ok bool)
	// Era returns how often the store has returned from an older copy.
	Era func() uint64
}

// Router is a router that calls upstreams itself.
type Router struct {
	settings    conf.DirectRouter
	met         meter.Meter
	incarnation ident.Incarnation
	configs     *follow.Config
	upstreams   *follow.Upstreams
	closures    *follow.Closures
	feedLoops   []*follow.Loop
	// upstreamLoop is the feed loop of the upstreams.
	upstreamLoop *follow.Loop
	fleet        *follow.Fleet
	ledger       *budget.Ledger
	platform     Platform
	holder       *budget.Holder
	pool         *pool.Pool
	// link is the network link of the VM, or nil if its rate is not known.
	link        *shed.Link
	rotation    *rotation
	service     *app.Service
	parts       *poison.Registry
	streams     *resume.Registry
	entry       *entry.Server
	readyServer *serve.Server
	peerServer  *serve.Server
	opsServer   *serve.Server
	gossips     []*follow.Gossip
	peers       *peers.Client

	statements *budget.Statements

	// seeds are the addresses of other routers from the settings in force.
	seeds *snap.Cell[[]string]
	// registered is set once the incarnation is registered and a configuration is
	// in force.
	registered atomic.Bool
	leaving    atomic.Bool
}

// Option configures a Router.
type Option func(*Router)

// New wires a router and opens its listeners.
func New(set conf.DirectRouter, me meter.Meter, metrics http.Handler, pf Platform, opts ...Option) (*Router, error) {
	ro := &Router{settings: set, met: me, incarnation: ident.NewIncarnation(), seeds: snap.NewCell(set.Seeds)}
	for _, opt := range opts {
		opt(ro)
	}
	ro.pool = newPool(set, pf, ro.link)
	ro.configs = follow.NewConfig(pf.DecodeConfig, me)
	ro.upstreams = follow.NewUpstreams(pf.DecodeUpstream, me, follow.WithColdView(view{ro}))
	ro.closures = follow.NewClosures(pf.DecodeClosure, ro.upstreams, me)
	configLoop := follow.NewLoop("configuration", pf.Configs, follow.Sinks{ro.closures, ro.configs.Sink()}, follow.WithMeter(me))
	upstreamLoop := follow.NewLoop("upstreams", pf.Upstreams, ro.upstreams, follow.WithMeter(me))
	cl := peers.NewClient(ro.peerAddresses, client.WithLink(ro.link))
	table := hedge.NewTable(pf.Table, cl, hedge.WithMeter(me), hedge.WithCongestion(ro.congested))
	ro.parts = poison.NewRegistry(table, codec.PoisonRecord(), pf.Clock, pool.Refuses, poison.WithMeter(me))
	partLoop := follow.NewLoop("parts", pf.PoisonRecords, ro.parts, follow.WithMeter(me), follow.WithLongPoll(partLongPoll))
	ro.feedLoops, ro.upstreamLoop = []*follow.Loop{configLoop, upstreamLoop, partLoop}, upstreamLoop
	ro.ledger, ro.platform = budget.NewLedger(table, codec.Ledger(), budget.WithEra(pf.Era)), pf
	ro.fleet = follow.NewFleet(ro.ledger, set.VM, me)
	ro.rotation = newRotation(ro)
	ro.streams = resume.NewRegistry(ro.fleet.Peers, cl, resume.WithMeter(me))
	ro.peers, ro.statements = cl, budget.NewStatements(ro.ledger, me)
	ro.gossips = []*follow.Gossip{
		follow.NewGossip(ro.configs, configLoop, ro.peerAddresses, cl.FetchConfig),
		follow.NewClosureGossip(ro.closures, configLoop, ro.peerAddresses, cl.FetchClosures),
	}
	ro.holder = budget.NewHolder(ro.incarnation, set.VM, set.Domain, ro.ledger,
		budget.WithMeter(me), budget.WithPrepaid(ro.prepaid), budget.WithAddress(func() string { return set.PeerListen }),
		budget.WithGrantSizer(escrow.ByUse{}), budget.WithHeadroom(headroom), budget.WithReadInterval(budgetReadInterval),
		budget.WithTimeLock(timeLock, pf.Clock), budget.WithSharedLock(), budget.WithUncheckedDraws(), budget.WithAveragedUse(),
		budget.WithFlushInterval(flushInterval), budget.WithFlushParallelism(flushParallelism), budget.WithLenders(cl), budget.WithCongestion(ro.congested))
	ro.service = app.New(view{ro}, ro.holder, app.WithMeter(me), app.WithDomain(set.Domain), app.WithPreference(set.Preference),
		app.WithRetries(ro.newRetryBudget), app.WithPartGuard(ro.parts), app.WithRoster(ro.upstreams), app.WithStreams(ro.streams),
		app.WithLink(ro.link), app.WithCongestion(ro.congested))
	shares := bound.SharesOf(set.MemoryMB, set.MaxFDs)
	var err error
	if ro.entry, err = entry.New(set.Listen, ro.service, ro.pool, pf.HeaderNames, ro.limits, entry.WithMeter(me),
		entry.WithLink(ro.link), entry.WithAdmission(ro.admitToLink),
		entry.WithBodyMemory(shares.RequestBytes), entry.WithMaxConns(shares.Conns), entry.WithOwner(ro.accountOf)); err != nil {
		return nil, err
	}
	mx := http.NewServeMux()
	mx.HandleFunc(set.ReadinessCheck.Path, ro.serveReady)
	if ro.readyServer, err = serve.New(set.ReadinessCheck.Listen, mx); err != nil {
		return nil, err
	}
	if ro.peerServer, err = serve.New(set.PeerListen, peers.Handler(peers.LocalRouter{
		Lend: ro.holder.Lend, CurrentConfig: ro.configs.Row, AddStatement: ro.statements.AddStatement, Table: table.DirectTable(),
		Closures: ro.closures.State, Load: ro.load, AddStreams: ro.streams.Add, FindStream: ro.streams.Lookup,
	})); err != nil {
		return nil, err
	}
	ro.opsServer, err = serve.New(set.MetricsListen, serve.OpsHandler(metrics, ro.readiness))
	return ro, err
}

// newPool returns the connections to upstreams.
func newPool(set conf.DirectRouter, pf Platform, li *shed.Link) *pool.Pool {
	shares := bound.SharesOf(set.MemoryMB, set.MaxFDs)
	opts := []pool.Option{pool.WithLink(li), pool.WithMaxIdle(shares.IdleConns)}
	if shares.ResponseBytes > 0 {
		opts = append(opts, pool.WithMemory(int(shares.ResponseBytes)))
	}
	return pool.New(pf.HeaderNames, opts...)
}

// accountOf returns the name of the account with the API key.
func (ro *Router) accountOf(key string) (string, bool) {
	ac, ok := ro.configs.Load().AccountByKey(key)
	return string(ac.Name), ok
}

// newRetryBudget returns the retry budget of one service.
func (ro *Router) newRetryBudget() app.RetryBudget {
	re := ro.settings.RetryBudget
	return retry.NewBudget(retry.WithRatio(re.Ratio), retry.WithReserve(retry.ReservePerRouter(int(re.Reserve), ro.fleet.RouterCount(), re.Routers)))
}

// view gives the use case the configuration and the upstreams that the followers
// have read.
type view struct{ ro *Router }

// Config returns the configuration in force.
func (vi view) Config() intent.Config { return vi.ro.configs.Load() }

// Upstreams returns the upstreams in force, or none while it is not known which failure
// domains are closed.
func (vi view) Upstreams() place.EndpointMap {
	if !vi.ro.closures.Known() {
		return place.EndpointMap{}
	}
	return vi.ro.upstreams.Load()
}

// ColdLimit returns the limit of the cold upstreams of a service.
func (vi view) ColdLimit(service ident.Service) place.ColdLimit {
	se, _ := vi.ro.configs.Load().Service(service)
	return place.ColdLimit{Time: se.ColdTime, Rate: se.ColdRate}
}

// Routers returns the routers that are known.
func (vi view) Routers() place.Routers { return vi.ro.fleet.Routers() }

func (ro *Router) limits() intent.Limits { return ro.configs.Load().Limits() }

// prepaid returns the prepaid total of an account and the revision of the
// configuration in force. It reports false for an account that is not metered.
func (ro *Router) prepaid(rf ident.BudgetRef) (ident.Tokens, ident.Revision, bool) {
	co := ro.configs.Load()
	ac, ok := co.Account(rf.Account)
	return ac.Prepaid, co.Revision(), ok && ac.Metered
}

// Reload applies the settings that can change while the router runs, which are
// the seeds. err is the error of loading the new settings; if it is not nil, it is
// logged and the settings in force stay.
func (ro *Router) Reload(set conf.DirectRouter, err error) {
	if err != nil {
		ro.met.Log(evSettingsRejected, slog.String("error", err.Error()))
		return
	}
	ro.seeds.Store(set.Seeds)
	ro.met.Log(evReloaded, slog.Any("seeds", set.Seeds))
}

// peerAddresses returns the addresses of other routers: those listed in the
// store, or the seeds of the settings while the store lists none.
func (ro *Router) peerAddresses() []string {
	known := ro.fleet.Peers()
	if len(known) == 0 {
		return slices.DeleteFunc(slices.Clone(ro.seeds.Load()), func(addr string) bool { return addr == ro.settings.PeerListen })
	}
	out := make([]string, 0, len(known))
	for _, pe := range known {
		out = append(out, pe.Address)
	}
	return out
}

// readiness returns nil when requests can be served, or else the reason why not.
func (ro *Router) readiness() error {
	switch {
	case ro.leaving.Load():
		return errors.New("leaving")
	case ro.configs.Load().Revision() == 0:
		return errors.New("no configuration is in force yet")
	case !ro.upstreams.Known():
		return errors.New("the upstreams are not known yet")
	case !ro.closures.Known():
		return errors.New("it is not known yet which failure domains are closed")
	case !ro.parts.Known():
		return errors.New("it is not known yet which prompt parts are refused")
	case !ro.registered.Load():
		return errors.New("the incarnation is not registered yet")
	case ro.rotation.out(time.Now()):
		return errors.New("the link is congested, other routers have capacity")
	default:
		return nil
	}
}

func (ro *Router) serveReady(wr http.ResponseWriter, _ *http.Request) {
	if err := ro.readiness(); err != nil {
		http.Error(wr, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(wr, "ready")
}

// Run serves until ctx ends or a server fails. Then it lets requests in flight
// finish and returns all escrow.
func (ro *Router) Run(ctx context.Context) error {
	ro.met.Log(evStarted, slog.String("incarnation", string(ro.incarnation)), slog.String("address", ro.entry.Addr()),
		slog.String("domain", string(ro.settings.Domain)), slog.String("store", ro.settings.Store))
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serveCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	var servers, workers sync.WaitGroup
	errCh := make(chan error, 4)
	servers.Go(func() { defer stopServing(); errCh <- ro.entry.Serve() })
	for _, sv := range []*serve.Server{ro.readyServer, ro.peerServer, ro.opsServer} {
		servers.Go(func() { defer stopServing(); errCh <- sv.Serve() })
	}
	for _, lo := range ro.feedLoops {
		workers.Go(func() { lo.Run(workCtx) })
	}
	workers.Go(func() { ro.pool.Run(workCtx) })
	workers.Go(func() { ro.expireUpstreams(workCtx) })
	for _, gs := range ro.gossips {
		workers.Go(func() { gs.Run(workCtx) })
	}
	workers.Go(func() { ro.watchLink(workCtx) })
	workers.Go(func() { ro.statements.Run(workCtx) })
	workers.Go(func() { ro.streams.Run(workCtx) })
	workers.Go(func() { ro.parts.Run(workCtx) })
	workers.Go(func() { ro.runHolder(workCtx) })
	<-serveCtx.Done()
	ro.leave()
	stop()
	workers.Wait()
	ro.returnEscrow()
	_ = ro.readyServer.Close()
	_ = ro.peerServer.Close()
	_ = ro.opsServer.Close()
	servers.Wait()
	close(errCh)
	ro.met.Log(evStopped)
	var all []error
	for err := range errCh {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// expireUpstreams removes upstreams whose entries expired during an outage and were
// not written again, and closures that the store has lost, and records which upstreams
// are cold.
func (ro *Router) expireUpstreams(ctx context.Context) {
	tk := time.NewTicker(expireInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tk.C:
			ro.upstreams.RemoveExpired(now)
			ro.closures.RemoveEnded(now)
			ro.upstreams.CheckCold(now)
			ro.observeReleases(now)
		}
	}
}

// observeReleases records the software releases of the upstreams. While their feed is
// overdue, others may have begun streams.
func (ro *Router) observeReleases(now time.Time) {
	if ro.upstreams.Known() {
		ro.streams.Observe(ro.upstreams.Load(), ro.upstreamLoop.OverdueFor(now) < maxFeedOverdue)
	}
}

// leave announces that the router leaves, serves callers that still arrive, and
// waits for the requests in flight until the drain time has almost passed.
func (ro *Router) leave() {
	start := time.Now()
	ro.leaving.Store(true)
	ro.entry.Leave()
	ro.met.Log(evLeaving, slog.Int("connections", ro.entry.OpenConns()), slog.Int("busy", ro.entry.BusyConns()))
	closeBy := start.Add(ro.settings.Drain - escrowReturnTimeout - statementTimeout - entry.RefusalTime)
	refuseAt := start.Add(min(refuseLongAfter, closeBy.Sub(start)/2))
	for {
		now := time.Now()
		if !now.Before(refuseAt) {
			ro.service.Leave(closeBy)
		}
		if !now.Before(closeBy) || now.Sub(start) >= minLeavingTime && ro.entry.BusyConns() == 0 {
			break
		}
		time.Sleep(leavePollInterval)
	}
	// A request may have arrived since the last check.
	ro.entry.Drain(closeBy)
	_ = ro.entry.Close()
}
