// Package stack runs routers, sidecars and stand-ins in one process on loopback.
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
	drainTimeout = 10 * time.Second
	readyTimeout = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Stack is a deployment in one process with a stand-in for the platform.
type Stack struct {
	Cloud    *cloud.Cloud
	Ledger   *budget.Ledger
	Acceptor *update.Acceptor

	platformURL string
	met         meter.Meter
	adminKeys   []conf.AdminKey
	sidecarTLS  conf.TLS
	routerTLS   conf.TLS
	wg          sync.WaitGroup
	closers     []func()
}

// Option configures a Stack.
type Option func(*Stack)

// WithMeter sets the meter of all routers and sidecars. The default discards
// everything.
func WithMeter(me meter.Meter) Option { return func(st *Stack) { st.met = me } }

// WithAdminKeys sets the administration keys of the routers. The default is none.
func WithAdminKeys(keys ...conf.AdminKey) Option { return func(st *Stack) { st.adminKeys = keys } }

// WithTLS sets the TLS settings of the sidecars and the routers. By default TLS is
// disabled.
func WithTLS(sidecars, routers conf.TLS) Option {
	return func(st *Stack) { st.sidecarTLS, st.routerTLS = sidecars, routers }
}

// New starts the stand-in for the platform.
func New(opts ...Option) *Stack {
	st := &Stack{Cloud: cloud.New(), met: meter.Nop{}, sidecarTLS: conf.TLS{Disabled: true}, routerTLS: conf.TLS{Disabled: true}}
	for _, op := range opts {
		op(st)
	}
	st.platformURL = st.Serve(st.Cloud)
	ta := dynamo.New(st.platformURL)
	st.Ledger = budget.NewLedger(ta, codec.Ledger())
	st.Acceptor = update.NewAcceptor(ta, update.Codecs{
		Head: codec.JSON[update.Head]{}, Audit: codec.JSON[update.Audit]{}, Config: codec.Config{},
	})
	return st
}

// Serve serves the handler of a stand-in and returns its base URL.
func (st *Stack) Serve(ha http.Handler) string {
	sv := httptest.NewServer(ha)
	st.closers = append(st.closers, sv.Close)
	return sv.URL
}

// Close stops everything in the reverse order of the starts.
func (st *Stack) Close() {
	for ix := len(st.closers) - 1; ix >= 0; ix-- {
		st.closers[ix]()
	}
	st.wg.Wait()
}

// StartSidecar starts a sidecar for the upstream at the URL. It returns the
// upstream with the sidecar's address, and a function that stops the sidecar.
func (st *Stack) StartSidecar(up config.Upstream, url string) (config.Upstream, func(), error) {
	si, err := side.New(conf.Sidecar{
		VM: up.VM, Domain: up.Domain, Region: "r1", Upstream: up.ID, Kind: up.Kind,
		Listen: "127.0.0.1:0", UpstreamURL: url, Platform: st.platformURLs(), TLS: st.sidecarTLS,
		Limits: conf.SidecarLimits{MaxRunning: 1024, QueueCapacity: 64, ReplayBytes: 1 << 20, ReplayFor: time.Minute},
		Drain:  drainTimeout,
	}, st.met, newOpsServer)
	if err != nil {
		return up, nil, err
	}
	up.Sidecar = si.Addr()
	return up, st.start(si.Run), nil
}

// StartRouter starts a router and returns it with a function that stops it.
func (st *Stack) StartRouter(vm ident.VM, domain ident.Domain) (*router.Router, func(), error) {
	ro, err := router.New(conf.Router{
		VM: vm, Domain: domain, Region: "r1", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Platform: st.platformURLs(), TLS: st.routerTLS, AdminKeys: st.adminKeys,
		Limits: conf.RouterLimits{MaxBodyBytes: 512 << 10, MaxHeaderBytes: 16 << 10, MaxRunning: 4096, QueueCapacity: 1024, MaxLinks: 64},
		Drain:  drainTimeout,
	}, st.met, newOpsServer)
	if err != nil {
		return nil, nil, err
	}
	return ro, st.start(ro.Run), nil
}

func (st *Stack) platformURLs() conf.Platform {
	return conf.Platform{Table: st.platformURL, Objects: st.platformURL, VMs: st.platformURL + "/vms"}
}

func newOpsServer(func() error) (*serve.Server, error) {
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

// ChangeConfig changes the current configuration.
func (st *Stack) ChangeConfig(change func(config.Snapshot) config.Snapshot) error {
	_, err := st.Acceptor.Change(context.Background(), "test", ident.NewOp(),
		func(sn config.Snapshot) (config.Snapshot, error) { return change(sn), nil })
	return err
}

// CreateBudget creates the budget and tops it up.
func (st *Stack) CreateBudget(rf ident.BudgetRef, tokens ident.Tokens) error {
	ctx := context.Background()
	if err := st.Ledger.CreateBudget(ctx, rf); err != nil {
		return err
	}
	return st.Ledger.TopUp(ctx, rf, tokens, ident.NewOp(), "test")
}

// WaitReady waits until the router at the address is ready to serve requests.
func WaitReady(addr string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		rs, err := http.Get("http://" + addr + "/readyz")
		if err == nil {
			_ = rs.Body.Close()
			if rs.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("stack: the router at %s is not ready", addr)
}

// ClosedAddr returns a loopback address at which nothing listens, so that
// connections are refused.
func ClosedAddr() (string, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ls.Close() }()
	return ls.Addr().String(), nil
}
