//go:build !race

package budget_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// account is a budget that 40 routers use up.
type account struct {
	t       *testing.T
	fl      *fleet
	rng     *rand.Rand
	start   time.Time
	routers []*router
	next    int
	// served, refused and falsely count the requests, falsely those refused as over budget
	// although enough tokens for them were free or held and not used.
	served, refused, falsely atomic.Int64
	// leftAtFirst is the number of these tokens at the first refusal.
	leftAtFirst, used atomic.Int64
}

// router is a running router. Requests of a router that was killed are lost.
type router struct {
	hd   *budget.Holder
	stop context.CancelFunc
	dead atomic.Bool
}

// Borrow asks twelve random routers, as the client of the peers does.
func (ac *account) Borrow(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens {
	var sum ident.Tokens
	for _, no := range rand.Perm(len(ac.routers))[:12] {
		if sum < tokens && ctx.Err() == nil {
			time.Sleep(2 * time.Millisecond)
			sum += ac.routers[no].hd.Lend(ctx, rf, tokens-sum, short)
		}
	}
	return sum
}

func (ac *account) run(no int) {
	ac.next++
	cl := ac.fl.tb.Client()
	cl.SetPause(pausing(4 * time.Millisecond))
	hd := budget.NewHolder(ident.Incarnation(fmt.Sprint("r", ac.next)), "vm", "fd1", budget.NewLedger(cl, codec.Ledger()),
		append(append(routerOptions(), lockOptions(ac.start)...), budget.WithLenders(ac))...)
	ctx, stop := context.WithCancel(ac.t.Context())
	ac.routers[no] = &router{hd: hd, stop: stop}
	ac.fl.must(hd.Open(ctx))
	go func() { _ = hd.Run(ctx) }()
}

// restart kills all routers and starts them again two seconds later.
func (ac *account) restart() {
	for _, ro := range ac.routers {
		ro.stop()
		ro.dead.Store(true)
	}
	time.Sleep(2 * time.Second)
	now := time.Since(ac.start).Milliseconds()
	for no, ro := range ac.routers {
		_, err := ac.fl.ledger.Reclaim(ac.t.Context(), ro.hd.Incarnation(), []ident.BudgetRef{meals}, func() (int64, bool) { return now, true }, meter.Nop{})
		ac.fl.must(err)
		ac.run(no)
	}
}

// free returns the free tokens of the budget.
func (ac *account) free() ident.Tokens {
	ba, err := ac.fl.ledger.Balance(ac.t.Context(), meals)
	ac.fl.must(err)
	return ba.Free
}

// unused returns the tokens that routers hold and do not use.
func (ac *account) unused() (sum ident.Tokens) {
	for _, ro := range ac.routers {
		sum += ro.hd.Counts(meals).Unused()
	}
	return sum
}

func (ac *account) request(ro *router, tokens ident.Tokens) {
	ho, err := ro.hd.Reserve(ac.t.Context(), meals, tokens, config.AvoidRefusal)
	if ro.dead.Load() {
		return
	}
	if err != nil {
		left := ac.unused() + ac.free()
		if ac.refused.Add(1) == 1 {
			ac.leftAtFirst.Store(int64(left))
		}
		if reason(err) == refuse.OverBudget && left >= tokens {
			ac.falsely.Add(1)
		}
		return
	}
	ac.served.Add(1)
	ac.used.Add(int64(tokens) / 2)
	time.Sleep(700 * time.Millisecond)
	if !ro.dead.Load() {
		ho.Settle(tokens / 2)
	}
}

// TestBoundEnd guards against requests that are refused as over budget although 40 routers
// hold much of the budget unused, so that it is never used up, and against overspend: 24
// requests a second would use up 3.97 million tokens in 37 s, without a failure and with a
// power loss of all routers.
func TestBoundEnd(t *testing.T) {
	const prepaid, perSecond, seed = 3_970_000, 24, 3
	const maxLeft = prepaid / 25
	for _, tc := range []struct {
		name string
		loss bool
	}{{"no failure", false}, {"power loss", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ac := &account{t: t, fl: newFleet(t, prepaid), rng: rand.New(rand.NewPCG(seed, 3)), start: time.Now(), routers: make([]*router, 40)}
				for no := range ac.routers {
					ac.run(no)
				}
				var share float64
				requests := 0
				for lost := false; time.Since(ac.start) < 42*time.Second; requests++ {
					if tc.loss && !lost && time.Since(ac.start) > 8*time.Second {
						lost = true
						ac.restart()
					}
					time.Sleep(time.Duration(ac.rng.ExpFloat64() / perSecond * float64(time.Second)))
					go ac.request(ac.routers[ac.rng.IntN(len(ac.routers))], ident.Tokens(2000+ac.rng.IntN(14_000)))
					if left := prepaid - ident.Tokens(ac.used.Load()); left > 0 {
						share += float64(ac.unused()) / float64(left)
					}
				}
				time.Sleep(3 * time.Second)
				t.Logf("%d served, %d refused, %d although held by others, held and not used %.0f %% of the rest on average, %d tokens at the first refusal, %d left",
					ac.served.Load(), ac.refused.Load(), ac.falsely.Load(), 100*share/float64(requests), ac.leftAtFirst.Load(), prepaid-ac.used.Load())
				if ac.used.Load() > prepaid {
					t.Errorf("%d tokens used of %d", ac.used.Load(), prepaid)
				}
				// What killed routers had available is lost.
				if left := prepaid - ac.used.Load(); !tc.loss && left > maxLeft {
					t.Errorf("%d tokens are not used at the end, want at most %d", left, maxLeft)
				}
				for _, ro := range ac.routers {
					ro.stop()
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}
