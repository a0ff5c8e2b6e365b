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

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/clock"
)

// traffic counts requests, refusals and table writes in the first and second half
// of a load.
type traffic struct{ requests, refused, writes [2]int64 }

// load runs holders that all use one budget through a table that takes 5 ms
// for each call.
func load(t *testing.T, holders int, half time.Duration) (tr traffic) {
	fl := newFleet(t, 1<<40)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var requests, refused atomic.Int64
	var group sync.WaitGroup
	var hds []*budget.Holder
	for no := range holders {
		hd, cl := fl.holder(ident.NewIncarnation(), budget.WithClock(clock.System{}))
		hds = append(hds, hd)
		cl.SetPause(func(context.Context) error {
			time.Sleep(5 * time.Millisecond)
			return nil
		})
		group.Go(func() { _ = hd.Run(ctx) })
		rng := rand.New(rand.NewPCG(uint64(no), 3))
		group.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(200*time.Millisecond)))
				ho, err := hd.Reserve(t.Context(), meals, 700, config.AvoidRefusal)
				if requests.Add(1); err != nil {
					refused.Add(1)
					continue
				}
				ho.Settle(300)
			}
		})
	}
	for no := range 2 {
		rq, rf, wr := requests.Load(), refused.Load(), fl.tb.Writes()
		time.Sleep(half)
		tr.requests[no], tr.refused[no], tr.writes[no] = requests.Load()-rq, refused.Load()-rf, fl.tb.Writes()-wr
	}
	cancel()
	group.Wait()
	for _, hd := range hds {
		fl.must(hd.Close(t.Context()))
	}
	used := 300 * ident.Tokens(requests.Load()-refused.Load())
	fl.want(1<<40, used, 0, 1<<40-used)
	return tr
}

// TestBoundContention guards against conflicts on the row of one budget that
// cost more than a tenth of a write per request, failed writes included, or that
// cause refusals: none in a steady state, and less than 1 in 200 while all
// holders draw their first grants at the same moment.
func TestBoundContention(t *testing.T) {
	for _, holders := range []int{3, 30, 380} {
		synctest.Test(t, func(t *testing.T) {
			tr := load(t, holders, 90*time.Second)
			t.Logf("%d holders: %+v", holders, tr)
			if tr.writes[1]*10 >= tr.requests[1] || tr.refused[1] > 0 || tr.refused[0]*200 >= tr.requests[0] {
				t.Errorf("%d holders: %+v", holders, tr)
			}
		})
	}
}
