package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/opstor"
	"github.com/balsamwood/balsamwood/internal/fake/origin"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/role/direct"
	"github.com/balsamwood/balsamwood/platform"
)

const (
	prepaid   = 10_000
	streamLen = 4
	waitTime  = 20 * time.Second
)

// site is a store, upstreams and routers in one process.
type site struct {
	t       *testing.T
	store   *opstor.Store
	engine  *origin.Origin
	app     *origin.Origin
	routers []*node
}

type node struct {
	set  conf.Direct
	stop context.CancelFunc
	done chan error
}

// freePort returns a free port on a loopback address of this process. On
// 127.0.0.1 another process, or an outgoing connection, may take the port
// before the router listens.
func freePort(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	ls, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16%250, pid>>8%256, 1+pid%254))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	return ls.Addr().String()
}

func newSite(t *testing.T, routers int) *site {
	t.Helper()
	si := &site{t: t, store: opstor.New()}
	t.Cleanup(si.store.Close)
	si.engine, si.app = si.upstream("engine-1", "llm"), si.upstream("app-1", "app")
	si.configure(1, "k1", prepaid)
	for no := range routers {
		si.routers = append(si.routers, si.router(fmt.Sprint("edge-", no)))
	}
	return si
}

func (si *site) upstream(id, service string) *origin.Origin {
	or, err := origin.New(id, streamLen, 0)
	if err != nil {
		si.t.Fatal(err)
	}
	si.t.Cleanup(or.Close)
	si.store.Register(id, service, or.Addr())
	return or
}

func (si *site) configure(version int, key string, total int) {
	si.store.Configure(version, opstor.Site{
		Host:     "h.example",
		Routes:   []opstor.Route{{Prefix: "/draft/", Kind: "stream", Service: "llm"}, {Prefix: "/voucher/", Kind: "non_idempotent", Service: "app"}},
		Engines:  []string{"llm"},
		Services: []string{"app"}, EventTokens: 5,
		Accounts: []opstor.Account{{Name: "desk", Key: key, Prepaid: total}},
	})
}

func (si *site) router(vm string) *node {
	set := conf.Direct{
		VM: ident.VM(vm), Domain: "z", Listen: freePort(si.t), Store: si.store.Addr(), MetricsListen: freePort(si.t),
		PeerListen: freePort(si.t), Ready: conf.Ready{Listen: freePort(si.t), Path: "/ready"},
		Drain: 2 * time.Second, Retries: conf.Retries{Ratio: 0.2, Slack: 100, Routers: 4},
	}
	ro, err := direct.New(set, meter.Nop{}, http.NotFoundHandler(), platform.New(set.Store))
	if err != nil {
		si.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	no := &node{set: set, stop: stop, done: make(chan error, 1)}
	go func() { no.done <- ro.Run(ctx) }()
	si.t.Cleanup(func() { no.end(si.t) })
	si.await("ready", func() bool {
		resp, err := http.Get("http://" + set.Ready.Listen + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return no
}

func (no *node) end(t *testing.T) {
	t.Helper()
	no.stop()
	select {
	case err := <-no.done:
		if err != nil {
			t.Error(err)
		}
		no.done <- nil
	case <-time.After(waitTime):
		t.Fatal("the router does not end")
	}
}

func (si *site) await(what string, ok func() bool) {
	si.t.Helper()
	for end := time.Now().Add(waitTime); !ok(); {
		if time.Now().After(end) {
			si.t.Fatalf("waited in vain: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call sends one request and returns the status and the body.
func (si *site) call(no *node, id, path, key string, prompt int) (int, string) {
	si.t.Helper()
	ca := origin.Call{ID: id, Host: "h.example", Path: path, Key: key, Prompt: prompt, Output: 50}
	status, body, err := ca.Send(si.t.Context(), no.set.Listen)
	if err != nil {
		return 0, err.Error()
	}
	return status, body
}

// TestPath guards against a path that does not serve as a whole: a stream, a
// call that may not repeat, bad keys and routes, and a spent budget, over two
// routers and one store.
func TestPath(t *testing.T) {
	si := newSite(t, 2)
	one, two := si.routers[0], si.routers[1]
	var got []string
	note := func(status int, body string) { got = append(got, fmt.Sprint(status, " ", strings.Count(body, "id: "))) }
	note(si.call(one, "a1", "/draft/x", "k1", 100))
	note(si.call(two, "a2", "/voucher/x", "k1", 0))
	note(si.call(two, "a3", "/voucher/x", "wrong", 0))
	note(si.call(one, "a4", "/none/", "k1", 0))
	note(si.call(one, "a5", "/draft/x", "k1", 20000))
	if diff := cmp.Diff([]string{"200 4", "200 0", "401 0", "404 0", "402 0"}, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if runs := len(si.engine.Runs()) + len(si.app.Runs()); runs != 2 {
		t.Errorf("%d requests ran, want 2", runs)
	}
}

// TestNeverTwice guards against a second run of a call whose answer was lost,
// and against a promise that it did not run.
func TestNeverTwice(t *testing.T) {
	si := newSite(t, 1)
	si.app.Fail(func(string) origin.Fault { return origin.Reset })
	status, _ := si.call(si.routers[0], "v1", "/voucher/x", "k1", 0)
	if runs := len(si.app.Runs()); status != http.StatusBadGateway || runs != 1 {
		t.Errorf("status %d after %d runs, want 502 after one", status, runs)
	}
}

// TestBudgetAcrossRouters guards against routers that together spend more than
// the total, over restarts and raised totals, and against a balance that cannot
// be used up.
func TestBudgetAcrossRouters(t *testing.T) {
	si := newSite(t, 2)
	served := 0
	for no := range 200 {
		status, _ := si.call(si.routers[no%2], fmt.Sprint("b", no), "/draft/x", "k1", 100)
		if status == http.StatusOK {
			served++
		}
	}
	// A served request costs 100 tokens and 4 events of 5 tokens.
	if spent := served * 120; spent > prepaid || spent < prepaid*9/10 {
		t.Errorf("%d tokens spent of %d", spent, prepaid)
	}
	si.configure(2, "k1", 2*prepaid)
	si.await("the raised total is in force", func() bool {
		status, _ := si.call(si.routers[0], "b-more", "/draft/x", "k1", 100)
		return status == http.StatusOK
	})
}

// TestRevoked guards against a key that is still taken after its removal.
func TestRevoked(t *testing.T) {
	si := newSite(t, 2)
	si.configure(2, "k2", prepaid)
	for _, no := range si.routers {
		si.await("the key is revoked", func() bool {
			status, _ := si.call(no, "r", "/voucher/x", "k1", 0)
			return status == http.StatusUnauthorized
		})
	}
}

// TestOrderlyEnd guards against an end that keeps escrow of the budget.
func TestOrderlyEnd(t *testing.T) {
	si := newSite(t, 1)
	if status, _ := si.call(si.routers[0], "e1", "/draft/x", "k1", 100); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	si.routers[0].end(t)
	var left []string
	for _, val := range si.store.Values("budget") {
		left = append(left, val)
	}
	if diff := cmp.Diff([]string{`{"prepaid":10000,"settled":120,"granted":0,"holders":0,"revision":1}`}, left); diff != "" {
		t.Errorf("budget rows (-want +got):\n%s", diff)
	}
}
