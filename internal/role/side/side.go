// Package side composes a sidecar.
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

// Events of the sidecar program.
var (
	evStarted  = meter.Event{Number: 9201, Level: slog.LevelInfo, Text: "sidecar started"}
	evLeaving  = meter.Event{Number: 9202, Level: slog.LevelInfo, Text: "sidecar is leaving"}
	evStopped  = meter.Event{Number: 9203, Level: slog.LevelInfo, Text: "sidecar stopped"}
	evDrained  = meter.Event{Number: 9204, Level: slog.LevelWarn, Text: "requests were still in flight when the drain time ended"}
	evFollowed = meter.Event{Number: 9205, Level: slog.LevelInfo, Text: "configuration in force"}
	evListed   = meter.Event{Number: 9206, Level: slog.LevelInfo, Text: "the platform shows the VM as leaving"}
)

// announceTime is how long a leaving sidecar stays reachable at least, so that
// routers hear of it before its link ends.
const announceTime = 2 * time.Second

// Sidecar is a running sidecar.
type Sidecar struct {
	set   conf.Sidecar
	met   meter.Meter
	up    engine.Upstream
	sv    *relay.Service
	ops   *serve.Server
	ls    net.Listener
	ln    *link.Server
	cfg   *snap.Cell[config.Snapshot]
	doc   *snap.Cell[document]
	ready *snap.Cell[error]

	gate     *orders.Gate
	registry registry
}

// New composes a sidecar and listens. ops makes the server for operators.
func New(set conf.Sidecar, me meter.Meter, ops func(ready func() error) (*serve.Server, error)) (*Sidecar, error) {
	si := &Sidecar{
		set: set, met: me, up: newUpstream(set),
		cfg:   snap.NewCell(config.Snapshot{}),
		doc:   snap.NewCell(document{}),
		ready: snap.NewCell[error](nil),
	}
	si.gate = newGate(set, si.up)
	in := ident.NewIncarnation()
	si.registry = registry{ledger: budget.NewLedger(dynamo.New(set.Platform.Table), codec.Ledger()), self: in, vm: set.VM}
	up := config.Upstream{ID: set.Upstream, VM: set.VM, Kind: set.Kind, Domain: set.Domain}
	si.sv = relay.NewService(up, in, si.up,
		relay.WithTable(dynamo.New(set.Platform.Table), codec.JSON[claim.Record]{}),
		relay.WithRegistry(si.registry),
		relay.WithMeter(me),
		relay.WithMaxRunning(set.Limits.MaxRunning),
		relay.WithOutputBuffer(set.Limits.ReplayBytes, set.Limits.ReplayBytes),
		relay.WithRetention(set.Limits.ReplayFor),
		relay.WithRevision(func() ident.Revision { return si.cfg.Load().Revision() }),
	)
	id := link.Identity{VM: set.VM, Incarnation: in, Domain: set.Domain, Upstream: set.Upstream}
	si.ln = link.NewServer(id, si.sv, control{si})
	if err := si.listen(ops); err != nil {
		si.sv.Close()
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
	ls, err := net.Listen("tcp", si.set.Listen)
	if err != nil {
		return errs.Settings.Wrap(err, "listen")
	}
	if tc, err := serverTLS(si.set.TLS); err != nil {
		return errors.Join(err, ls.Close())
	} else if tc != nil {
		ls = tls.NewListener(ls, tc)
	}
	if si.ops, err = ops(si.readiness); err != nil {
		return errors.Join(errs.Settings.Wrap(err, "metricsListen"), ls.Close())
	}
	si.ls = ls
	return nil
}

func serverTLS(set conf.TLS) (*tls.Config, error) {
	if set.Disabled {
		return nil, nil
	}
	fl, err := certs.NewFleet(certs.Files{FleetCA: set.FleetCA, Cert: set.Cert, Key: set.Key})
	if err != nil {
		return nil, errs.Settings.Wrap(err, "tls")
	}
	return fl.Server(certs.Router), nil
}

// Addr returns the address at which routers connect.
func (si *Sidecar) Addr() string { return si.ls.Addr().String() }

func (si *Sidecar) readiness() error { return si.ready.Load() }

// Run serves until ctx ends or the platform shows the VM as leaving, then lets requests in flight finish.
func (si *Sidecar) Run(ctx context.Context) error {
	si.met.Log(evStarted, slog.String("upstream", string(si.set.Upstream)), slog.String("address", si.Addr()),
		slog.String("ops", si.ops.Addr()))
	own, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	var serveErr, opsErr error
	failed, fail := context.WithCancel(ctx)
	defer fail()
	wg.Go(func() { defer fail(); serveErr = si.ln.Serve(own, si.ls) })
	wg.Go(func() { defer fail(); opsErr = si.ops.Serve() })
	wg.Go(func() { si.watch(failed, fail) })
	<-failed.Done()
	si.leave()
	stop()
	si.sv.Close()
	si.testify()
	_ = si.ops.Close()
	wg.Wait()
	si.met.Log(evStopped)
	return errors.Join(serveErr, opsErr)
}

// leave refuses new work and waits for requests in flight.
func (si *Sidecar) leave() {
	si.met.Log(evLeaving)
	si.ready.Store(errors.New("leaving"))
	si.sv.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), max(si.set.Drain, announceTime))
	defer cancel()
	announced := time.NewTimer(announceTime)
	defer announced.Stop()
	if err := errors.Join(si.sv.Wait(ctx), si.ln.Drain(ctx)); err != nil {
		si.met.Log(evDrained, slog.String("error", err.Error()))
		return
	}
	select {
	case <-announced.C:
	case <-ctx.Done():
	}
}
