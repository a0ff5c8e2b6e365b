package budget_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// leaseModel runs routers that keep the escrow of several budgets locked with one
// lease each. The use of every budget is counted apart from the ledger.
type leaseModel struct {
	t       *testing.T
	rng     *rand.Rand
	tb      *table.Table
	ledger  *budget.Ledger
	started time.Time
	refs    []ident.BudgetRef
	prepaid ident.Tokens
	rev     ident.Revision
	used    map[ident.BudgetRef]ident.Tokens
	vms     []*leaseVM
	next    int
	freed   ident.Tokens
	late    ident.Tokens
	served  int
}

// leaseHeadroom is that of the other models, limited by the time that a budget lasts.
var leaseHeadroom = escrow.Headroom{Seconds: 16, LowSeconds: 12, Requests: 4, LowRequests: 4, Parts: 3, IdleParts: 8, LeftParts: 6}

// leaseVM is a VM whose router is killed and started again.
type leaseVM struct {
	name ident.VM
	inc  ident.Incarnation
	hd   *budget.Holder
	cl   *table.Client
	// skew is how far the router's bound of the store's clock is behind, which grows
	// while the VM is suspended.
	skew int64
	open []reserved
}

// pass makes one pass over the budgets, extends the lease, and waits for the next
// pass.
func (ma *leaseVM) pass(t *testing.T) {
	t.Helper()
	ma.hd.Flush(t.Context())
	ma.hd.RenewLease(t.Context())
	time.Sleep(timeLock.RenewInterval)
}

func newLeaseModel(t *testing.T, seed uint64, budgets int) *leaseModel {
	lm := &leaseModel{
		t: t, rng: rand.New(rand.NewPCG(seed, 4)), tb: table.New(), started: time.Now(), prepaid: 300_000, rev: 1,
		used: map[ident.BudgetRef]ident.Tokens{},
	}
	lm.ledger = budget.NewLedger(lm.tb.Client(), codec.Ledger())
	for no := range budgets {
		lm.refs = append(lm.refs, ident.BudgetRef{Account: ident.Account(fmt.Sprint("desk", no)), Budget: "prepaid"})
	}
	for no := range 3 {
		lm.vms = append(lm.vms, &leaseVM{name: ident.VM(fmt.Sprint("vm", no))})
		lm.start(lm.vms[no])
	}
	return lm
}

func (lm *leaseModel) storeMs() int64 { return time.Since(lm.started).Milliseconds() + 1 }

func (lm *leaseModel) start(ma *leaseVM) {
	lm.next++
	ma.inc, ma.cl, ma.open, ma.skew = ident.Incarnation(fmt.Sprint("r", lm.next)), lm.tb.Client(), nil, 0
	ma.cl.SetFaults(func(commit bool) table.Fault { return randomFault(lm.rng, commit) })
	ma.hd = budget.NewHolder(ma.inc, ma.name, "d", budget.NewLedger(ma.cl, codec.Ledger()),
		budget.WithPrepaid(func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return lm.prepaid, lm.rev, true }),
		budget.WithTimeLock(timeLock, func() (int64, bool) { return lm.storeMs() - 5 - ma.skew, true }),
		budget.WithGrantSizer(escrow.ByUse{}), budget.WithSharedLock(), budget.WithUncheckedDraws(), budget.WithAveragedUse(),
		// One at a time, so that the sequence of faults repeats.
		budget.WithFlushParallelism(1),
		budget.WithHeadroom(leaseHeadroom),
		budget.WithReadInterval(2*time.Second), budget.WithSettleBatch(8))
	for ma.hd.Open(context.Background()) != nil {
		time.Sleep(10 * time.Millisecond)
	}
}

func (lm *leaseModel) step() {
	ctx, ma := context.Background(), lm.vms[lm.rng.IntN(len(lm.vms))]
	switch roll := lm.rng.IntN(1000); {
	case roll < 450:
		rf, tokens := lm.refs[lm.rng.IntN(len(lm.refs))], ident.Tokens(100+lm.rng.IntN(1500))
		ho, err := ma.hd.Reserve(ctx, rf, tokens, config.AvoidRefusal)
		if err == nil {
			use := ident.Tokens(lm.rng.Int64N(int64(tokens) + 1))
			lm.served++
			// The upstream completes the work even if the router dies.
			lm.used[rf] += use
			ma.open = append(ma.open, reserved{hold: ho, used: use})
		}
	case roll < 600:
		for _, re := range ma.open {
			re.hold.Settle(re.used)
		}
		ma.open = nil
	case roll < 740:
		ma.hd.Flush(ctx)
	case roll < 880:
		ma.hd.RenewLease(ctx)
	case roll < 955:
		time.Sleep(time.Duration(lm.rng.IntN(700)) * time.Millisecond)
	case roll < 962:
		ma.cl.SetDown(true)
	case roll < 980:
		ma.cl.SetDown(false)
	case roll < 986:
		ma.cl.Deliver()
	case roll < 990:
		// A suspended VM does not count the time.
		pause := time.Duration(lm.rng.IntN(4000)) * time.Millisecond
		time.Sleep(pause)
		ma.skew += pause.Milliseconds()
	case roll < 994:
		ma.skew = 0
	default:
		lm.kill(ma)
	}
}

// kill ends a router without warning and reclaims its escrow some time later. Its
// delayed writes take effect before, in between or afterwards.
func (lm *leaseModel) kill(ma *leaseVM) {
	deliver := lm.rng.IntN(3)
	if deliver == 0 {
		ma.cl.Deliver()
	}
	time.Sleep(time.Duration(lm.rng.IntN(6000)) * time.Millisecond)
	dead := lm.storeMs()
	got, err := lm.ledger.Reclaim(context.Background(), ma.inc, lm.refs, func() (int64, bool) { return dead, true }, meter.Nop{})
	if err == nil {
		lm.freed += got
	}
	ma.cl.Deliver()
	if err == nil {
		late, err := lm.ledger.ReclaimLate(context.Background(), ma.inc, lm.refs)
		if err != nil {
			lm.t.Fatal(err)
		}
		lm.late += late
	}
	lm.start(ma)
}

func (lm *leaseModel) check(no int) {
	for _, rf := range lm.refs {
		if lm.used[rf] > lm.prepaid {
			lm.t.Fatalf("step %d: %d tokens of %s used of %d prepaid", no, lm.used[rf], rf, lm.prepaid)
		}
		if no%100 > 0 {
			continue
		}
		ba, err := lm.ledger.Balance(context.Background(), rf)
		if err != nil {
			continue
		}
		if covered := ba.Settled + ba.Held; covered < lm.used[rf] {
			lm.t.Fatalf("step %d: %d tokens of %s used, the ledger covers %d", no, lm.used[rf], rf, covered)
		}
	}
}

// TestLeaseNeverOverspends guards against tokens that are reclaimed under the lease
// of a dead router although it had used them: because the lease was extended
// between unlocking tokens of one budget and recording that, or because a write of
// the lease or of a grant took effect late. Kills, suspended VMs, lost and late
// writes and outages occur at random, in 100,000 steps.
func TestLeaseNeverOverspends(t *testing.T) {
	for _, tc := range []struct {
		seed    uint64
		budgets int
	}{{1, 1}, {2, 3}, {3, 3}, {4, 8}} {
		t.Run(fmt.Sprintf("seed %d, %d budgets", tc.seed, tc.budgets), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lm := newLeaseModel(t, tc.seed, tc.budgets)
				for no := range 25_000 {
					lm.step()
					lm.check(no)
					if no%1000 == 999 {
						// Otherwise later steps would only see exhausted budgets.
						lm.rev++
						lm.prepaid += 300_000
					}
				}
				if lm.freed == 0 || lm.served < 5000 {
					t.Errorf("%d requests served, %d tokens reclaimed: too few for the test to prove anything", lm.served, lm.freed)
				}
				t.Logf("%d served, %d tokens reclaimed, %d of late draws", lm.served, lm.freed, lm.late)
			})
		})
	}
}

// TestLeaseWrites guards against writes that grow with the budgets of a router
// while nothing changes but the time, and against more than one write in the interval for
// idle budgets: 40 passes take 12 s, and the first one after a second is the fourth.
func TestLeaseWrites(t *testing.T) {
	var got []int64
	for _, budgets := range []int{1, 8, 24} {
		synctest.Test(t, func(t *testing.T) {
			lm := newLeaseModel(t, 5, budgets)
			ma := lm.vms[0]
			ma.cl.SetFaults(nil)
			for _, rf := range lm.refs {
				if err := ma.hd.Prime(t.Context(), rf, 2000); err != nil {
					t.Fatal(err)
				}
			}
			for range 40 {
				ma.pass(t)
			}
			before := lm.tb.Writes()
			for range 40 {
				ma.pass(t)
			}
			got = append(got, lm.tb.Writes()-before)
		})
	}
	if diff := cmp.Diff([]int64{10, 10, 10}, got); diff != "" {
		t.Errorf("writes in 40 passes with 1, 8 and 24 budgets (-want +got):\n%s", diff)
	}
}

// TestReclaimUnderLease guards against locked escrow that is lost with a killed
// router although its lease had kept it locked.
func TestReclaimUnderLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := newLeaseModel(t, 6, 4)
		ma := lm.vms[0]
		ma.cl.SetFaults(nil)
		var locked ident.Tokens
		for _, rf := range lm.refs {
			if err := ma.hd.Prime(t.Context(), rf, 2000); err != nil {
				t.Fatal(err)
			}
		}
		for range 60 {
			ma.pass(t)
		}
		for _, rf := range lm.refs {
			locked += ma.hd.Counts(rf).Locked
		}
		dead := lm.storeMs()
		got, err := lm.ledger.Reclaim(t.Context(), ma.inc, lm.refs, func() (int64, bool) { return dead, true }, meter.Nop{})
		if err != nil || got != locked || got == 0 {
			t.Errorf("%d tokens reclaimed (%v), %d were locked", got, err, locked)
		}
	})
}

// TestReclaimLate guards against escrow that stays held because the first draw of a
// dead router takes effect after its rows were removed.
func TestReclaimLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := newLeaseModel(t, 7, 2)
		ma := lm.vms[0]
		ma.cl.SetFaults(func(commit bool) table.Fault {
			if commit {
				return table.Delayed
			}
			return table.None
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if ma.hd.Prime(ctx, lm.refs[0], 2000) == nil {
			t.Fatal("the draw was not delayed")
		}
		dead := lm.storeMs()
		if _, err := lm.ledger.Reclaim(t.Context(), ma.inc, lm.refs, func() (int64, bool) { return dead, true }, meter.Nop{}); err != nil {
			t.Fatal(err)
		}
		ma.cl.Deliver()
		before, err := lm.ledger.Balance(t.Context(), lm.refs[0])
		if err != nil || before.Held == 0 {
			t.Fatalf("balance %+v (%v), want the tokens of the late draw held", before, err)
		}
		got, err := lm.ledger.ReclaimLate(t.Context(), ma.inc, lm.refs)
		if err != nil || got != before.Held {
			t.Errorf("%d tokens reclaimed (%v), %d were held", got, err, before.Held)
		}
		after, err := lm.ledger.Balance(t.Context(), lm.refs[0])
		if err != nil || after.Held != 0 || len(after.Holders) != 0 {
			t.Errorf("balance %+v (%v), want nothing held", after, err)
		}
	})
}

// TestLeaseAfterExpiry guards against a lease that is extended after tokens were
// unlocked by expiry and before the grant row shows that: a successor would take
// the tokens that were used for locked ones.
func TestLeaseAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := newLeaseModel(t, 8, 1)
		ma, rf := lm.vms[0], lm.refs[0]
		ma.cl.SetFaults(nil)
		if err := ma.hd.Prime(t.Context(), rf, 2000); err != nil {
			t.Fatal(err)
		}
		for range 10 {
			ma.pass(t)
		}
		ma.cl.SetDown(true)
		ma.hd.Flush(t.Context())
		time.Sleep(timeLock.IdleLockTime + maxUnlockSpan/2)
		var used ident.Tokens
		for {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			ho, err := ma.hd.Reserve(ctx, rf, 500, config.AvoidRefusal)
			cancel()
			if err != nil {
				break
			}
			ho.Settle(500)
			used += 500
		}
		ma.cl.SetDown(false)
		// The lease is renewed whenever the pass is about to make a call, and all
		// commits of the pass fail.
		renewing := false
		ma.cl.SetPause(func(ctx context.Context) error {
			if !renewing {
				renewing = true
				ma.hd.RenewLease(ctx)
				renewing = false
			}
			return nil
		})
		ma.cl.SetFaults(func(commit bool) table.Fault {
			if commit && !renewing {
				return table.Down
			}
			return table.None
		})
		ma.hd.Flush(t.Context())
		ma.cl.SetPause(nil)
		dead := lm.storeMs()
		if _, err := lm.ledger.Reclaim(t.Context(), ma.inc, lm.refs, func() (int64, bool) { return dead, true }, meter.Nop{}); err != nil {
			t.Fatal(err)
		}
		ba, err := lm.ledger.Balance(t.Context(), rf)
		if covered := ba.Settled + ba.Held; err != nil || used == 0 || covered < used {
			t.Errorf("%d tokens used, the ledger covers %d (%v)", used, covered, err)
		}
	})
}
