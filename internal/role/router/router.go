// Package router wires a router that reaches upstreams through their sidecars.
package router

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/adapt/bucket"
	"github.com/balsamwood/balsamwood/internal/adapt/certs"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/adapt/httpsd"
	"github.com/balsamwood/balsamwood/internal/adapt/serve"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/fleet"
	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/app/gate"
	"github.com/balsamwood/balsamwood/internal/app/recov"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/app/roster"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/core/route"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Log events of the router.
var (
	evStarted        = meter.Event{Number: 9101, Level: slog.LevelInfo, Text: "router started"}
	evLeaving        = meter.Event{Number: 9102, Level: slog.LevelInfo, Text: "router is leaving"}
	evStopped        = meter.Event{Number: 9103, Level: slog.LevelInfo, Text: "router stopped"}
	evDrainTimedOut  = meter.Event{Number: 9104, Level: slog.LevelWarn, Text: "requests were still in flight when the drain time ended"}
	evEscrowHeld     = meter.Event{Number: 9105, Level: slog.LevelWarn, Text: "escrow stays held after the shutdown"}
	evRegisterFailed = meter.Event{Number: 9106, Level: slog.LevelWarn, Text: "the incarnation could not be registered yet"}
)

const (
	// retryDelay is the wait between attempts to register the incarnation.
	retryDelay = 500 * time.Millisecond
	// escrowReturnTimeout bounds the return of escrow during the shutdown.
	escrowReturnTimeout = 10 * time.Second
)

// Router is a router that reaches upstreams through their sidecars.
type Router struct {
	settings    conf.Router
	met         meter.Meter
	incarnation ident.Incarnation
	table       store.Table
	ledger      *budget.Ledger
	holder      *budget.Holder
	follower    *update.Follower
	acceptor    *update.Acceptor
	watcher     *update.Watcher
	archive     *update.Archive
	fleet       *fleet.Fleet
	gate        *gate.Gate
	front       *front.Service
	claims      relay.Claims
	certs       *certs.Credentials
	recov       *recov.Recoverer
	roster      *roster.Watcher

	// peerListener accepts connections of other routers. It is nil if no address
	// is configured.
	peerListener net.Listener
	caller       *serve.Server
	budgets      *bound.Budgets
	admin        *serve.Server
	ops          *serve.Server

	mu         sync.Mutex
	registered bool
	leaving    bool
}

// New wires a router and opens its listeners. ops creates the server for health
// checks and metrics.
func New(set conf.Router, me meter.Meter, ops func(ready func() error) (*serve.Server, error)) (*Router, error) {
	ro := &Router{settings: set, met: me, incarnation: ident.NewIncarnation(), table: dynamo.New(set.Platform.Table)}
	if !set.TLS.Disabled {
		cr, err := certs.NewCredentials(certs.Files{
			FleetCA: set.TLS.FleetCA, Cert: set.TLS.Cert, Key: set.TLS.Key,
			CallerCert: set.TLS.CallerCert, CallerKey: set.TLS.CallerKey,
		}.WithDefaults())
		if err != nil {
			return nil, errs.Settings.Wrap(err, "tls")
		}
		ro.certs = cr
	}
	if err := ro.listenPeers(); err != nil {
		return nil, err
	}
	ro.composeConfig()
	ro.composeBudgets()
	if err := ro.composeRequestPath(); err != nil {
		return nil, err
	}
	if err := ro.listen(ops); err != nil {
		return nil, err
	}
	return ro, nil
}

func (ro *Router) composeConfig() {
	cod := update.Codecs{
		Head: codec.JSON[update.Head]{}, Audit: codec.JSON[update.Audit]{}, Config: codec.Config{},
	}
	ro.archive = update.NewArchive(bucket.New(ro.settings.Platform.Objects), update.WithMeter(ro.met))
	archive := update.WithArchive(ro.archive)
	ro.follower = update.NewFollower(codec.Config{}, update.WithMeter(ro.met))
	ro.watcher = update.NewWatcher(ro.table, cod, ro.follower, update.WithMeter(ro.met), archive)
	ro.acceptor = update.NewAcceptor(ro.table, cod, update.WithMeter(ro.met), update.WithFollower(ro.follower), archive)
}

func (ro *Router) composeBudgets() {
	ro.ledger = budget.NewLedger(ro.table, codec.Ledger())
	ro.holder = budget.NewHolder(ro.incarnation, ro.settings.VM, ro.settings.Domain, ro.ledger, ro.holderOptions()...)
	ro.claims = relay.NewClaims(ro.table, codec.JSON[claim.Record]{})
}

func (ro *Router) composeRequestPath() error {
	fl, err := fleet.New(ro.settings.VM, ro.dial,
		fleet.WithMeter(ro.met), fleet.WithMaxLinks(ro.settings.Limits.MaxLinks), fleet.WithOnChange(func() { ro.gate.PlaceQueued() }))
	if err != nil {
		return errs.Internal.Wrap(err, "compose")
	}
	ro.fleet = fl
	vms := httpsd.New(ro.settings.Platform.VMs)
	ro.roster = roster.New(vms, func(le roster.LeavingVMs) { fl.SetLeavingVMs(le) }, roster.WithMeter(ro.met))
	ro.recov = recov.New(ro.incarnation, ro.ledger, vms, sidecars{fl}, newProber(ro.certs),
		recov.WithMeter(ro.met), recov.WithInterval(ro.settings.RecoveryInterval))
	ro.gate = gate.New(fl, gate.WithMeter(ro.met), gate.WithQueueCapacity(ro.settings.Limits.QueueCapacity))
	retries := front.NewBudgetedPolicy(retry.NewBudget(), route.NewRand(1))
	ro.front = front.New(ro.incarnation, reserver{ro.holder}, ro.gate, front.WithKeyCanceller(keyCanceller{ro.claims}),
		front.WithMeter(ro.met), front.WithRetries(retries), front.WithHedges(retries))
	return nil
}

// Run serves until ctx ends or a server fails. Then it lets requests in flight
// finish and returns all escrow.
func (ro *Router) Run(ctx context.Context) error {
	ro.met.Log(evStarted, slog.String("incarnation", string(ro.incarnation)), slog.String("address", ro.CallerAddr()),
		slog.String("admin", ro.AdminAddr()), slog.String("ops", ro.ops.Addr()))
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serveCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	ro.fleet.Start(workCtx)
	var servers, workers sync.WaitGroup
	errCh := make(chan error, 3)
	for _, sv := range []*serve.Server{ro.caller, ro.admin, ro.ops} {
		servers.Go(func() { defer stopServing(); errCh <- sv.Serve() })
	}
	workers.Go(func() { ro.watcher.Run(workCtx) })
	workers.Go(func() { ro.budgets.Report(workCtx.Done()) })
	workers.Go(func() { ro.archive.Run(workCtx) })
	workers.Go(func() { ro.applyConfigs(workCtx) })
	workers.Go(func() { ro.runHolder(workCtx) })
	workers.Go(func() { ro.recov.Run(workCtx) })
	workers.Go(func() { ro.roster.Run(workCtx) })
	workers.Go(func() { ro.reporter().Run(workCtx) })
	workers.Go(func() { ro.servePeers(workCtx) })
	workers.Go(func() { ro.gate.Run(workCtx) })
	<-serveCtx.Done()
	ro.leave()
	stop()
	workers.Wait()
	ro.fleet.Wait()
	ro.returnEscrow()
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

// runHolder registers the incarnation and then runs the escrow holder.
func (ro *Router) runHolder(ctx context.Context) {
	for {
		err := ro.holder.Open(ctx)
		if err == nil {
			break
		}
		ro.met.Log(evRegisterFailed, slog.String("error", err.Error()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryDelay):
		}
	}
	ro.mu.Lock()
	ro.registered = true
	ro.mu.Unlock()
	_ = ro.holder.Run(ctx)
}

// applyConfigs applies each configuration that comes into force.
func (ro *Router) applyConfigs(ctx context.Context) {
	for {
		changed := ro.follower.Changed()
		if sn := ro.follower.Cell().Load(); sn.Revision() > 0 {
			ro.gate.Configure(sn)
			ro.fleet.Sync(sn)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// readiness returns nil when requests can be served, or else the reason why not.
func (ro *Router) readiness() error {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	switch {
	case ro.leaving:
		return errors.New("leaving")
	case !ro.follower.Ready():
		return errors.New("no configuration is in force yet")
	case ro.fleet.View().Len() == 0 || !ro.fleet.ConnectAttempted():
		return errors.New("the links to the sidecars are not open yet")
	case !ro.registered:
		return errors.New("the incarnation is not registered yet")
	default:
		return nil
	}
}

// leave refuses new requests and waits for those in flight.
func (ro *Router) leave() {
	ro.met.Log(evLeaving)
	ro.mu.Lock()
	ro.leaving = true
	ro.mu.Unlock()
	ro.front.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), ro.settings.Drain)
	defer cancel()
	err := errors.Join(ro.caller.Shutdown(ctx), ro.front.Wait(ctx), ro.admin.Shutdown(ctx))
	if err != nil {
		ro.met.Log(evDrainTimedOut, slog.String("error", err.Error()))
		_ = ro.caller.Close()
		_ = ro.admin.Close()
	}
}

func (ro *Router) returnEscrow() {
	ctx, cancel := context.WithTimeout(context.Background(), escrowReturnTimeout)
	defer cancel()
	ro.mu.Lock()
	registered := ro.registered
	ro.mu.Unlock()
	if !registered {
		return
	}
	if err := ro.holder.Close(ctx); err != nil {
		ro.met.Log(evEscrowHeld, slog.String("error", err.Error()))
	}
}
