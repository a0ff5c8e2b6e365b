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

// side is a sidecar that meters and refuses as the real one does.
type side struct {
	wo     *world
	id     ident.Incarnation
	vm     ident.VM
	mu     sync.Mutex
	cut    bool
	closed map[ident.Incarnation]bool
	used   map[ident.Incarnation]ident.Tokens
}

func (si *side) Incarnation() ident.Incarnation { return si.id }

func (si *side) VM() ident.VM { return si.vm }

func (si *side) Close(_ context.Context, router ident.Incarnation) (escrow.ClosureRow, error) {
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.cut {
		return escrow.ClosureRow{}, errors.New("no link")
	}
	si.closed[router] = true
	return escrow.ClosureRow{Used: []escrow.Use{{Account: meals.Account, Budget: meals.Budget, Tokens: si.used[router]}}}, nil
}

// run produces tokens unless the incarnation is closed.
func (si *side) run(router ident.Incarnation, tokens ident.Tokens) bool {
	err := si.wo.ledger.Witness(si.wo.t.Context(), router, si.id, escrow.WitnessRow{VM: si.vm})
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.closed[router] || err != nil && si.used[router] == 0 {
		return false
	}
	si.used[router] += tokens
	si.wo.produced += tokens
	return true
}

// world is a table, a VM list and two routers that recover; r1 is to die.
type world struct {
	t        *testing.T
	now      time.Time
	tb       *table.Table
	ledger   *budget.Ledger
	vms      []store.VM
	listErr  error
	sides    []*side
	alive    map[string]bool
	produced ident.Tokens
	r1       *budget.Holder
	recs     []*recov.Recoverer
}

func (wo *world) Now() time.Time { return wo.now }

func (wo *world) List(context.Context) ([]store.VM, error) { return wo.vms, wo.listErr }

func (wo *world) Connected() []recov.Sidecar {
	var all []recov.Sidecar
	for _, si := range wo.sides {
		all = append(all, si)
	}
	return all
}

func (wo *world) Answers(_ context.Context, address string) bool { return wo.alive[address] }

func (wo *world) must(err error) {
	wo.t.Helper()
	if err != nil {
		wo.t.Fatal(err)
	}
}

func (wo *world) side(id ident.Incarnation, vm ident.VM) *side {
	si := &side{wo: wo, id: id, vm: vm, closed: map[ident.Incarnation]bool{}, used: map[ident.Incarnation]ident.Tokens{}}
	wo.sides = append(wo.sides, si)
	return si
}

func (wo *world) holder(inc ident.Incarnation, vm ident.VM) *budget.Holder {
	wo.t.Helper()
	hd := budget.NewHolder(inc, vm, "fd1", wo.ledger, budget.WithClock(wo), budget.WithRefuseFor(0),
		budget.WithAddress(func() string { return "a" + string(vm[1:]) }))
	wo.must(hd.Open(wo.t.Context()))
	return hd
}

func newWorld(t *testing.T) *world {
	t.Helper()
	wo := &world{
		t: t, now: time.Unix(1000, 0), tb: table.New(), alive: map[string]bool{"a1": true, "a2": true, "a3": true},
		vms: []store.VM{{ID: "v1", Address: "a1"}, {ID: "v2", Address: "a2"}, {ID: "v3", Address: "a3"}, {ID: "s"}},
	}
	wo.ledger = budget.NewLedger(wo.tb.Client(), codec.Ledger())
	wo.must(wo.ledger.Create(t.Context(), meals))
	wo.must(wo.ledger.TopUp(t.Context(), meals, prepaid, "first", "op"))
	wo.side("s1", "s")
	wo.r1 = wo.holder("r1", "v1")
	for _, id := range []ident.Incarnation{"r2", "r3"} {
		wo.holder(id, ident.VM("v"+id[1:]))
		wo.recs = append(wo.recs, recov.New(id, wo.ledger, wo, wo, wo, recov.WithClock(wo)))
	}
	_, err := wo.r1.Reserve(t.Context(), meals, 900, config.WeighRefusal)
	wo.must(err)
	wo.passes(1)
	return wo
}

// passes makes passes of both routers at the same time.
func (wo *world) passes(count int) {
	wo.t.Helper()
	for range count {
		wo.now = wo.now.Add(time.Minute)
		var wg sync.WaitGroup
		for _, re := range wo.recs {
			wg.Go(func() { _ = re.Pass(wo.t.Context()) })
		}
		wg.Wait()
	}
}

func (wo *world) unlist(vm ident.VM) {
	var rest []store.VM
	for _, it := range wo.vms {
		if it.ID != vm {
			rest = append(rest, it)
		}
	}
	wo.vms = rest
}

func (wo *world) kill() {
	wo.unlist("v1")
	wo.alive["a1"] = false
}

// restart replaces the recoverers, which know nothing yet.
func (wo *world) restart() {
	for ix, id := range []ident.Incarnation{"r2", "r3"} {
		wo.recs[ix] = recov.New(id, wo.ledger, wo, wo, wo, recov.WithClock(wo))
	}
}

// want compares settled, held and free, and the books with what was produced.
func (wo *world) want(settled, held, free ident.Tokens) {
	wo.t.Helper()
	ba, err := wo.ledger.Balance(wo.t.Context(), meals)
	wo.must(err)
	got := []ident.Tokens{ba.Prepaid, ba.Settled, ba.Held, ba.Free}
	if diff := cmp.Diff([]ident.Tokens{prepaid, settled, held, free}, got); diff != "" {
		wo.t.Errorf("prepaid, settled, held, free (-want +got):\n%s", diff)
	}
	if wo.produced > ba.Settled+ba.Held {
		wo.t.Errorf("%d tokens were produced, %d are settled or held", wo.produced, ba.Settled+ba.Held)
	}
}

// TestRecovery guards against escrow of a dead router that is freed without
// evidence, charged twice by routers that recover it together, or never freed.
func TestRecovery(t *testing.T) {
	cases := []struct {
		name                string
		run                 func(wo *world)
		settled, held, free ident.Tokens
	}{
		{"listed and answering", func(wo *world) { wo.passes(5) }, 0, 900, 100},
		{"gone from one list", func(wo *world) { wo.kill(); wo.passes(1) }, 0, 900, 100},
		{"gone from two lists", func(wo *world) { wo.kill(); wo.passes(2) }, 300, 0, 700},
		{"gone but answering", func(wo *world) { wo.unlist("v1"); wo.passes(9) }, 0, 900, 100},
		{"gone before the others started", func(wo *world) { wo.kill(); wo.restart(); wo.passes(3) }, 300, 0, 700},
		{"new and not listed yet", func(wo *world) { wo.unlist("v1"); wo.restart(); wo.passes(9) }, 0, 900, 100},
		{"listed but silent", func(wo *world) { wo.alive["a1"] = false; wo.passes(9) }, 0, 900, 100},
		{"the list cannot be read", func(wo *world) { wo.kill(); wo.listErr = store.ErrUnavailable; wo.passes(9) }, 0, 900, 100},
		{"its address was given to another VM", func(wo *world) {
			wo.unlist("v1")
			wo.vms = append(wo.vms, store.VM{ID: "v9", Address: "a1"})
			wo.passes(2)
		}, 300, 0, 700},
		{"restarted on the same VM", func(wo *world) { wo.holder("r1b", "v1"); wo.passes(1) }, 300, 0, 700},
		{"closed by an operator", func(wo *world) { wo.must(wo.ledger.Declare(wo.t.Context(), "r1")); wo.passes(2) }, 300, 0, 700},
		{"in the middle of an orderly end", func(wo *world) { wo.must(wo.ledger.Declare(wo.t.Context(), "r1")); wo.passes(1) }, 0, 900, 100},
		{"the sidecar is cut off", func(wo *world) { wo.sides[0].cut = true; wo.kill(); wo.passes(9) }, 0, 900, 100},
		{"the sidecar is reached later", func(wo *world) {
			wo.sides[0].cut = true
			wo.kill()
			wo.passes(9)
			wo.sides[0].cut = false
			wo.passes(16)
		}, 300, 0, 700},
		{"the sidecar was restarted", func(wo *world) {
			wo.sides = nil
			wo.side("s2", "s")
			wo.kill()
			wo.passes(30)
		}, 0, 900, 100},
		{"the sidecar left in order", func(wo *world) {
			cr, err := wo.sides[0].Close(wo.t.Context(), "r1")
			wo.must(err)
			wo.must(wo.ledger.Confirm(wo.t.Context(), "r1", "s1", cr))
			wo.sides = nil
			wo.kill()
			wo.passes(2)
		}, 300, 0, 700},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			wo := newWorld(t)
			if !wo.sides[0].run("r1", 300) {
				t.Fatal("work of an open incarnation was refused")
			}
			ca.run(wo)
			wo.want(ca.settled, ca.held, ca.free)
		})
	}
}

// TestNoWork guards against escrow that stays held because no sidecar can
// confirm what a router without any work used.
func TestNoWork(t *testing.T) {
	wo := newWorld(t)
	wo.kill()
	wo.passes(2)
	wo.want(0, 0, prepaid)
}

// byClock frees the escrow of a router that has not been heard of for a while.
func byClock(wo *world) {
	wo.must(wo.ledger.Declare(wo.t.Context(), "r1"))
	wo.must(wo.ledger.Resolve(wo.t.Context(), meals, "r1", 0, "clock"))
}

func onEvidence(wo *world) { wo.passes(2) }

// TestPaused guards against a router that is paused while its escrow is
// reclaimed and that spends it after all. The variant that reclaims by the
// clock must be seen to overspend.
func TestPaused(t *testing.T) {
	for _, va := range []struct {
		name      string
		reclaim   func(wo *world)
		overspent ident.Tokens
	}{{"on evidence", onEvidence, 0}, {"by the clock", byClock, 900}} {
		t.Run(va.name, func(t *testing.T) {
			wo := newWorld(t)
			wo.sides[0].run("r1", 300)
			late := wo.side("s2", "s2")
			wo.kill()
			va.reclaim(wo)
			r4 := wo.holder("r4", "v4")
			ba, err := wo.ledger.Balance(t.Context(), meals)
			wo.must(err)
			_, err = r4.Reserve(t.Context(), meals, ba.Free, config.WeighRefusal)
			wo.must(err)
			wo.sides[0].run("r4", ba.Free)
			// The paused router goes on at the sidecar that knows it and at one
			// that started after the closure.
			wo.sides[0].run("r1", 600)
			late.run("r1", 300)
			if got := max(0, wo.produced-prepaid); got != va.overspent {
				t.Errorf("overspent %d tokens, want %d", got, va.overspent)
			}
		})
	}
}
