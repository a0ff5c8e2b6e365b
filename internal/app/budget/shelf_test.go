package budget_test

import (
	"context"
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
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

const (
	shelfHold    = 2 * time.Second
	shelfSpan    = 4 * time.Second
	shelfPrepaid = 400_000
	shelfRouters = 4
	shelfSteps   = 25_000
)

// shelf opens in a time that follows the rate of use, and stays closed for
// another time while the budget is idle.
var shelf = budget.Shelf{
	Renew: 300 * time.Millisecond, Hold: shelfHold, IdleRenew: time.Second, IdleHold: shelfHold + time.Second,
	Ready: time.Second, Opening: 1.3, MinSpan: time.Second, MaxSpan: shelfSpan,
}

var shelfRef = ident.BudgetRef{Account: "desk", Budget: "prepaid"}

// vm is a VM whose router is killed and started again.
type vm struct {
	name ident.VM
	hd   *budget.Holder
	cl   *table.Client
	inc  ident.Incarnation
	open []reserved
}

type reserved struct {
	hold budget.Hold
	used ident.Tokens
}

// world runs direct routers, which hold escrow without a sidecar's evidence.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	tb    *table.Table
	began time.Time
	vms   []*vm
	// clean reaches the table without faults.
	ledger *budget.Ledger
	clean  *table.Client
	// prepaid and revision are what the configuration says.
	prepaid  ident.Tokens
	revision ident.Revision
	used     ident.Tokens
	served   int
	freed    ident.Tokens
	stated   int
	kept     []escrow.Statement
	next     int
	// owes is what each ended router has charged, its loans included.
	owes  map[ident.Incarnation]ident.Tokens
	shelf budget.Shelf
	// sure turns off the loss of answers between routers.
	sure bool
}

func newWorld(t *testing.T, seed uint64, shelf budget.Shelf) *world {
	tb := table.New()
	wo := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), tb: tb, began: time.Now(), clean: tb.Client(),
		prepaid: shelfPrepaid, revision: 1, owes: map[ident.Incarnation]ident.Tokens{}, shelf: shelf,
	}
	wo.ledger = budget.NewLedger(wo.clean, codec.Ledger())
	for no := range shelfRouters {
		wo.vms = append(wo.vms, &vm{name: ident.VM(fmt.Sprint("vm", no))})
		wo.start(wo.vms[no])
	}
	return wo
}

// storeMs is the store's clock, which runs ahead of what routers know of it.
func (wo *world) storeMs() (int64, bool) { return time.Since(wo.began).Milliseconds(), true }

func (wo *world) start(ma *vm) {
	wo.next++
	ma.inc, ma.cl, ma.open = ident.Incarnation(fmt.Sprint("r", wo.next)), wo.tb.Client(), nil
	ma.cl.SetFaults(wo.fault)
	ma.hd = budget.NewHolder(ma.inc, ma.name, "d", budget.NewLedger(ma.cl, codec.Ledger()),
		budget.WithPrepaid(func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return wo.prepaid, wo.revision, true }),
		budget.WithShelf(wo.shelf, func() (int64, bool) {
			ms, _ := wo.storeMs()
			return ms - 5, true
		}),
		budget.WithSlicer(escrow.ByUse{}),
		budget.WithCover(escrow.Cover{Seconds: 16, Low: 12, Requests: 4, LowRequests: 4, Parts: 3, Idle: 8}),
		budget.WithLenders(lenders{wo, ma}), budget.WithLook(2*time.Second), budget.WithBatch(8))
	for ma.hd.Open(context.Background()) != nil {
		time.Sleep(10 * time.Millisecond)
	}
}

func (wo *world) fault(commit bool) table.Fault {
	roll := wo.rng.IntN(100)
	switch {
	case roll < 2:
		return table.Throttled
	case roll < 4:
		return table.Down
	case commit && roll < 10:
		return []table.Fault{table.Lost, table.Dropped, table.Late}[wo.rng.IntN(3)]
	}
	return table.None
}

// lenders asks the other routers; one answer in eight is lost.
type lenders struct {
	wo  *world
	own *vm
}

func (le lenders) Borrow(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens {
	var sum ident.Tokens
	for _, ma := range le.wo.vms {
		if ma != le.own && sum < tokens {
			got := ma.hd.Lend(ctx, rf, tokens-sum, short)
			if le.wo.sure || le.wo.rng.IntN(8) > 0 {
				sum += got
			}
		}
	}
	return sum
}

func (wo *world) step() {
	ctx, ma := context.Background(), wo.vms[wo.rng.IntN(len(wo.vms))]
	switch roll := wo.rng.IntN(1000); {
	case roll < 500:
		tokens := ident.Tokens(100 + wo.rng.IntN(1000))
		ho, err := ma.hd.Reserve(ctx, shelfRef, tokens, config.WeighRefusal)
		if err == nil {
			re := reserved{hold: ho, used: ident.Tokens(wo.rng.Int64N(int64(tokens) + 1))}
			wo.served++
			// The upstream works whatever becomes of the router.
			wo.used += re.used
			ma.open = append(ma.open, re)
		}
	case roll < 650:
		for _, re := range ma.open {
			re.hold.Settle(re.used)
		}
		ma.open = nil
	case roll < 900:
		ma.hd.Flush(ctx)
	case roll < 960:
		time.Sleep(time.Duration(wo.rng.IntN(900)) * time.Millisecond)
	case roll < 970:
		ma.cl.SetDown(true)
	case roll < 985:
		ma.cl.SetDown(false)
	case roll < 990:
		ma.cl.Deliver()
	case roll < 993:
		wo.kill(ma)
	case roll < 996:
		wo.leave(ma)
	case roll < 998:
		wo.revision++
		wo.prepaid += ident.Tokens(wo.rng.IntN(4000))
	default:
		wo.apply()
	}
}

// kill ends a router without warning. Its late writes still arrive, before or
// after its successor looks.
func (wo *world) kill(ma *vm) {
	dead := ma.inc
	late := ma.cl
	wo.note(ma)
	if wo.rng.IntN(2) == 0 {
		late.Deliver()
	}
	time.Sleep(time.Duration(wo.rng.IntN(6000)) * time.Millisecond)
	got, err := wo.ledger.Reclaim(context.Background(), dead, []ident.BudgetRef{shelfRef}, wo.storeMs, meter.Nop{})
	if err == nil {
		wo.freed += got
	}
	late.Deliver()
	wo.covered()
	wo.start(ma)
}

// note records what the router of the VM has charged when it ends.
func (wo *world) note(ma *vm) {
	co := ma.hd.Counts(shelfRef)
	owes := co.Unsettled + wo.settled(ma.inc)
	for _, re := range ma.open {
		owes += re.used
	}
	// What was borrowed is used first, and the lender owes it.
	wo.owes[ma.inc] = owes - min(owes, co.Borrowed)
}

func (wo *world) grants() []budget.HolderBalance {
	ba, err := wo.ledger.Balance(context.Background(), shelfRef)
	if err != nil {
		wo.t.Fatal(err)
	}
	return ba.Holders
}

func (wo *world) settled(inc ident.Incarnation) ident.Tokens {
	for _, hb := range wo.grants() {
		if hb.Incarnation == inc {
			// A settlement whose answer was lost is still counted as unsettled.
			return min(hb.Grant.Settled, wo.known(inc))
		}
	}
	return 0
}

// known returns the settled tokens that the router itself knows of.
func (wo *world) known(inc ident.Incarnation) ident.Tokens {
	for _, ma := range wo.vms {
		if ma.inc != inc {
			continue
		}
		for _, us := range ma.hd.Statement().Used {
			co := ma.hd.Counts(shelfRef)
			return us.Tokens - co.Unsettled - co.Reserved - co.Kept
		}
	}
	return 0
}

// covered checks that the ledger sets aside what each ended router owes.
func (wo *world) covered() {
	for _, hb := range wo.grants() {
		if has := hb.Grant.Drawn - hb.Grant.Returned; has < wo.owes[hb.Incarnation] {
			wo.t.Fatalf("%s has charged %d tokens, the ledger keeps %d", hb.Incarnation, wo.owes[hb.Incarnation], has)
		}
	}
}

// leave ends a router in order; without the table it leaves a statement.
func (wo *world) leave(ma *vm) {
	for _, re := range ma.open {
		re.hold.Settle(re.used)
	}
	ma.open = nil
	wo.note(ma)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if ma.hd.Close(ctx) != nil {
		wo.stated++
		wo.kept = append(wo.kept, ma.hd.Statement())
	}
	ma.cl.Deliver()
	wo.start(ma)
}

// apply takes the statements into the ledger, some of them twice.
func (wo *world) apply() {
	for _, st := range wo.kept {
		for range 1 + wo.rng.IntN(2) {
			_ = wo.ledger.Settle(context.Background(), st, meter.Nop{})
		}
	}
	wo.kept = nil
	wo.covered()
}

func (wo *world) check(no int) {
	if wo.used > wo.prepaid {
		wo.t.Fatalf("step %d: %d tokens used of %d prepaid", no, wo.used, wo.prepaid)
	}
}

// TestShelfNeverOverspends guards against a budget that is overspent because a
// shelf was freed that its holder had used, a loan was not charged, or a
// statement left out what was used: with kills, restarts, lost and late writes,
// outages, loans with lost answers, and raised totals.
func TestShelfNeverOverspends(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wo := newWorld(t, seed, shelf)
				for no := range shelfSteps {
					wo.step()
					wo.check(no)
					if no%1000 == 999 {
						// Later steps would only see an empty budget.
						wo.revision++
						wo.prepaid += shelfPrepaid
					}
				}
				if wo.freed == 0 || wo.stated == 0 || wo.served < shelfSteps/8 {
					t.Errorf("served %d, reclaimed %d tokens, %d statements: the test shows nothing", wo.served, wo.freed, wo.stated)
				}
			})
		})
	}
}

// shelfPair returns a world of two routers without faults whose first router
// holds escrow, most of it on the shelf.
func shelfPair(t *testing.T) (*world, *vm, *vm) { return pairWith(t, shelf) }

func pairWith(t *testing.T, sh budget.Shelf) (*world, *vm, *vm) {
	wo := newWorld(t, 9, sh)
	wo.sure = true
	for _, ma := range wo.vms {
		ma.cl.SetFaults(nil)
	}
	first := wo.vms[0]
	ctx := context.Background()
	if err := first.hd.Prime(ctx, shelfRef, 20_000); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		first.hd.Flush(ctx)
		time.Sleep(time.Second)
	}
	return wo, first, wo.vms[1]
}

// TestReclaimAfterKill guards against escrow that is lost with each kill.
func TestReclaimAfterKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo, first, _ := shelfPair(t)
		held := first.hd.Counts(shelfRef)
		got, err := wo.ledger.Reclaim(t.Context(), first.inc, []ident.BudgetRef{shelfRef}, wo.storeMs, meter.Nop{})
		if err != nil || got != held.Shelf || got == 0 {
			t.Errorf("%d tokens reclaimed (%v), the shelf had %d", got, err, held.Shelf)
		}
	})
}

// TestShelfOpensLate guards against a router that uses its shelf while a
// successor may still reclaim it, and against one that never uses it.
func TestShelfOpensLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo, first, _ := shelfPair(t)
		first.cl.SetDown(true)
		first.hd.Flush(t.Context())
		all := first.hd.Counts(shelfRef)
		wo.vms[1].cl.SetDown(true)
		ask := all.Available + 1
		if _, err := first.hd.Reserve(t.Context(), shelfRef, ask, config.WeighRefusal); err == nil {
			t.Error("the shelf was used within the hold time")
		}
		time.Sleep(shelf.IdleHold + shelfSpan)
		if _, err := first.hd.Reserve(t.Context(), shelfRef, ask, config.WeighRefusal); err != nil {
			t.Errorf("the shelf was not used after the hold time: %v", err)
		}
		got, err := wo.ledger.Reclaim(t.Context(), first.inc, []ident.BudgetRef{shelfRef}, wo.storeMs, meter.Nop{})
		if err != nil || got != 0 {
			t.Errorf("%d tokens reclaimed (%v) from a shelf that was used", got, err)
		}
	})
}

// TestBorrow guards against a refusal by a router that is cut off while others
// can spare tokens or draw them.
func TestBorrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, second := shelfPair(t)
		second.cl.SetDown(true)
		second.hd.Flush(t.Context())
		granted := 0
		for range 20 {
			if _, err := second.hd.Reserve(t.Context(), shelfRef, 1000, config.WeighRefusal); err == nil {
				granted++
			}
		}
		if granted != 20 {
			t.Errorf("%d of 20 requests got tokens", granted)
		}
	})
}

// TestStatement guards against escrow that stays held after an orderly end
// without the table, and against a second effect of the same statement.
func TestStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo, first, _ := shelfPair(t)
		ho, err := first.hd.Reserve(t.Context(), shelfRef, 500, config.WeighRefusal)
		if err != nil {
			t.Fatal(err)
		}
		ho.Settle(300)
		first.cl.SetDown(true)
		if first.hd.Close(t.Context()) == nil {
			t.Fatal("closed without the table")
		}
		st := first.hd.Statement()
		for range 2 {
			if err := wo.ledger.Settle(t.Context(), st, meter.Nop{}); err != nil {
				t.Fatal(err)
			}
		}
		ba, err := wo.ledger.Balance(t.Context(), shelfRef)
		if err != nil || ba.Settled != 300 || ba.Held != 0 {
			t.Errorf("balance %+v (%v), want 300 settled and none held", ba, err)
		}
	})
}

// busy makes the router use tokens for some seconds, so that its shelf opens
// fast.
func (ma *vm) busy(t *testing.T, seconds int) {
	t.Helper()
	for range seconds * 4 {
		ho, err := ma.hd.Reserve(t.Context(), shelfRef, 4000, config.WeighRefusal)
		if err != nil {
			t.Fatal(err)
		}
		ho.Settle(4000)
		time.Sleep(250 * time.Millisecond)
		ma.hd.Flush(t.Context())
	}
}

// TestUncertainWrite guards against a router that opens its shelf by a row that
// was replaced by a later write whose answer was lost.
func TestUncertainWrite(t *testing.T) {
	for _, tc := range []struct {
		name string
		// pause lies between the last known write and the uncertain one, after
		// so many seconds of use.
		pause time.Duration
		busy  int
	}{
		{"closed for longer", time.Second, 0},
		// Without use the rate falls, and the span grows with it.
		{"opens more slowly", 1900 * time.Millisecond, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				long := shelf
				long.MaxSpan = time.Minute
				wo, first, _ := pairWith(t, long)
				first.busy(t, tc.busy)
				time.Sleep(tc.pause)
				lost := true
				first.cl.SetFaults(func(commit bool) table.Fault {
					switch {
					case !lost:
						return table.Down
					case commit:
						lost = false
						return table.Lost
					}
					return table.None
				})
				first.hd.Flush(t.Context())
				first.cl.SetDown(true)
				first.hd.Flush(t.Context())
				for range 40 {
					time.Sleep(100 * time.Millisecond)
					for {
						ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
						ho, err := first.hd.Reserve(ctx, shelfRef, 50, config.WeighRefusal)
						cancel()
						if err != nil {
							break
						}
						ho.Settle(50)
					}
					// The router dies now.
					wo.note(first)
					ms, _ := wo.storeMs()
					en := wo.entry(t, first.inc)
					nx, err := en.Reclaim(ms)
					if err != nil {
						t.Fatal(err)
					}
					if has := nx.Grant.Drawn - nx.Grant.Returned; has < wo.owes[first.inc] {
						t.Fatalf("%d tokens were used, the ledger would keep %d", wo.owes[first.inc], has)
					}
				}
			})
		})
	}
}

// entry returns the rows of a router's grant as the table has them.
func (wo *world) entry(t *testing.T, inc ident.Incarnation) escrow.Entry {
	t.Helper()
	for _, hb := range wo.grants() {
		if hb.Incarnation == inc {
			return escrow.Entry{Budget: escrow.BudgetRow{Prepaid: 1 << 40, Granted: 1 << 30}, Grant: hb.Grant}
		}
	}
	t.Fatal("no grant")
	return escrow.Entry{}
}

// TestAwaitShelf guards against refusing a request for which the shelf opens in
// time.
func TestAwaitShelf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, first, _ := shelfPair(t)
		first.busy(t, 4)
		first.cl.SetDown(true)
		first.hd.Flush(t.Context())
		all := first.hd.Counts(shelfRef)
		time.Sleep(shelfHold - 500*time.Millisecond)
		began := time.Now()
		if _, err := first.hd.Reserve(t.Context(), shelfRef, all.Available+100, config.WeighRefusal); err != nil {
			t.Errorf("refused: %v", err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("waited %s", took)
		}
	})
}

// TestLendGivenUp guards against a loan that is charged although the borrower
// no longer waits for it.
func TestLendGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, first, _ := shelfPair(t)
		first.busy(t, 2)
		before := first.hd.Counts(shelfRef)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		got := first.hd.Lend(ctx, shelfRef, 500, false)
		if after := first.hd.Counts(shelfRef); got != 0 || after.Unsettled != before.Unsettled {
			t.Errorf("%d tokens lent, %d charged", got, after.Unsettled-before.Unsettled)
		}
	})
}

// TestScarce guards against a router that keeps much at hand of a budget that
// is used up soon, and little of one that lasts.
func TestScarce(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepaid ident.Tokens
		seconds float64
	}{
		{"lasts", 10_000_000, 1},
		{"used up soon", 400_000, 0.3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sh := shelf
				sh.Scarce, sh.ScarceReady, sh.ScarceHold = 12*time.Second, 300*time.Millisecond, 2*shelfHold
				wo, first, _ := pairWith(t, sh)
				wo.prepaid, wo.revision = tc.prepaid, 2
				first.busy(t, 14)
				const rate = 16_000
				co := first.hd.Counts(shelfRef)
				if want := tc.seconds * rate; float64(co.Available) > 1.5*want+4000 || float64(co.Available) < want/2-4000 {
					t.Errorf("%d tokens at hand, want about %.0f", co.Available, want)
				}
			})
		})
	}
}

// rows returns how many grants the table has, and how many incarnations that
// have not ended.
func (wo *world) rows(t *testing.T) (grants, incarnations int) {
	t.Helper()
	all, err := wo.ledger.Incarnations(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return len(wo.grants()), len(all)
}

// TestRetire guards against rows of ended routers that pile up, against held
// escrow that is no longer shown, and against a reclaim that a kill of the
// successor ended half way.
func TestRetire(t *testing.T) {
	refs := []ident.BudgetRef{shelfRef}
	for _, tc := range []struct {
		name    string
		used    ident.Tokens
		held    bool
		noClock bool
	}{
		{"nothing held", 0, false, false},
		{"nothing held, clock known late", 0, false, true},
		{"use without settlement", 300, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wo, first, _ := shelfPair(t)
				if tc.used > 0 {
					ho, err := first.hd.Reserve(t.Context(), shelfRef, tc.used, config.WeighRefusal)
					if err != nil {
						t.Fatal(err)
					}
					ho.Settle(tc.used)
				}
				grants, incarnations := wo.rows(t)
				if tc.noClock {
					none := func() (int64, bool) { return 0, false }
					if _, err := wo.ledger.Reclaim(t.Context(), first.inc, refs, none, meter.Nop{}); err == nil {
						t.Error("reclaimed without a clock")
					}
				}
				for range 2 {
					if _, err := wo.ledger.Reclaim(t.Context(), first.inc, refs, wo.storeMs, meter.Nop{}); err != nil {
						t.Fatal(err)
					}
				}
				gone := 1
				if tc.held {
					gone = 0
				}
				gotGrants, gotIncarnations := wo.rows(t)
				if gotGrants != grants-gone || gotIncarnations != incarnations-1 {
					t.Errorf("%d of %d grants and %d of %d incarnations left", gotGrants, grants, gotIncarnations, incarnations)
				}
				st := escrow.Statement{Incarnation: first.inc, Used: []escrow.Use{{Account: "desk", Budget: "prepaid", Tokens: tc.used}}}
				if err := wo.ledger.Settle(t.Context(), st, meter.Nop{}); err != nil {
					t.Errorf("statement after the reclaim: %v", err)
				}
				ba, err := wo.ledger.Balance(t.Context(), shelfRef)
				if err != nil || ba.Settled != tc.used {
					t.Errorf("%d tokens settled (%v), want %d", ba.Settled, err, tc.used)
				}
			})
		})
	}
}
