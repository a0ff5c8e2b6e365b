//go:build !race

package budget_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// TestBoundScarceBudget guards against calls to the table that grow with the
// number of routers while a budget has few free tokens: with 44 routers, polling
// its row made most settlements of the others fail. The bound is 25 reads and 25
// settlements a second for all routers together, and three calls for each of the
// 10 requests a second.
func TestBoundScarceBudget(t *testing.T) {
	const maxCallsPerSecond = 80
	for _, holders := range []int{10, 44, 103} {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, ident.Tokens(holders)*14_000)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var calls, requests atomic.Int64
			var group sync.WaitGroup
			for no := range holders {
				hd, cl := fl.holder(ident.NewIncarnation(), routerOptions()...)
				cl.SetPause(func(context.Context) error {
					calls.Add(1)
					time.Sleep(4 * time.Millisecond)
					return nil
				})
				group.Go(func() { _ = hd.Run(ctx) })
				rng := rand.New(rand.NewPCG(uint64(no), 5))
				group.Go(func() {
					for ctx.Err() == nil {
						time.Sleep(time.Duration(rng.ExpFloat64() * float64(holders) / 10 * float64(time.Second)))
						ho, err := hd.Reserve(t.Context(), meals, 2000, config.AvoidRefusal)
						if requests.Add(1); err == nil {
							ho.Settle(100)
						}
					}
				})
			}
			time.Sleep(5 * time.Second)
			before := calls.Load()
			const span = 20 * time.Second
			time.Sleep(span)
			perSecond := float64(calls.Load()-before) / span.Seconds()
			t.Logf("%d holders: %.0f calls a second, %d requests", holders, perSecond, requests.Load())
			if perSecond > maxCallsPerSecond {
				t.Errorf("%d holders make %.0f calls a second for one budget, want at most %d", holders, perSecond, maxCallsPerSecond)
			}
			cancel()
			group.Wait()
		})
	}
}
