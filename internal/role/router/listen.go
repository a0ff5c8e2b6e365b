package router

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/adapt/caller"
	"github.com/balsamwood/balsamwood/internal/adapt/certs"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/adapt/serve"
	"github.com/balsamwood/balsamwood/internal/app/fleet"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// tcpKeepAlive is the period of TCP keep-alive probes. They detect dead peers at a
// lower level than the links' own keepalive.
const tcpKeepAlive = 15 * time.Second

func (ro *Router) listen(ops func(ready func() error) (*serve.Server, error)) error {
	var callerTLS *tls.Config
	if ro.certs != nil {
		callerTLS = ro.certs.CallerServerConfig()
	}
	shares := bound.SharesOf(ro.settings.MemoryMB, ro.settings.MaxFDs)
	ro.budgets = bound.NewBudgets(shares.RequestBytes, shares.Conns, ro.met)
	ca := caller.New(ro.front, ro.follower.Cell(),
		caller.WithOutcomes(outcomes{ro.claims}),
		caller.WithMaxBodyBytes(ro.settings.Limits.MaxBodyBytes),
		caller.WithReadyCheck(ro.readiness), caller.WithBudgets(ro.budgets))
	var err error
	if ro.caller, err = serve.New(ro.settings.Listen, ca.Handler(),
		serve.WithTLS(callerTLS), serve.WithMaxHeaderBytes(ro.settings.Limits.MaxHeaderBytes), serve.WithBudgets(ro.budgets)); err != nil {
		return errs.Settings.Wrap(err, "listen")
	}
	if ro.admin, err = serve.New(ro.settings.AdminListen, ro.adminHandler(), serve.WithTLS(callerTLS)); err != nil {
		return errors.Join(errs.Settings.Wrap(err, "adminListen"), ro.caller.Close())
	}
	if ro.ops, err = ops(ro.readiness); err != nil {
		return errors.Join(errs.Settings.Wrap(err, "metricsListen"), ro.caller.Close(), ro.admin.Close())
	}
	return nil
}

// CallerAddr returns the address at which callers connect.
func (ro *Router) CallerAddr() string { return ro.caller.Addr() }

// AdminAddr returns the address of the administration API.
func (ro *Router) AdminAddr() string { return ro.admin.Addr() }

// dial returns a link to the upstream's sidecar.
func (ro *Router) dial(up config.Upstream, onReport func(peer.Report)) fleet.Link {
	id := link.Identity{VM: ro.settings.VM, Incarnation: ro.incarnation, Domain: ro.settings.Domain, Upstream: up.ID}
	return link.NewClient(id, ro.dialer(up.Sidecar), link.WithOnReport(onReport), link.WithConfig(ro.configInForce),
		link.WithOnConfig(func(doc []byte) { _, _ = ro.follower.Offer(doc) }))
}

func (ro *Router) dialer(addr string) link.Dialer {
	nd := &net.Dialer{KeepAlive: tcpKeepAlive}
	if ro.certs == nil {
		return func(ctx context.Context) (net.Conn, error) { return nd.DialContext(ctx, "tcp", addr) }
	}
	td := &tls.Dialer{NetDialer: nd, Config: ro.certs.ClientConfig(certs.Sidecar)}
	return func(ctx context.Context) (net.Conn, error) { return td.DialContext(ctx, "tcp", addr) }
}

// configInForce returns the configuration in force with its revision.
func (ro *Router) configInForce() (ident.Revision, []byte) {
	st := ro.follower.InForce()
	return st.Revision, st.Document
}
