package budget_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/table"
)

// slowCalls makes each call of a client take up to 60 ms and fail at random, until the
// router has ended.
type slowCalls struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (sc *slowCalls) intN(n int) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.rng.IntN(n)
}

func (sc *slowCalls) apply(cl *table.Client) {
	cl.SetPause(func(ctx context.Context) error { return pausing(time.Duration(sc.intN(60)) * time.Millisecond)(ctx) })
	cl.SetFaults(func(commit bool) table.Fault {
		sc.mu.Lock()
		defer sc.mu.Unlock()
		return randomFault(sc.rng, commit)
	})
}

// TestLateDrawsNeverOverspend guards against tokens that are used twice or lost because a
// draw goes on after its request has left, while other requests, passes and lease renewals
// run, calls are slow and fail, and routers are killed in the middle of a draw.
func TestLateDrawsNeverOverspend(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			lm := newLeaseModel(t, seed, 2)
			// Used up towards the end.
			lm.rev, lm.prepaid = 2, 900_000
			sc := &slowCalls{rng: rand.New(rand.NewPCG(seed, 9))}
			// A channel, on which goroutines may wait while the time passes.
			mu := make(chan struct{}, 1)
			late := 0
			stops := map[*leaseVM]context.CancelFunc{}
			begin := func(ma *leaseVM) {
				sc.apply(ma.cl)
				ctx, stop := context.WithCancel(context.Background())
				hd := ma.hd
				stops[ma] = stop
				go func() {
					for ctx.Err() == nil {
						hd.Flush(ctx)
						time.Sleep(100 * time.Millisecond)
					}
				}()
				go func() {
					for ctx.Err() == nil {
						hd.RenewLease(ctx)
						time.Sleep(timeLock.RenewInterval)
					}
				}()
			}
			for _, ma := range lm.vms {
				begin(ma)
			}
			request := func(ma *leaseVM, rf ident.BudgetRef, tokens, use ident.Tokens, limit, work time.Duration) {
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				ho, err := ma.hd.Reserve(ctx, rf, tokens, config.AvoidRefusal)
				mu <- struct{}{}
				if err != nil {
					late++
				} else if slices.Contains(lm.vms, ma) {
					// The upstream completes the work even if the router dies.
					lm.served++
					lm.used[rf] += use
				}
				<-mu
				if err == nil {
					time.Sleep(work)
					ho.Settle(use)
				}
			}
			for no := range 6000 {
				time.Sleep(time.Duration(sc.intN(20)) * time.Millisecond)
				tokens := ident.Tokens(100 + sc.intN(1500))
				ma := lm.vms[sc.intN(3)]
				go request(ma, lm.refs[sc.intN(2)], tokens, ident.Tokens(sc.intN(int(tokens)+1)),
					time.Duration(sc.intN(150))*time.Millisecond, time.Duration(sc.intN(500))*time.Millisecond)
				mu <- struct{}{}
				lm.check(no)
				if sc.intN(300) == 0 {
					no := sc.intN(3)
					dead := lm.vms[no]
					stops[dead]()
					dead.cl.SetDown(true)
					// Requests of the dead router still use the old value.
					next := *dead
					lm.vms[no] = &next
					lm.kill(&next)
					begin(&next)
				}
				<-mu
			}
			for _, stop := range stops {
				stop()
			}
			time.Sleep(10 * time.Second)
			mu <- struct{}{}
			if lm.served < 1000 || late < 100 || lm.freed == 0 {
				t.Errorf("%d served, %d refused or late, %d freed: too few for the test to prove anything", lm.served, late, lm.freed)
			}
			t.Logf("%d served, %d refused or late, %d freed, %d of late draws", lm.served, late, lm.freed, lm.late)
		})
	}
}
