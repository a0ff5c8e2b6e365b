// Package side wires a sidecar.
package side

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/certs"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/adapt/openai"
	"github.com/balsamwood/balsamwood/internal/adapt/plain"
	"github.com/balsamwood/balsamwood/internal/adapt/serve"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Log events of the sidecar.
var (
	evStarted       = meter.Event{Number: 9201, Level: slog.LevelInfo, Text: "sidecar started"}
	evLeaving       = meter.Event{Number: 9202, Level: slog.LevelInfo, Text: "sidecar is leaving"}
	evStopped       = meter.Event{Number: 9203, Level: slog.LevelInfo, Text: "sidecar stopped"}
	evDrainTimedOut = meter.Event{Number: 9204, Level: slog.LevelWarn, Text: "requests were still in flight when the drain time ended"}
	evConfigInForce = meter.Event{Number: 9205, Level: slog.LevelInfo, Text: "configuration in force"}
	evVMLeaving     = meter.Event{Number: 9206, Level: slog.LevelInfo, Text: "the platform shows the VM as leaving"}
)

// minLeavingTime is the shortest time for which a leaving sidecar stays reachable,
// so that routers learn that it leaves before its links end.
const minLeavingTime = 2 * time.Second

// Sidecar runs beside one upstream and passes the work of routers to it.
type Sidecar struct {
	settings   conf.Sidecar
	met        meter.Meter
	upstream   engine.Upstream
	service    *relay.Service
	ops        *serve.Server
	listener   net.Listener
	linkServer *link.Server
	// cfg is the configuration in force, and doc its encoded form.
	cfg *snap.Cell[config.Snapshot]
	doc *snap.Cell[document]
	// readyErr says why the sidecar is not ready, or is nil.
	readyErr *snap.Cell[error]

	fenceGate *orders.FenceGate
	registry  registry
}

// New wires a sidecar and opens its listeners. ops creates the server for health
// checks and metrics.
func New(set conf.Sidecar, me meter.Meter, ops func(ready func() error) (*serve.Server, error)) (*Sidecar, error) {
	si := &Sidecar{
		settings: set, met: me, upstream: newUpstream(set),
		cfg:      snap.NewCell(config.Snapshot{}),
		doc:      snap.NewCell(document{}),
		readyErr: snap.NewCell[error](nil),
	}
	si.fenceGate = newFenceGate(set, si.upstream)
	in := ident.NewIncarnation()
	si.registry = registry{ledger: budget.NewLedger(dynamo.New(set.Platform.Table), codec.Ledger()), self: in, vm: set.VM}
	up := config.Upstream{ID: set.Upstream, VM: set.VM, Kind: set.Kind, Domain: set.Domain}
	si.service = relay.NewService(up, in, si.upstream,
		relay.WithTable(dynamo.New(set.Platform.Table), codec.JSON[claim.Record]{}),
		relay.WithRegistry(si.registry),
		relay.WithMeter(me),
		relay.WithMaxRunning(set.Limits.MaxRunning),
		relay.WithOutputBuffer(set.Limits.ReplayBytes, set.Limits.ReplayBytes),
		relay.WithRetention(set.Limits.ReplayFor),
		relay.WithRevision(func() ident.Revision { return si.cfg.Load().Revision() }),
	)
	id := link.Identity{VM: set.VM, Incarnation: in, Domain: set.Domain, Upstream: set.Upstream}
	si.linkServer = link.NewServer(id, si.service, controlHandler{si})
	if err := si.listen(ops); err != nil {
		si.service.Close()
		return nil, err
	}
	return si, nil
}

func newUpstream(set conf.Sidecar) engine.Upstream {
	if set.Kind == config.Plain {
		return plain.New(set.UpstreamURL)
	}
	return openai.New(set.UpstreamURL)
}

func (si *Sidecar) listen(ops func(ready func() error) (*serve.Server, error)) error {
	ls, err := net.Listen("tcp", si.settings.Listen)
	if err != nil {
		return errs.Settings.Wrap(err, "listen")
	}
	if tc, err := serverTLS(si.settings.TLS); err != nil {
		return errors.Join(err, ls.Close())
	} else if tc != nil {
		ls = tls.NewListener(ls, tc)
	}
	if si.ops, err = ops(si.readiness); err != nil {
		return errors.Join(errs.Settings.Wrap(err, "metricsListen"), ls.Close())
	}
	si.listener = ls
	return nil
}

func serverTLS(set conf.TLS) (*tls.Config, error) {
	if set.Disabled {
		return nil, nil
	}
	cr, err := certs.NewCredentials(certs.Files{FleetCA: set.FleetCA, Cert: set.Cert, Key: set.Key})
	if err != nil {
		return nil, errs.Settings.Wrap(err, "tls")
	}
	return cr.ServerConfig(certs.Router), nil
}

// Addr returns the address at which routers connect.
func (si *Sidecar) Addr() string { return si.listener.Addr().String() }

func (si *Sidecar) readiness() error { return si.readyErr.Load() }

// Run serves until ctx ends, a server fails or the platform shows the VM as
// leaving. Then it lets requests in flight finish.
func (si *Sidecar) Run(ctx context.Context) error {
	si.met.Log(evStarted, slog.String("upstream", string(si.settings.Upstream)), slog.String("address", si.Addr()),
		slog.String("ops", si.ops.Addr()))
	linkCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	var serveErr, opsErr error
	serveCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	wg.Go(func() { defer stopServing(); serveErr = si.linkServer.Serve(linkCtx, si.listener) })
	wg.Go(func() { defer stopServing(); opsErr = si.ops.Serve() })
	wg.Go(func() { si.watchVMList(serveCtx, stopServing) })
	<-serveCtx.Done()
	si.leave()
	stop()
	si.service.Close()
	si.writeUsage()
	_ = si.ops.Close()
	wg.Wait()
	si.met.Log(evStopped)
	return errors.Join(serveErr, opsErr)
}

// leave refuses new work, waits for requests in flight, and gives routers time to
// learn that the sidecar leaves.
func (si *Sidecar) leave() {
	si.met.Log(evLeaving)
	si.readyErr.Store(errors.New("leaving"))
	si.service.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), max(si.settings.Drain, minLeavingTime))
	defer cancel()
	announced := time.NewTimer(minLeavingTime)
	defer announced.Stop()
	if err := errors.Join(si.service.Wait(ctx), si.linkServer.Drain(ctx)); err != nil {
		si.met.Log(evDrainTimedOut, slog.String("error", err.Error()))
		return
	}
	select {
	case <-announced.C:
	case <-ctx.Done():
	}
}
