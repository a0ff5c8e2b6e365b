//go:build !race

package budget_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// partitionedTable is a table whose partitions each run one transaction after the
// other, as the users' store does. Rows of an account share a partition, the rows
// of incarnations share one, and each lease has its own.
type partitionedTable struct {
	store.Table
	partitions *partitions
}

// partitions holds the lock of each partition.
type partitions struct {
	mu    sync.Mutex
	locks map[string]chan struct{}
}

const (
	transactionTime = 3 * time.Millisecond
	readTime        = 4 * time.Millisecond
)

func (pt partitionedTable) Get(ctx context.Context, key string) (store.Item, bool, error) {
	time.Sleep(readTime)
	return pt.Table.Get(ctx, key)
}

// Commit occupies all partitions of the writes, for twice the time if there are
// several.
func (pt partitionedTable) Commit(ctx context.Context, writes ...store.Write) error {
	var names []string
	for _, wr := range writes {
		part := strings.SplitN(wr.Key, "/", 3)
		name := part[0]
		if name != "incarnation" {
			name = part[1]
		}
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		lock := pt.partitions.lock(name)
		lock <- struct{}{}
		defer func() { <-lock }()
	}
	time.Sleep(transactionTime * time.Duration(min(2, len(names))))
	return pt.Table.Commit(ctx, writes...)
}

// lock returns the lock of a partition. It is a channel, on which a goroutine of a
// test with virtual time may wait.
func (pa *partitions) lock(name string) chan struct{} {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if pa.locks[name] == nil {
		pa.locks[name] = make(chan struct{}, 1)
	}
	return pa.locks[name]
}

// TestBoundEscrowWait guards against requests that wait for the escrow of other
// budgets, for conflicts of other routers, or for a partition that all routers
// share: 44 routers use 24 budgets from the same moment on. The first event is due
// after 600 ms; a tenth of that may be spent on escrow by nine requests in ten.
func TestBoundEscrowWait(t *testing.T) {
	const holders, budgets, due = 44, 24, 600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 1)
		pa := &partitions{locks: map[string]chan struct{}{}}
		var refs []ident.BudgetRef
		for no := range budgets {
			rf := ident.BudgetRef{Account: ident.Account(fmt.Sprint("account", no)), Budget: "prepaid"}
			refs = append(refs, rf)
			fl.must(fl.ledger.CreateBudget(t.Context(), rf))
			fl.must(fl.ledger.TopUp(t.Context(), rf, 1_500_000, "first", "op"))
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		var requests, waited atomic.Int64
		var group sync.WaitGroup
		for no := range holders {
			ledger := budget.NewLedger(partitionedTable{fl.tb.Client(), pa}, codec.Ledger())
			hd := budget.NewHolder(ident.NewIncarnation(), "vm", "fd1", ledger, append(routerOptions(), lockOptions(start)...)...)
			group.Go(func() {
				fl.must(hd.Open(ctx))
				_ = hd.Run(ctx)
			})
			rng := rand.New(rand.NewPCG(uint64(no), 7))
			group.Go(func() {
				time.Sleep(time.Second)
				for ctx.Err() == nil {
					time.Sleep(time.Duration(rng.ExpFloat64() * float64(75*time.Millisecond)))
					rf, tokens := refs[rng.IntN(1+rng.IntN(budgets))], ident.Tokens(500+rng.IntN(6000))
					group.Go(func() {
						asked := time.Now()
						ho, err := hd.Reserve(t.Context(), rf, tokens, config.AvoidRefusal)
						if requests.Add(1); time.Since(asked) > due/10 {
							waited.Add(1)
						}
						if err == nil {
							time.Sleep(500 * time.Millisecond)
							ho.Settle(tokens / 2)
						}
					})
				}
			})
		}
		time.Sleep(7 * time.Second)
		cancel()
		group.Wait()
		t.Logf("%d of %d requests waited for more than %v", waited.Load(), requests.Load(), due/10)
		if waited.Load()*10 > requests.Load() {
			t.Errorf("%d of %d requests waited for more than %v", waited.Load(), requests.Load(), due/10)
		}
	})
}

// routerOptions returns the options of a direct router, but for its time lock.
func routerOptions() []budget.Option {
	return []budget.Option{
		budget.WithClock(clock.System{}), budget.WithFlushInterval(200 * time.Millisecond), budget.WithReadInterval(2 * time.Second),
		budget.WithGrantSizer(escrow.ByUse{}), budget.WithFlushParallelism(8), budget.WithUncheckedDraws(), budget.WithAveragedUse(),
		budget.WithHeadroom(escrow.Headroom{Seconds: 16, LowSeconds: 10, Requests: 4, LowRequests: 1, Parts: 2, IdleParts: 8, LeftParts: 6}),
	}
}

// lockOptions returns the options for the time lock of a direct router, whose store
// started its clock at the time start.
func lockOptions(start time.Time) []budget.Option {
	return []budget.Option{
		budget.WithTimeLock(budget.TimeLock{
			RenewInterval: 400 * time.Millisecond, LockTime: time.Second, IdleRenewInterval: time.Second, IdleLockTime: 2500 * time.Millisecond,
			AvailableFor: time.Second, ScarceBelow: 12 * time.Second, ScarceLockTime: 2200 * time.Millisecond, ScarceAvailableFor: 300 * time.Millisecond,
			UnlockFactor: 1.3, MinUnlockSpan: 2 * time.Second, MaxUnlockSpan: 30 * time.Second,
		}, func() (int64, bool) { return time.Since(start).Milliseconds() + 1, true }),
		budget.WithSharedLock(),
	}
}
