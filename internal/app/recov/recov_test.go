package recov_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/recov"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

const prepaid = 1000

var meals = ident.BudgetRef{Account: "sejin", Budget: "meals"}

// fakeSidecar meters usage and refuses closed incarnations as a real sidecar does.
type fakeSidecar struct {
	fx           *fixture
	id           ident.Incarnation
	vm           ident.VM
	mu           sync.Mutex
	disconnected bool
	closed       map[ident.Incarnation]bool
	used         map[ident.Incarnation]ident.Tokens
}

func (si *fakeSidecar) Incarnation() ident.Incarnation { return si.id }

func (si *fakeSidecar) VM() ident.VM { return si.vm }

func (si *fakeSidecar) Close(_ context.Context, router ident.Incarnation) (escrow.ClosureRow, error) {
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.disconnected {
		return escrow.ClosureRow{}, errors.New("no link")
	}
	si.closed[router] = true
	return escrow.ClosureRow{Used: []escrow.Use{{Account: meals.Account, Budget: meals.Budget, Tokens: si.used[router]}}}, nil
}

// run produces tokens unless the incarnation is closed, and reports whether it
// did.
func (si *fakeSidecar) run(router ident.Incarnation, tokens ident.Tokens) bool {
	err := si.fx.ledger.Witness(si.fx.t.Context(), router, si.id, escrow.WitnessRow{VM: si.vm})
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.closed[router] || err != nil && si.used[router] == 0 {
		return false
	}
	si.used[router] += tokens
	si.fx.produced += tokens
	return true
}

// fixture is a table, a VM list and two routers that recover. The tests kill r1.
type fixture struct {
	t        *testing.T
	now      time.Time
	tb       *table.Table
	ledger   *budget.Ledger
	vms      []store.VM
	listErr  error
	sidecars []*fakeSidecar
	alive    map[string]bool
	produced ident.Tokens
	r1       *budget.Holder
	recs     []*recov.Recoverer
}

func (fx *fixture) Now() time.Time { return fx.now }

func (fx *fixture) List(context.Context) ([]store.VM, error) { return fx.vms, fx.listErr }

func (fx *fixture) Connected() []recov.Sidecar {
	var all []recov.Sidecar
	for _, si := range fx.sidecars {
		all = append(all, si)
	}
	return all
}

func (fx *fixture) Responds(_ context.Context, address string) bool { return fx.alive[address] }

func (fx *fixture) must(err error) {
	fx.t.Helper()
	if err != nil {
		fx.t.Fatal(err)
	}
}

func (fx *fixture) fakeSidecar(id ident.Incarnation, vm ident.VM) *fakeSidecar {
	si := &fakeSidecar{fx: fx, id: id, vm: vm, closed: map[ident.Incarnation]bool{}, used: map[ident.Incarnation]ident.Tokens{}}
	fx.sidecars = append(fx.sidecars, si)
	return si
}

func (fx *fixture) holder(inc ident.Incarnation, vm ident.VM) *budget.Holder {
	fx.t.Helper()
	hd := budget.NewHolder(inc, vm, "fd1", fx.ledger, budget.WithClock(fx), budget.WithRefusalTTL(0),
		budget.WithAddress(func() string { return "a" + string(vm[1:]) }))
	fx.must(hd.Open(fx.t.Context()))
	return hd
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fx := &fixture{
		t: t, now: time.Unix(1000, 0), tb: table.New(), alive: map[string]bool{"a1": true, "a2": true, "a3": true},
		vms: []store.VM{{ID: "v1", Address: "a1"}, {ID: "v2", Address: "a2"}, {ID: "v3", Address: "a3"}, {ID: "s"}},
	}
	fx.ledger = budget.NewLedger(fx.tb.Client(), codec.Ledger())
	fx.must(fx.ledger.CreateBudget(t.Context(), meals))
	fx.must(fx.ledger.TopUp(t.Context(), meals, prepaid, "first", "op"))
	fx.fakeSidecar("s1", "s")
	fx.r1 = fx.holder("r1", "v1")
	for _, id := range []ident.Incarnation{"r2", "r3"} {
		fx.holder(id, ident.VM("v"+id[1:]))
		fx.recs = append(fx.recs, recov.New(id, fx.ledger, fx, fx, fx, recov.WithClock(fx)))
	}
	_, err := fx.r1.Reserve(t.Context(), meals, 900, config.AvoidRefusal)
	fx.must(err)
	fx.runPasses(1)
	return fx
}

// runPasses runs count passes of both routers concurrently.
func (fx *fixture) runPasses(count int) {
	fx.t.Helper()
	for range count {
		fx.now = fx.now.Add(time.Minute)
		var wg sync.WaitGroup
		for _, re := range fx.recs {
			wg.Go(func() { _ = re.Pass(fx.t.Context()) })
		}
		wg.Wait()
	}
}

func (fx *fixture) unlist(vm ident.VM) {
	var rest []store.VM
	for _, it := range fx.vms {
		if it.ID != vm {
			rest = append(rest, it)
		}
	}
	fx.vms = rest
}

func (fx *fixture) kill() {
	fx.unlist("v1")
	fx.alive["a1"] = false
}

// restart replaces the recoverers by new ones without any state.
func (fx *fixture) restart() {
	for ix, id := range []ident.Incarnation{"r2", "r3"} {
		fx.recs[ix] = recov.New(id, fx.ledger, fx, fx, fx, recov.WithClock(fx))
	}
}

// checkBalance compares the balance with the wanted amounts, and checks that it
// covers the tokens that were produced.
func (fx *fixture) checkBalance(settled, held, free ident.Tokens) {
	fx.t.Helper()
	ba, err := fx.ledger.Balance(fx.t.Context(), meals)
	fx.must(err)
	got := []ident.Tokens{ba.Prepaid, ba.Settled, ba.Held, ba.Free}
	if diff := cmp.Diff([]ident.Tokens{prepaid, settled, held, free}, got); diff != "" {
		fx.t.Errorf("prepaid, settled, held, free (-want +got):\n%s", diff)
	}
	if fx.produced > ba.Settled+ba.Held {
		fx.t.Errorf("%d tokens were produced, %d are settled or held", fx.produced, ba.Settled+ba.Held)
	}
}

// TestRecovery guards against escrow of a dead router that is freed without
// evidence, charged twice by routers that recover it concurrently, or never freed.
func TestRecovery(t *testing.T) {
	cases := []struct {
		name                string
		run                 func(fx *fixture)
		settled, held, free ident.Tokens
	}{
		{"listed and responding", func(fx *fixture) { fx.runPasses(5) }, 0, 900, 100},
		{"gone from one list", func(fx *fixture) { fx.kill(); fx.runPasses(1) }, 0, 900, 100},
		{"gone from two lists", func(fx *fixture) { fx.kill(); fx.runPasses(2) }, 300, 0, 700},
		{"gone but responding", func(fx *fixture) { fx.unlist("v1"); fx.runPasses(9) }, 0, 900, 100},
		{"gone before the others started", func(fx *fixture) { fx.kill(); fx.restart(); fx.runPasses(3) }, 300, 0, 700},
		{"new and not listed yet", func(fx *fixture) { fx.unlist("v1"); fx.restart(); fx.runPasses(9) }, 0, 900, 100},
		{"listed but not responding", func(fx *fixture) { fx.alive["a1"] = false; fx.runPasses(9) }, 0, 900, 100},
		{"the list cannot be read", func(fx *fixture) { fx.kill(); fx.listErr = store.ErrUnavailable; fx.runPasses(9) }, 0, 900, 100},
		{"its address was assigned to another VM", func(fx *fixture) {
			fx.unlist("v1")
			fx.vms = append(fx.vms, store.VM{ID: "v9", Address: "a1"})
			fx.runPasses(2)
		}, 300, 0, 700},
		{"restarted on the same VM", func(fx *fixture) { fx.holder("r1b", "v1"); fx.runPasses(1) }, 300, 0, 700},
		{"closed by an operator", func(fx *fixture) { fx.must(fx.ledger.DeclareDead(fx.t.Context(), "r1")); fx.runPasses(2) }, 300, 0, 700},
		{"during an orderly shutdown", func(fx *fixture) { fx.must(fx.ledger.DeclareDead(fx.t.Context(), "r1")); fx.runPasses(1) }, 0, 900, 100},
		{"the sidecar is disconnected", func(fx *fixture) { fx.sidecars[0].disconnected = true; fx.kill(); fx.runPasses(9) }, 0, 900, 100},
		{"the sidecar reconnects later", func(fx *fixture) {
			fx.sidecars[0].disconnected = true
			fx.kill()
			fx.runPasses(9)
			fx.sidecars[0].disconnected = false
			fx.runPasses(16)
		}, 300, 0, 700},
		{"the sidecar was restarted", func(fx *fixture) {
			fx.sidecars = nil
			fx.fakeSidecar("s2", "s")
			fx.kill()
			fx.runPasses(30)
		}, 0, 900, 100},
		{"the sidecar confirmed before it was shut down", func(fx *fixture) {
			cr, err := fx.sidecars[0].Close(fx.t.Context(), "r1")
			fx.must(err)
			fx.must(fx.ledger.ConfirmClosure(fx.t.Context(), "r1", "s1", cr))
			fx.sidecars = nil
			fx.kill()
			fx.runPasses(2)
		}, 300, 0, 700},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			fx := newFixture(t)
			if !fx.sidecars[0].run("r1", 300) {
				t.Fatal("work of an open incarnation was refused")
			}
			ca.run(fx)
			fx.checkBalance(ca.settled, ca.held, ca.free)
		})
	}
}

// TestNoWork guards against escrow that stays held because no sidecar can confirm
// the usage of a router that dispatched no work.
func TestNoWork(t *testing.T) {
	fx := newFixture(t)
	fx.kill()
	fx.runPasses(2)
	fx.checkBalance(0, 0, prepaid)
}

// reclaimByTimeout frees the escrow of a router without evidence, as a lease that
// expires would.
func reclaimByTimeout(fx *fixture) {
	fx.must(fx.ledger.DeclareDead(fx.t.Context(), "r1"))
	fx.must(fx.ledger.Resolve(fx.t.Context(), meals, "r1", 0, "clock"))
}

func reclaimOnEvidence(fx *fixture) { fx.runPasses(2) }

// TestPaused guards against a router that is paused while its escrow is reclaimed
// and spends it when it resumes. The variant that reclaims by time-out must
// overspend.
func TestPaused(t *testing.T) {
	for _, va := range []struct {
		name      string
		reclaim   func(fx *fixture)
		overspent ident.Tokens
	}{{"on evidence", reclaimOnEvidence, 0}, {"by time-out", reclaimByTimeout, 900}} {
		t.Run(va.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.sidecars[0].run("r1", 300)
			late := fx.fakeSidecar("s2", "s2")
			fx.kill()
			va.reclaim(fx)
			r4 := fx.holder("r4", "v4")
			ba, err := fx.ledger.Balance(t.Context(), meals)
			fx.must(err)
			_, err = r4.Reserve(t.Context(), meals, ba.Free, config.AvoidRefusal)
			fx.must(err)
			fx.sidecars[0].run("r4", ba.Free)
			// The paused router resumes at the sidecar that closed it and at one
			// that it used for the first time after the closure.
			fx.sidecars[0].run("r1", 600)
			late.run("r1", 300)
			if got := max(0, fx.produced-prepaid); got != va.overspent {
				t.Errorf("overspent %d tokens, want %d", got, va.overspent)
			}
		})
	}
}
