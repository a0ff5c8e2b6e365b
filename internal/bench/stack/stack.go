// Package stack runs routers and sidecars with stand-ins in one process, on
// loopback.
package stack

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/adapt/serve"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/role/router"
	"github.com/balsamwood/balsamwood/internal/role/side"
)

const (
	drain    = 10 * time.Second
	readyFor = 10 * time.Second
	pollTime = 5 * time.Millisecond
)

// Stack is a deployment in one process.
type Stack struct {
	Cloud    *cloud.Cloud
	Ledger   *budget.Ledger
	Acceptor *update.Acceptor

	platform string
	met      meter.Meter
	keys     []conf.AdminKey
	sideTLS  conf.TLS
	routeTLS conf.TLS
	wg       sync.WaitGroup
	closers  []func()
}

// Option configures a Stack.
type Option func(*Stack)

// WithMeter sets the meter of all processes. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(st *Stack) { st.met = me } }

// WithAdminKeys sets the operators of the routers. The default is none.
func WithAdminKeys(keys ...conf.AdminKey) Option { return func(st *Stack) { st.keys = keys } }

// WithTLS sets the certificates of the sidecars and routers. By default TLS is
// off.
func WithTLS(sidecars, routers conf.TLS) Option {
	return func(st *Stack) { st.sideTLS, st.routeTLS = sidecars, routers }
}

// New starts the platform.
func New(opts ...Option) *Stack {
	st := &Stack{Cloud: cloud.New(), met: meter.Nop{}, sideTLS: conf.TLS{Disabled: true}, routeTLS: conf.TLS{Disabled: true}}
	for _, op := range opts {
		op(st)
	}
	st.platform = st.Serve(st.Cloud)
	ta := dynamo.New(st.platform)
	st.Ledger = budget.NewLedger(ta, codec.Ledger())
	st.Acceptor = update.NewAcceptor(ta, update.Codecs{
		Head: codec.JSON[update.Head]{}, Audit: codec.JSON[update.Audit]{}, Config: codec.Config{},
	})
	return st
}

// Serve serves a stand-in and returns its base URL.
func (st *Stack) Serve(ha http.Handler) string {
	sv := httptest.NewServer(ha)
	st.closers = append(st.closers, sv.Close)
	return sv.URL
}

// Close stops everything in the reverse order of its start.
func (st *Stack) Close() {
	for ix := len(st.closers) - 1; ix >= 0; ix-- {
		st.closers[ix]()
	}
	st.wg.Wait()
}

// Sidecar starts a sidecar for the upstream at the URL and returns the upstream
// with the sidecar's address, and a function that stops the sidecar.
func (st *Stack) Sidecar(up config.Upstream, url string) (config.Upstream, func(), error) {
	si, err := side.New(conf.Sidecar{
		VM: up.VM, Domain: up.Domain, Region: "r1", Upstream: up.ID, Kind: up.Kind,
		Listen: "127.0.0.1:0", UpstreamURL: url, Platform: st.urls(), TLS: st.sideTLS,
		Limits: conf.SidecarLimits{MaxRunning: 1024, Queue: 64, ReplayBytes: 1 << 20, ReplayFor: time.Minute},
		Drain:  drain,
	}, st.met, ops)
	if err != nil {
		return up, nil, err
	}
	up.Sidecar = si.Addr()
	return up, st.start(si.Run), nil
}

// Router starts a router and returns it with a function that stops it.
func (st *Stack) Router(vm ident.VM, domain ident.Domain) (*router.Router, func(), error) {
	ro, err := router.New(conf.Router{
		VM: vm, Domain: domain, Region: "r1", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Platform: st.urls(), TLS: st.routeTLS, AdminKeys: st.keys,
		Limits: conf.RouterLimits{MaxBody: 512 << 10, MaxHeader: 16 << 10, MaxRunning: 4096, Queue: 1024, Links: 64},
		Drain:  drain,
	}, st.met, ops)
	if err != nil {
		return nil, nil, err
	}
	return ro, st.start(ro.Run), nil
}

func (st *Stack) urls() conf.Platform {
	return conf.Platform{Table: st.platform, Objects: st.platform, VMs: st.platform + "/vms"}
}

func ops(func() error) (*serve.Server, error) {
	return serve.New("127.0.0.1:0", http.NotFoundHandler())
}

func (st *Stack) start(run func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	st.wg.Go(func() {
		defer close(done)
		_ = run(ctx)
	})
	stop := func() {
		cancel()
		<-done
	}
	st.closers = append(st.closers, stop)
	return stop
}

// Accept makes the configuration the current one.
func (st *Stack) Accept(change func(config.Snapshot) config.Snapshot) error {
	_, err := st.Acceptor.Change(context.Background(), "test", ident.NewOp(),
		func(sn config.Snapshot) (config.Snapshot, error) { return change(sn), nil })
	return err
}

// Fund creates the budget and tops it up.
func (st *Stack) Fund(rf ident.BudgetRef, tokens ident.Tokens) error {
	ctx := context.Background()
	if err := st.Ledger.Create(ctx, rf); err != nil {
		return err
	}
	return st.Ledger.TopUp(ctx, rf, tokens, ident.NewOp(), "test")
}

// Ready waits until the router at the address serves requests with the given
// number of connected upstreams.
func Ready(addr string) error {
	give := time.Now().Add(readyFor)
	for time.Now().Before(give) {
		rs, err := http.Get("http://" + addr + "/readyz")
		if err == nil {
			_ = rs.Body.Close()
			if rs.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollTime)
	}
	return fmt.Errorf("stack: %s is not ready", addr)
}

// Refused returns an address at which nothing listens.
func Refused() (string, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ls.Close() }()
	return ls.Addr().String(), nil
}
