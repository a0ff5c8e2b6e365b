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

// actor is one router with its connection to the table.
type actor struct {
	hd   *budget.Holder
	cl   *table.Client
	inc  ident.Incarnation
	used ident.Tokens
	open map[ident.Request]budget.Hold
	// done keeps finished holds for repeated settlements.
	done []budget.Hold
}

// chaos runs routers against a faulty table and a naive ledger.
type chaos struct {
	*fleet
	rng    *rand.Rand
	naive  *escrow.Naive
	actors []*actor
	// zombies were recovered while paused.
	zombies []*actor
	next    int
	writes  int64
}

func (ch *chaos) fault(commit bool) table.Fault {
	roll := ch.rng.IntN(100)
	switch {
	case roll < 2:
		return table.Throttled
	case roll < 4:
		return table.Down
	case commit && roll < 14:
		return []table.Fault{table.Lost, table.Dropped, table.Late}[ch.rng.IntN(3)]
	}
	return table.None
}

func (ch *chaos) start() *actor {
	ch.next++
	ac := &actor{inc: ident.Incarnation(fmt.Sprint("r", ch.next)), open: make(map[ident.Request]budget.Hold)}
	ac.hd, ac.cl = ch.holder(ac.inc, budget.WithBatch(4), budget.WithDrawTimeout(time.Second))
	ac.cl.SetFaults(ch.fault)
	return ac
}

func (ch *chaos) reserve(ac *actor) error {
	ch.next++
	rq, tokens := ident.Request(fmt.Sprint("q", ch.next)), ident.Tokens(ch.rng.IntN(90)+1)
	ho, err := ac.hd.Reserve(ch.t.Context(), meals, tokens, config.WeighOverspend)
	if err != nil {
		return nil
	}
	if !ch.naive.Reserve(rq, tokens) {
		return fmt.Errorf("overspend: %s reserved %d tokens that are not free", ac.inc, tokens)
	}
	ac.open[rq] = ho
	return nil
}

// settle finishes one open request, sometimes after it was kept, and repeats
// an old settlement.
func (ch *chaos) settle(ac *actor) error {
	for rq, ho := range ac.open {
		used := ident.Tokens(ch.rng.IntN(int(ho.Tokens()) + 1))
		if ch.rng.IntN(4) == 0 {
			ho.Keep()
		}
		if !ho.Settle(used) {
			return fmt.Errorf("settlement of %s had no effect", rq)
		}
		ch.naive.Settle(rq, used)
		ac.used += used
		ac.done = append(ac.done, ho)
		delete(ac.open, rq)
		break
	}
	if len(ac.done) > 0 && ac.done[ch.rng.IntN(len(ac.done))].Settle(9) {
		return fmt.Errorf("a settlement of %s took effect twice", ac.inc)
	}
	return nil
}

// kill recovers the router from the evidence of its sidecar while it is only
// paused, and starts another one in its place.
func (ch *chaos) kill(no int) error {
	ac := ch.actors[no]
	for rq, ho := range ac.open {
		ch.naive.Settle(rq, ho.Tokens())
		ac.used += ho.Tokens()
	}
	cr := escrow.ClosureRow{Used: []escrow.Use{{Account: meals.Account, Budget: meals.Budget, Tokens: ac.used}}}
	ch.must(ch.ledger.Confirm(ch.t.Context(), ac.inc, "s1", cr))
	rec, err := ch.ledger.Recover(ch.t.Context(), ac.inc, escrow.Evidence{}.WithSidecar("s1"))
	for _, re := range rec.Grants {
		if re.Uncovered > 0 {
			err = fmt.Errorf("%s used %d tokens beyond its grant", ac.inc, re.Uncovered)
		}
	}
	ch.zombies = append(ch.zombies, ac)
	ch.actors[no] = ch.start()
	return err
}

func (ch *chaos) step() error {
	no := ch.rng.IntN(len(ch.actors))
	ac := ch.actors[no]
	ch.clock.add(50 * time.Millisecond)
	switch roll := ch.rng.IntN(1000); {
	case roll < 420:
		return ch.reserve(ac)
	case roll < 880:
		return ch.settle(ac)
	case roll < 920:
		ac.hd.Flush(ch.t.Context())
	case roll < 940:
		// Whether the table answers is left to chance.
		_, _ = ac.hd.Release(ch.t.Context(), meals)
	case roll < 980:
		ac.cl.Deliver()
	case roll < 990:
		ac.cl.SetDown(ch.rng.IntN(3) == 0)
	case roll < 994:
		op, amount := ident.Op(fmt.Sprint(ch.rng.IntN(5000))), ident.Tokens(300)
		ch.must(ch.ledger.TopUp(ch.t.Context(), meals, amount, op, "op"))
		ch.naive.TopUp(op, amount)
	case roll < 996:
		return ch.kill(no)
	case len(ch.zombies) > 0:
		zo := ch.zombies[ch.rng.IntN(len(ch.zombies))]
		zo.cl.Deliver()
		for _, ho := range zo.open {
			ho.Settle(1)
		}
		zo.hd.Flush(ch.t.Context())
		_, _ = zo.hd.Release(ch.t.Context(), meals)
	}
	return nil
}

// check verifies the balance equation on the rows whenever they changed.
func (ch *chaos) check() error {
	if ch.tb.Writes() == ch.writes {
		return nil
	}
	ch.writes = ch.tb.Writes()
	cl := ch.tb.Client()
	it, _, err := cl.Get(ch.t.Context(), "budget/"+meals.String())
	ch.must(err)
	bu, err := codec.JSON[escrow.BudgetRow]{}.Decode(it.Value)
	ch.must(err)
	var held ident.Tokens
	holders := 0
	for _, ac := range ch.actors {
		it, ok, _ := cl.Get(ch.t.Context(), "grant/"+meals.String()+"/"+string(ac.inc))
		if !ok {
			continue
		}
		gr, err := codec.JSON[escrow.GrantRow]{}.Decode(it.Value)
		ch.must(err)
		if held += gr.Outstanding(); gr.Outstanding() > 0 {
			holders++
		}
	}
	prepaid, settled, _ := ch.naive.Balance()
	if !bu.Valid() || held != bu.Granted || holders != bu.Holders || bu.Prepaid != prepaid || bu.Settled > settled {
		return fmt.Errorf("budget %+v, held %d by %d, naive prepaid %d settled %d", bu, held, holders, prepaid, settled)
	}
	return nil
}

// finish heals everything, closes all routers and compares the charges.
func (ch *chaos) finish() {
	for _, ac := range ch.actors {
		ac.cl.SetDown(false)
		ac.cl.SetFaults(nil)
		for len(ac.open) > 0 {
			ch.must(ch.settle(ac))
		}
		ch.must(ac.hd.Close(ch.t.Context()))
		ac.cl.Deliver()
	}
	prepaid, settled, free := ch.naive.Balance()
	ch.want(prepaid, settled, 0, free)
}

// TestRandomFaults guards against overspend, double charges and a broken
// balance under any mix of lost, late and throttled writes, outages of one
// router, recoveries of paused routers that wake, repeated settlements,
// repeated top-ups and release requests.
func TestRandomFaults(t *testing.T) {
	const seeds, steps = 4, 27_000
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			ch := &chaos{fleet: newFleet(t, 3000), rng: rand.New(rand.NewPCG(seed, 7)), naive: escrow.NewNaive(3000)}
			for range 3 {
				ch.actors = append(ch.actors, ch.start())
			}
			for no := range steps {
				err := ch.step()
				if err == nil {
					err = ch.check()
				}
				if err != nil {
					t.Fatalf("seed %d step %d: %v", seed, no, err)
				}
			}
			if _, settled, _ := ch.naive.Balance(); settled < 10_000 {
				t.Errorf("seed %d: only %d tokens were settled", seed, settled)
			}
			ch.finish()
		})
	}
}
