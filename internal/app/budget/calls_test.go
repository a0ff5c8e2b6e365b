//go:build !race

package budget_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// callMeter counts calls to the table by kind.
type callMeter struct {
	meter.Nop
	mu    sync.Mutex
	kinds map[string]int64
}

func (cm *callMeter) Count(name, _, value string, n int64) {
	if name != "tableCalls" {
		return
	}
	cm.mu.Lock()
	defer cm.mu.Unlock()
	cm.kinds[value] += n
}

// TestBoundCalls guards against calls to the table that grow with the budgets of a router
// rather than with its load: 25 routers serve 17,000 requests of 24 accounts in 40 s, which
// use about half of their budgets.
func TestBoundCalls(t *testing.T) {
	const holders, budgets, day, maxPerRequest = 25, 24, 40 * time.Second, 2.0
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 1)
		var refs []ident.BudgetRef
		for no := range budgets {
			rf := ident.BudgetRef{Account: ident.Account(fmt.Sprint("account", no)), Budget: "prepaid"}
			refs = append(refs, rf)
			fl.must(fl.ledger.CreateBudget(t.Context(), rf))
			var share float64
			for top := no + 1; top <= budgets; top++ {
				share += 1 / float64(budgets*top)
			}
			fl.must(fl.ledger.TopUp(t.Context(), rf, max(1_500_000, ident.Tokens(share*2*17_000*1750)), "first", "op"))
		}
		cm := &callMeter{kinds: map[string]int64{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		var requests, refused, unlocked atomic.Int64
		var group sync.WaitGroup
		for no := range holders {
			cl := fl.tb.Client()
			cl.SetPause(pausing(4 * time.Millisecond))
			hd := budget.NewHolder(ident.NewIncarnation(), "vm", "fd1", budget.NewLedger(cl, codec.Ledger()),
				append(append(routerOptions(), lockOptions(start)...), budget.WithMeter(cm))...)
			group.Go(func() {
				fl.must(hd.Open(ctx))
				_ = hd.Run(ctx)
			})
			rng := rand.New(rand.NewPCG(uint64(no), 7))
			group.Go(func() {
				for no := 0; time.Since(start) < day; no++ {
					time.Sleep(time.Second)
					for _, rf := range refs {
						unlocked.Add(int64(hd.Counts(rf).Available) / int64(day/time.Second))
					}
				}
			})
			group.Go(func() {
				time.Sleep(time.Second)
				for time.Since(start) < day {
					time.Sleep(time.Duration(rng.ExpFloat64() * float64(58*time.Millisecond)))
					rf, tokens := refs[rng.IntN(1+rng.IntN(budgets))], ident.Tokens(500+rng.IntN(6000))
					group.Go(func() {
						ho, err := hd.Reserve(t.Context(), rf, tokens, config.AvoidRefusal)
						if requests.Add(1); err != nil {
							refused.Add(1)
							return
						}
						time.Sleep(500 * time.Millisecond)
						ho.Settle(tokens / 2)
					})
				}
			})
		}
		time.Sleep(day + time.Second)
		cancel()
		group.Wait()
		var calls int64
		for _, n := range cm.kinds {
			calls += n
		}
		perRequest := float64(calls) / float64(requests.Load())
		t.Logf("%d calls for %d requests, %.2f a request, %d refused, %d tokens unlocked on average: %v", calls, requests.Load(), perRequest, refused.Load(), unlocked.Load(), cm.kinds)
		if perRequest > maxPerRequest || refused.Load() > 0 {
			t.Errorf("%.2f calls a request, want at most %.2f, %d refused", perRequest, maxPerRequest, refused.Load())
		}
	})
}
