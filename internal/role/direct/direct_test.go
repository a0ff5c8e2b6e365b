package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/bench/procs"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/opstor"
	"github.com/balsamwood/balsamwood/internal/fake/origin"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/role/direct"
	"github.com/balsamwood/balsamwood/platform"
)

const (
	prepaid      = 10_000
	streamEvents = 4
	waitTimeout  = 20 * time.Second
)

// testFleet runs a store, upstreams and routers in one process.
type testFleet struct {
	t       *testing.T
	store   *opstor.Store
	engine  *origin.Origin
	app     *origin.Origin
	routers []*testRouter
}

type testRouter struct {
	set    conf.DirectRouter
	cancel context.CancelFunc
	done   chan error
}

// freePort returns a free address on loopback.
func freePort(t *testing.T) string {
	t.Helper()
	addr, err := procs.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// TestFreePort guards against two listeners of a test that get the same port.
func TestFreePort(t *testing.T) {
	seen := map[string]bool{}
	for range 5000 {
		addr := freePort(t)
		if seen[addr] {
			t.Fatalf("%s was returned twice", addr)
		}
		seen[addr] = true
	}
}

func newTestFleet(t *testing.T, routers int) *testFleet {
	t.Helper()
	fl := &testFleet{t: t, store: opstor.New()}
	t.Cleanup(fl.store.Close)
	fl.engine, fl.app = fl.upstream("engine-1", "llm"), fl.upstream("app-1", "app")
	fl.configure(1, "k1", prepaid)
	for ix := range routers {
		fl.routers = append(fl.routers, fl.router(fmt.Sprint("edge-", ix)))
	}
	return fl
}

func (fl *testFleet) upstream(id, service string) *origin.Origin {
	or, err := origin.New(id, streamEvents, 0)
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.t.Cleanup(or.Close)
	fl.store.Register(id, service, or.Addr())
	return or
}

func (fl *testFleet) configure(version int, key string, total int) {
	fl.store.Configure(version, opstor.Config{
		Host:     "h.example",
		Routes:   []opstor.Route{{Prefix: "/draft/", Kind: "stream", Service: "llm"}, {Prefix: "/voucher/", Kind: "non_idempotent", Service: "app"}},
		Engines:  []string{"llm"},
		Services: []string{"app"}, EventTokens: 5,
		Accounts: []opstor.Account{{Name: "desk", Key: key, Prepaid: total}},
	})
}

func (fl *testFleet) router(vm string, opts ...direct.Option) *testRouter {
	return fl.routerWith(vm, fl.store.Addr(), nil, opts...)
}

// routerAt starts a router that reaches the store at an address. The seeds are the
// addresses of other routers in its settings.
func (fl *testFleet) routerAt(vm, store string, seeds ...string) *testRouter {
	return fl.routerWith(vm, store, seeds)
}

func (fl *testFleet) routerWith(vm, store string, seeds []string, opts ...direct.Option) *testRouter {
	set := conf.DirectRouter{
		VM: ident.VM(vm), Domain: "z", Listen: freePort(fl.t), Store: store, Seeds: seeds, MetricsListen: freePort(fl.t),
		PeerListen: freePort(fl.t), ReadinessCheck: conf.ReadinessCheck{Listen: freePort(fl.t), Path: "/ready"},
		Drain: 2 * time.Second, RetryBudget: conf.RetryBudget{Ratio: 0.2, Reserve: 100, Routers: 4},
	}
	ro, err := direct.New(set, meter.Nop{}, http.NotFoundHandler(), platform.New(set.Store), opts...)
	if err != nil {
		fl.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tr := &testRouter{set: set, cancel: cancel, done: make(chan error, 1)}
	go func() { tr.done <- ro.Run(ctx) }()
	fl.t.Cleanup(func() { tr.shutDown(fl.t) })
	fl.await("ready", func() bool {
		resp, err := http.Get("http://" + set.ReadinessCheck.Listen + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return tr
}

func (tr *testRouter) shutDown(t *testing.T) {
	t.Helper()
	tr.cancel()
	select {
	case err := <-tr.done:
		if err != nil {
			t.Error(err)
		}
		tr.done <- nil
	case <-time.After(waitTimeout):
		t.Fatal("the router does not stop")
	}
}

func (fl *testFleet) await(what string, ok func() bool) {
	fl.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); {
		if time.Now().After(end) {
			fl.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call sends one request and returns the status and the body.
func (fl *testFleet) call(tr *testRouter, id, path, key string, prompt int) (int, string) {
	fl.t.Helper()
	ca := origin.Call{ID: id, Host: "h.example", Path: path, Key: key, Prompt: prompt, Output: 50}
	status, body, err := ca.Send(fl.t.Context(), tr.set.Listen)
	if err != nil {
		return 0, err.Error()
	}
	return status, body
}

// TestPath guards against faults on the path of a request from end to end: a
// stream, a call that must run at most once, a wrong key, an unknown route and an
// exhausted budget, at two routers with one store.
func TestPath(t *testing.T) {
	fl := newTestFleet(t, 2)
	one, two := fl.routers[0], fl.routers[1]
	var got []string
	record := func(status int, body string) { got = append(got, fmt.Sprint(status, " ", strings.Count(body, "id: "))) }
	record(fl.call(one, "a1", "/draft/x", "k1", 100))
	record(fl.call(two, "a2", "/voucher/x", "k1", 0))
	record(fl.call(two, "a3", "/voucher/x", "wrong", 0))
	record(fl.call(one, "a4", "/none/", "k1", 0))
	record(fl.call(one, "a5", "/draft/x", "k1", 20000))
	if diff := cmp.Diff([]string{"200 4", "200 0", "401 0", "404 0", "402 0"}, got); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
	if runs := len(fl.engine.Runs()) + len(fl.app.Runs()); runs != 2 {
		t.Errorf("%d requests ran, want 2", runs)
	}
}

// TestAtMostOnce guards against a second run of a non-idempotent call whose
// response was lost, and against a status that says that it did not run.
func TestAtMostOnce(t *testing.T) {
	fl := newTestFleet(t, 1)
	fl.app.SetFaults(func(string) origin.Fault { return origin.Reset })
	status, _ := fl.call(fl.routers[0], "v1", "/voucher/x", "k1", 0)
	if runs := len(fl.app.Runs()); status != http.StatusBadGateway || runs != 1 {
		t.Errorf("status %d after %d runs, want 502 after 1 run", status, runs)
	}
}

// TestBudgetAcrossRouters guards against routers that together spend more than
// the prepaid total, against tokens that cannot be used up, and against a raised
// total that has no effect.
func TestBudgetAcrossRouters(t *testing.T) {
	fl := newTestFleet(t, 2)
	served := 0
	for ix := range 200 {
		status, _ := fl.call(fl.routers[ix%2], fmt.Sprint("b", ix), "/draft/x", "k1", 100)
		if status == http.StatusOK {
			served++
		}
	}
	// A served request costs 100 tokens and 4 events of 5 tokens.
	if spent := served * 120; spent > prepaid || spent < prepaid*9/10 {
		t.Errorf("%d tokens spent of %d", spent, prepaid)
	}
	fl.configure(2, "k1", 2*prepaid)
	fl.await("the raised total is in force", func() bool {
		status, _ := fl.call(fl.routers[0], "b-more", "/draft/x", "k1", 100)
		return status == http.StatusOK
	})
}

// TestRevoked guards against a key that is still accepted after its removal.
func TestRevoked(t *testing.T) {
	fl := newTestFleet(t, 2)
	fl.configure(2, "k2", prepaid)
	for _, tr := range fl.routers {
		fl.await("the key is revoked", func() bool {
			status, _ := fl.call(tr, "r", "/voucher/x", "k1", 0)
			return status == http.StatusUnauthorized
		})
	}
}

// TestShutdownReturnsEscrow guards against a shutdown that leaves escrow of the
// budget held.
func TestShutdownReturnsEscrow(t *testing.T) {
	fl := newTestFleet(t, 1)
	if status, _ := fl.call(fl.routers[0], "e1", "/draft/x", "k1", 100); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	fl.routers[0].shutDown(t)
	var left []string
	for _, val := range fl.store.Values("budget") {
		left = append(left, val)
	}
	if diff := cmp.Diff([]string{`{"prepaid":10000,"settled":120,"granted":0,"holders":0,"revision":1,"era":1}`}, left); diff != "" {
		t.Errorf("budget rows (-want +got):\n%s", diff)
	}
}
