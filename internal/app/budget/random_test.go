package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/table"
)

// actor is a router with its connection to the table.
type actor struct {
	hd   *budget.Holder
	cl   *table.Client
	inc  ident.Incarnation
	used ident.Tokens
	open map[ident.Request]budget.Hold
	// done keeps finished holds for repeated settlements.
	done []budget.Hold
}

// faultRun runs routers against a faulty table and a reference ledger.
type faultRun struct {
	*fleet
	rng       *rand.Rand
	reference *escrow.ReferenceLedger
	actors    []*actor
	// paused lists routers that were recovered while paused and resume later.
	paused []*actor
	next   int
	writes int64
}

func (fr *faultRun) fault(commit bool) table.Fault {
	roll := fr.rng.IntN(100)
	switch {
	case roll < 2:
		return table.Throttled
	case roll < 4:
		return table.Down
	case commit && roll < 14:
		return []table.Fault{table.ResponseLost, table.RequestLost, table.Delayed}[fr.rng.IntN(3)]
	}
	return table.None
}

func (fr *faultRun) start() *actor {
	fr.next++
	ac := &actor{inc: ident.Incarnation(fmt.Sprint("r", fr.next)), open: make(map[ident.Request]budget.Hold)}
	ac.hd, ac.cl = fr.holder(ac.inc, budget.WithSettleBatch(4), budget.WithDrawTimeout(time.Second))
	ac.cl.SetFaults(fr.fault)
	return ac
}

func (fr *faultRun) reserve(ac *actor) error {
	fr.next++
	rq, tokens := ident.Request(fmt.Sprint("q", fr.next)), ident.Tokens(fr.rng.IntN(90)+1)
	ho, err := ac.hd.Reserve(fr.t.Context(), meals, tokens, config.AvoidOverspend)
	if err != nil {
		return nil
	}
	if !fr.reference.Reserve(rq, tokens) {
		return fmt.Errorf("overspend: %s reserved %d tokens that are not free", ac.inc, tokens)
	}
	ac.open[rq] = ho
	return nil
}

// settle settles one open request, which is sometimes marked as unknown before,
// and repeats an old settlement.
func (fr *faultRun) settle(ac *actor) error {
	for rq, ho := range ac.open {
		used := ident.Tokens(fr.rng.IntN(int(ho.Tokens()) + 1))
		if fr.rng.IntN(4) == 0 {
			ho.MarkUnknown()
		}
		if !ho.Settle(used) {
			return fmt.Errorf("settlement of %s had no effect", rq)
		}
		fr.reference.Settle(rq, used)
		ac.used += used
		ac.done = append(ac.done, ho)
		delete(ac.open, rq)
		break
	}
	if len(ac.done) > 0 && ac.done[fr.rng.IntN(len(ac.done))].Settle(9) {
		return fmt.Errorf("a settlement of %s took effect twice", ac.inc)
	}
	return nil
}

// kill pauses a router, recovers its escrow by the evidence of its sidecar, and
// starts another router in its place.
func (fr *faultRun) kill(no int) error {
	ac := fr.actors[no]
	for rq, ho := range ac.open {
		fr.reference.Settle(rq, ho.Tokens())
		ac.used += ho.Tokens()
	}
	cr := escrow.ClosureRow{Used: []escrow.Use{{Account: meals.Account, Budget: meals.Budget, Tokens: ac.used}}}
	fr.must(fr.ledger.ConfirmClosure(fr.t.Context(), ac.inc, "s1", cr))
	rec, err := fr.ledger.Recover(fr.t.Context(), ac.inc, escrow.Evidence{}.WithSidecar("s1"))
	for _, re := range rec.Grants {
		if re.Uncovered > 0 {
			err = fmt.Errorf("%s used %d tokens beyond its grant", ac.inc, re.Uncovered)
		}
	}
	fr.paused = append(fr.paused, ac)
	fr.actors[no] = fr.start()
	return err
}

func (fr *faultRun) step() error {
	no := fr.rng.IntN(len(fr.actors))
	ac := fr.actors[no]
	fr.clock.add(50 * time.Millisecond)
	switch roll := fr.rng.IntN(1000); {
	case roll < 420:
		return fr.reserve(ac)
	case roll < 880:
		return fr.settle(ac)
	case roll < 920:
		ac.hd.Flush(fr.t.Context())
	case roll < 940:
		// Whether the table responds is left to chance.
		_, _ = ac.hd.Release(fr.t.Context(), meals)
	case roll < 980:
		ac.cl.Deliver()
	case roll < 990:
		ac.cl.SetDown(fr.rng.IntN(3) == 0)
	case roll < 994:
		op, amount := ident.Op(fmt.Sprint(fr.rng.IntN(5000))), ident.Tokens(300)
		fr.must(fr.ledger.TopUp(fr.t.Context(), meals, amount, op, "op"))
		fr.reference.TopUp(op, amount)
	case roll < 996:
		return fr.kill(no)
	case len(fr.paused) > 0:
		pa := fr.paused[fr.rng.IntN(len(fr.paused))]
		pa.cl.Deliver()
		for _, ho := range pa.open {
			ho.Settle(1)
		}
		pa.hd.Flush(fr.t.Context())
		_, _ = pa.hd.Release(fr.t.Context(), meals)
	}
	return nil
}

// check verifies the balance equation on the rows whenever they changed.
func (fr *faultRun) check() error {
	if fr.tb.Writes() == fr.writes {
		return nil
	}
	fr.writes = fr.tb.Writes()
	cl := fr.tb.Client()
	it, _, err := cl.Get(fr.t.Context(), "budget/"+meals.String())
	fr.must(err)
	bu, err := codec.JSON[escrow.BudgetRow]{}.Decode(it.Value)
	fr.must(err)
	var held ident.Tokens
	holders := 0
	for _, ac := range fr.actors {
		it, ok, _ := cl.Get(fr.t.Context(), "grant/"+meals.String()+"/"+string(ac.inc))
		if !ok {
			continue
		}
		gr, err := codec.JSON[escrow.GrantRow]{}.Decode(it.Value)
		fr.must(err)
		if held += gr.Outstanding(); gr.Outstanding() > 0 {
			holders++
		}
	}
	prepaid, settled, _ := fr.reference.Balance()
	if !bu.Valid() || held != bu.Granted || holders != bu.Holders || bu.Prepaid != prepaid || bu.Settled > settled {
		return fmt.Errorf("budget %+v, held %d by %d, reference prepaid %d settled %d", bu, held, holders, prepaid, settled)
	}
	return nil
}

// finish ends all faults, closes all routers and compares the charges.
func (fr *faultRun) finish() {
	for _, ac := range fr.actors {
		ac.cl.SetDown(false)
		ac.cl.SetFaults(nil)
		for len(ac.open) > 0 {
			fr.must(fr.settle(ac))
		}
		fr.must(ac.hd.Close(fr.t.Context()))
		ac.cl.Deliver()
	}
	prepaid, settled, free := fr.reference.Balance()
	fr.want(prepaid, settled, 0, free)
}

// TestRandomFaults guards against overspend, double charges and a wrong balance
// under any mix of lost, late and throttled writes, outages of one router,
// recoveries of paused routers that resume, repeated settlements, repeated
// top-ups and release requests.
func TestRandomFaults(t *testing.T) {
	const seeds, steps = 4, 27_000
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			fr := &faultRun{fleet: newFleet(t, 3000), rng: rand.New(rand.NewPCG(seed, 7)), reference: escrow.NewReferenceLedger(3000)}
			for range 3 {
				fr.actors = append(fr.actors, fr.start())
			}
			for no := range steps {
				err := fr.step()
				if err == nil {
					err = fr.check()
				}
				if err != nil {
					t.Fatalf("seed %d step %d: %v", seed, no, err)
				}
			}
			if _, settled, _ := fr.reference.Balance(); settled < 10_000 {
				t.Errorf("seed %d: only %d tokens were settled", seed, settled)
			}
			fr.finish()
		})
	}
}
