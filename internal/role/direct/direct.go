// Package direct composes a router that calls upstreams itself, without a
// sidecar beside each of them.
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
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Events of the program.
var (
	evStarted     = meter.Event{Number: 9301, Level: slog.LevelInfo, Text: "direct router started"}
	evReady       = meter.Event{Number: 9302, Level: slog.LevelInfo, Text: "direct router is ready"}
	evLeaving     = meter.Event{Number: 9303, Level: slog.LevelInfo, Text: "direct router is leaving"}
	evStopped     = meter.Event{Number: 9304, Level: slog.LevelInfo, Text: "direct router stopped"}
	evOpening     = meter.Event{Number: 9305, Level: slog.LevelWarn, Text: "the incarnation could not be registered yet"}
	evHeld        = meter.Event{Number: 9306, Level: slog.LevelWarn, Text: "escrow stays held after the shutdown"}
	evReclaim     = meter.Event{Number: 9308, Level: slog.LevelWarn, Text: "escrow of earlier incarnations could not be reclaimed"}
	evReloaded    = meter.Event{Number: 9309, Level: slog.LevelInfo, Text: "settings reloaded"}
	evBadSettings = meter.Event{Number: 9310, Level: slog.LevelError, Text: "new settings cannot be used, those before stay in force"}
)

const (
	openPause = 200 * time.Millisecond
	// announceTime is how long callers are still taken after the router has
	// said that it leaves: the platform needs two misses a second apart.
	announceTime = 2500 * time.Millisecond
	// refuseAfter is when a leaving router refuses streams: one that begins
	// later may not be complete before the end.
	refuseAfter = 2900 * time.Millisecond
	// closeTime is kept at the end of the drain time for the return of escrow.
	closeTime = 500 * time.Millisecond
	// statementTime bounds the handing over of the statement.
	statementTime = 250 * time.Millisecond
	leavePoll     = 50 * time.Millisecond
	// expireEvery is the time between two looks for lapsed upstreams.
	expireEvery = 200 * time.Millisecond
	// lookEvery is the time between two looks at what is left of a budget.
	lookEvery = 2 * time.Second
	// reclaimTries bounds the tries to reclaim, by which time a shelf is open.
	reclaimTries = 40
	// holderTick is the time between two looks at the escrow.
	holderTick = 200 * time.Millisecond
)

// cover is the escrow held in advance, because the store may be away for 8 s.
var cover = escrow.Cover{Seconds: 16, Low: 12, Requests: 4, LowRequests: 1, Parts: 2, Idle: 8}

// shelf keeps little of the escrow at hand: what is at hand or has opened when
// a router is killed is lost to the account. A killed router is back after 1 to
// 3 s. While the store is away for all routers, requests wait until the shelf
// opens.
var shelf = budget.Shelf{
	Renew: 200 * time.Millisecond, Hold: 500 * time.Millisecond,
	IdleRenew: time.Second, IdleHold: 2500 * time.Millisecond,
	Ready: time.Second, Scarce: 12 * time.Second, ScarceHold: 2200 * time.Millisecond, ScarceReady: 300 * time.Millisecond,
	Opening: 1.3,
	MinSpan: 2 * time.Second, MaxSpan: 30 * time.Second,
}

// Platform holds what a deployment's platform provides.
type Platform struct {
	Table          store.Table
	Configs        feed.Feed
	Upstreams      feed.Feed
	DecodeConfig   follow.DecodeConfig
	DecodeUpstream follow.DecodeUpstream
	Terms          terms.Terms
	// Clock returns a lower bound of the store's clock in milliseconds, and Began
	// an upper bound of it at the first call to the store, which a router makes
	// after it has taken its addresses.
	Clock, Began func() (ms int64, ok bool)
}

// Router is a running router.
type Router struct {
	set       conf.Direct
	met       meter.Meter
	in        ident.Incarnation
	configs   *follow.Config
	upstreams *follow.Upstreams
	loops     []*follow.Loop
	fleet     *follow.Fleet
	ledger    *budget.Ledger
	platform  Platform
	holder    *budget.Holder
	pool      *pool.Pool
	service   *app.Service
	entry     *entry.Server
	ready     *serve.Server
	peer      *serve.Server
	ops       *serve.Server
	gossip    *follow.Gossip
	peers     *peers.Client

	statements *budget.Statements

	// seeds are the addresses of other routers in the settings in force.
	seeds   *snap.Cell[[]string]
	open    atomic.Bool
	leaving atomic.Bool
}

// New composes a router and listens.
func New(set conf.Direct, me meter.Meter, metrics http.Handler, pf Platform) (*Router, error) {
	ro := &Router{set: set, met: me, in: ident.NewIncarnation(), pool: pool.New(pf.Terms), seeds: snap.NewCell(set.Seeds)}
	ro.configs = follow.NewConfig(pf.DecodeConfig, me)
	ro.upstreams = follow.NewUpstreams(pf.DecodeUpstream, me)
	ro.loops = []*follow.Loop{
		follow.NewLoop("configuration", pf.Configs, ro.configs.Sink(), follow.WithMeter(me)),
		follow.NewLoop("upstreams", pf.Upstreams, ro.upstreams, follow.WithMeter(me)),
	}
	cl := peers.NewClient(ro.peerAddresses)
	table := hedge.NewTable(pf.Table, cl, hedge.WithMeter(me))
	ro.ledger, ro.platform = budget.NewLedger(table, codec.Ledger()), pf
	ro.fleet = follow.NewFleet(ro.ledger, set.VM, me)
	ro.peers, ro.statements = cl, budget.NewStatements(ro.ledger, me)
	ro.gossip = follow.NewGossip(ro.configs, ro.peerAddresses, cl.Newest)
	ro.holder = budget.NewHolder(ro.in, set.VM, set.Domain, ro.ledger, budget.WithTick(holderTick), budget.WithShelf(shelf, pf.Clock), budget.WithLenders(cl), budget.WithLook(lookEvery),
		budget.WithSlicer(escrow.ByUse{}),
		budget.WithMeter(me), budget.WithCover(cover), budget.WithPrepaid(ro.prepaid),
		budget.WithAddress(func() string { return set.PeerListen }))
	ro.service = app.New(belief{ro}, ro.holder, app.WithMeter(me), app.WithDomain(set.Domain), app.WithWeight(set.Weight),
		app.WithRetries(ro.newRetries))
	var err error
	if ro.entry, err = entry.New(set.Listen, ro.service, ro.pool, pf.Terms, ro.limits); err != nil {
		return nil, err
	}
	mx := http.NewServeMux()
	mx.HandleFunc(set.Ready.Path, ro.answerReady)
	if ro.ready, err = serve.New(set.Ready.Listen, mx); err != nil {
		return nil, err
	}
	if ro.peer, err = serve.New(set.PeerListen, peers.Handler(peers.Answers{
		Lend: ro.holder.Lend, Newest: ro.configs.Row, Keep: ro.statements.Keep, Table: table.Own(),
	})); err != nil {
		return nil, err
	}
	ro.ops, err = serve.New(set.MetricsListen, serve.Ops(metrics, ro.readiness))
	return ro, err
}

// newRetries returns the retry allowance of one service.
func (ro *Router) newRetries() app.Retries {
	re := ro.set.Retries
	return retry.NewBudget(retry.WithRatio(re.Ratio), retry.WithReserve(retry.Share(int(re.Slack), ro.fleet.Routers(), re.Routers)))
}

// belief gives the use case what the followers know.
type belief struct{ ro *Router }

// Config returns the configuration in force.
func (be belief) Config() intent.Config { return be.ro.configs.Load() }

// Upstreams returns the upstreams in force.
func (be belief) Upstreams() place.Map { return be.ro.upstreams.Load() }

func (ro *Router) limits() intent.Limits { return ro.configs.Load().Limits() }

// prepaid returns the total of an account in the configuration in force.
func (ro *Router) prepaid(rf ident.BudgetRef) (ident.Tokens, ident.Revision, bool) {
	co := ro.configs.Load()
	ac, ok := co.Account(rf.Account)
	return ac.Prepaid, co.Revision(), ok && ac.Metered
}

// Reload takes over the settings that can change while the router runs: the
// seeds. An error says why the new settings cannot be used.
func (ro *Router) Reload(set conf.Direct, err error) {
	if err != nil {
		ro.met.Log(evBadSettings, slog.String("error", err.Error()))
		return
	}
	ro.seeds.Store(set.Seeds)
	ro.met.Log(evReloaded, slog.Any("seeds", set.Seeds))
}

// peerAddresses returns where other routers answer: those that the store names,
// or else the seeds of the settings.
func (ro *Router) peerAddresses() []string {
	known := ro.fleet.Peers()
	if len(known) == 0 {
		return slices.DeleteFunc(slices.Clone(ro.seeds.Load()), func(addr string) bool { return addr == ro.set.PeerListen })
	}
	out := make([]string, 0, len(known))
	for _, pe := range known {
		out = append(out, pe.Address)
	}
	return out
}

// readiness is nil when requests can be served.
func (ro *Router) readiness() error {
	switch {
	case ro.leaving.Load():
		return errors.New("leaving")
	case ro.configs.Load().Revision() == 0:
		return errors.New("no configuration is in force yet")
	case !ro.upstreams.Known():
		return errors.New("the upstreams are not known yet")
	case !ro.open.Load():
		return errors.New("the incarnation is not registered yet")
	default:
		return nil
	}
}

func (ro *Router) answerReady(wr http.ResponseWriter, _ *http.Request) {
	if err := ro.readiness(); err != nil {
		http.Error(wr, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(wr, "ready")
}

// Run serves until ctx ends, then lets requests in flight finish and returns
// all escrow.
func (ro *Router) Run(ctx context.Context) error {
	ro.met.Log(evStarted, slog.String("incarnation", string(ro.in)), slog.String("address", ro.entry.Addr()),
		slog.String("domain", string(ro.set.Domain)), slog.String("store", ro.set.Store))
	own, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed, fail := context.WithCancel(ctx)
	defer fail()
	var servers, workers sync.WaitGroup
	errCh := make(chan error, 4)
	servers.Go(func() { defer fail(); errCh <- ro.entry.Serve() })
	for _, sv := range []*serve.Server{ro.ready, ro.peer, ro.ops} {
		servers.Go(func() { defer fail(); errCh <- sv.Serve() })
	}
	for _, lo := range ro.loops {
		workers.Go(func() { lo.Run(own) })
	}
	workers.Go(func() { ro.pool.Run(own) })
	workers.Go(func() { ro.expire(own) })
	workers.Go(func() { ro.gossip.Run(own) })
	workers.Go(func() { ro.statements.Run(own) })
	workers.Go(func() { ro.hold(own) })
	<-failed.Done()
	ro.leave()
	stop()
	workers.Wait()
	ro.returnEscrow()
	_ = ro.ready.Close()
	_ = ro.peer.Close()
	_ = ro.ops.Close()
	servers.Wait()
	close(errCh)
	ro.met.Log(evStopped)
	var all []error
	for err := range errCh {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// expire removes upstreams that did not come back after an outage.
func (ro *Router) expire(ctx context.Context) {
	tk := time.NewTicker(expireEvery)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tk.C:
			ro.upstreams.Expire(now)
		}
	}
}

// leave announces the end, goes on serving while callers still come, and waits
// for the requests in flight.
func (ro *Router) leave() {
	began := time.Now()
	ro.leaving.Store(true)
	ro.entry.Leave()
	ro.met.Log(evLeaving, slog.Int("connections", ro.entry.Open()), slog.Int("busy", ro.entry.Busy()))
	last := began.Add(ro.set.Drain - closeTime - statementTime)
	for {
		now := time.Now()
		if now.Sub(began) >= refuseAfter {
			ro.service.Leave(last)
		}
		if !now.Before(last) || now.Sub(began) >= announceTime && ro.entry.Busy() == 0 {
			break
		}
		time.Sleep(leavePoll)
	}
	_ = ro.entry.Close()
}
