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
)

// TestBoundHotAccount guards against a router that runs dry of the escrow of its only
// busy account while the budget has free tokens: 308 requests a second of 9,300 tokens
// from the first moment on. While calls take 300 ms, a first draw takes two of them.
func TestBoundHotAccount(t *testing.T) {
	const perSecond, tokens = 308, 9300
	for _, tc := range []struct {
		callTime   func() time.Duration
		maxRefused int64
	}{
		{func() time.Duration { return time.Duration(4+rand.IntN(7)) * time.Millisecond }, 0},
		{func() time.Duration { return 300 * time.Millisecond }, perSecond},
	} {
		t.Run(fmt.Sprint(tc.callTime()/(100*time.Millisecond)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 1<<40)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				cl := fl.tb.Client()
				cl.SetPause(func(context.Context) error { time.Sleep(tc.callTime()); return nil })
				hd := budget.NewHolder(ident.NewIncarnation(), "vm", "fd1", budget.NewLedger(cl, codec.Ledger()), append(routerOptions(), lockOptions(time.Now())...)...)
				fl.must(hd.Open(ctx))
				var group sync.WaitGroup
				group.Go(func() { _ = hd.Run(ctx) })
				rng := rand.New(rand.NewPCG(1, 7))
				var refused, late, longest atomic.Int64
				for range 10 * perSecond {
					time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
					group.Go(func() {
						start := time.Now()
						ho, err := hd.Reserve(t.Context(), meals, tokens, config.AvoidRefusal)
						waited := time.Since(start)
						longest.Store(max(longest.Load(), int64(waited)))
						if waited > 100*time.Millisecond {
							late.Add(1)
						}
						if err != nil {
							refused.Add(1)
							return
						}
						time.Sleep(500 * time.Millisecond)
						ho.Settle(tokens / 2)
					})
				}
				cancel()
				group.Wait()
				t.Logf("%d of %d requests refused, %d waited for more than 100ms, at most %v", refused.Load(), 10*perSecond, late.Load(), time.Duration(longest.Load()))
				if refused.Load() > tc.maxRefused || late.Load() > tc.maxRefused {
					t.Errorf("%d of %d requests refused, %d waited for more than 100ms", refused.Load(), 10*perSecond, late.Load())
				}
			})
		})
	}
}
