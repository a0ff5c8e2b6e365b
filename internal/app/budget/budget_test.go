package budget_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/table"
)

var meals = ident.BudgetRef{Account: "sejin", Budget: "meals"}

// manualClock is a clock that a test sets.
type manualClock struct{ now atomic.Int64 }

func (mc *manualClock) Now() time.Time { return time.Unix(0, mc.now.Load()) }

func (mc *manualClock) add(d time.Duration) { mc.now.Add(int64(d)) }

func codecs() budget.Codecs {
	return budget.Codecs{
		Budget: codec.JSON[escrow.BudgetRow]{}, Grant: codec.JSON[escrow.GrantRow]{},
		TopUp: codec.JSON[escrow.TopUpRow]{}, Incarnation: codec.JSON[escrow.IncarnationRow]{},
		Closure: codec.JSON[escrow.ClosureRow]{},
	}
}

// fleet is a table with one operator connection and several holders.
type fleet struct {
	t      *testing.T
	tb     *table.Table
	ledger *budget.Ledger
	clock  *manualClock
}

func newFleet(t *testing.T, prepaid ident.Tokens) *fleet {
	t.Helper()
	tb := table.New()
	fl := &fleet{t: t, tb: tb, ledger: budget.NewLedger(tb.Client(), codecs()), clock: &manualClock{}}
	fl.clock.add(time.Hour)
	fl.must(fl.ledger.CreateBudget(t.Context(), meals))
	fl.must(fl.ledger.TopUp(t.Context(), meals, prepaid, "first", "op"))
	return fl
}

func (fl *fleet) must(err error) {
	fl.t.Helper()
	if err != nil {
		fl.t.Fatal(err)
	}
}

// holder opens a holder with its own connection to the table.
func (fl *fleet) holder(inc ident.Incarnation, opts ...budget.Option) (*budget.Holder, *table.Client) {
	fl.t.Helper()
	cl := fl.tb.Client()
	opts = append([]budget.Option{budget.WithClock(fl.clock), budget.WithRefusalTTL(0)}, opts...)
	hd := budget.NewHolder(inc, "vm", "fd1", budget.NewLedger(cl, codecs()), opts...)
	fl.must(hd.Open(fl.t.Context()))
	return hd, cl
}

func (fl *fleet) reserve(hd *budget.Holder, tokens ident.Tokens) budget.Hold {
	fl.t.Helper()
	ho, err := hd.Reserve(fl.t.Context(), meals, tokens, config.AvoidRefusal)
	fl.must(err)
	return ho
}

// want compares the balance: prepaid, settled, held, free.
func (fl *fleet) want(prepaid, settled, held, free ident.Tokens) {
	fl.t.Helper()
	ba, err := fl.ledger.Balance(fl.t.Context(), meals)
	fl.must(err)
	got := []ident.Tokens{ba.Prepaid, ba.Settled, ba.Held, ba.Free}
	if diff := cmp.Diff([]ident.Tokens{prepaid, settled, held, free}, got); diff != "" {
		fl.t.Errorf("prepaid, settled, held, free (-want +got):\n%s", diff)
	}
}

func reason(err error) refuse.Reason {
	var re *refuse.Refusal
	if errors.As(err, &re) {
		return re.Reason
	}
	return ""
}

// TestLifecycle guards against tokens that are lost between draw, settlement
// and a graceful end, and against holds that count more than once.
func TestLifecycle(t *testing.T) {
	fl := newFleet(t, 10_000)
	hd, _ := fl.holder("r1")
	ho := fl.reserve(hd, 100)
	fl.want(10_000, 0, 800, 9200)
	for _, again := range []bool{true, false} {
		if got := ho.Settle(30); got != again {
			t.Errorf("settle took effect: %v, want %v", got, again)
		}
	}
	if ho.Release() || ho.MarkUnknown() {
		t.Error("a settled hold was released or marked as unknown")
	}
	unknown := fl.reserve(hd, 50)
	if !unknown.MarkUnknown() || unknown.MarkUnknown() {
		t.Error("a hold must be marked as unknown once")
	}
	var held *budget.HeldError
	if err := hd.Close(t.Context()); !errors.As(err, &held) {
		t.Fatalf("close with an unknown hold: %v, want a HeldError", err)
	}
	fl.want(10_000, 30, 50, 9920)
	if !unknown.Settle(20) || unknown.Settle(20) {
		t.Error("an unknown hold must be settled once")
	}
	fl.must(hd.Close(t.Context()))
	fl.want(10_000, 50, 0, 9950)
	_, err := hd.Reserve(t.Context(), meals, 1, config.AvoidRefusal)
	if got := reason(err); got != refuse.Leaving {
		t.Errorf("reserve after close: %v, want %s", err, refuse.Leaving)
	}
}

// TestLostResponse guards against a write that counts twice or not at all when
// its response is lost, for each kind of write and each point of the loss.
func TestLostResponse(t *testing.T) {
	for name, fa := range map[string]table.Fault{"lost": table.ResponseLost, "dropped": table.RequestLost, "late": table.Delayed, "throttled": table.Throttled} {
		t.Run(name, func(t *testing.T) {
			fl := newFleet(t, 10_000)
			hd, cl := fl.holder("r1", budget.WithSettleBatch(1))
			cl.FailCommits(fa)
			ho := fl.reserve(hd, 100)
			cl.Deliver()
			fl.want(10_000, 0, 800, 9200)
			ho.Settle(60)
			cl.FailCommits(fa)
			hd.Flush(t.Context())
			cl.Deliver()
			hd.Flush(t.Context())
			fl.want(10_000, 60, 740, 9200)
			op := fl.tb.Client()
			op.FailCommits(fa, fa)
			fl.must(budget.NewLedger(op, codecs()).TopUp(t.Context(), meals, 500, "second", "op"))
			op.Deliver()
			fl.must(fl.ledger.TopUp(t.Context(), meals, 500, "second", "op"))
			fl.want(10_500, 60, 740, 9700)
			cl.FailCommits(fa, fa, fa)
			fl.must(hd.Close(t.Context()))
			cl.Deliver()
			fl.want(10_500, 60, 0, 10_440)
		})
	}
}

// TestOutage guards against refusals while escrow is held, against overspend
// when it runs out, and against settlements that an outage loses. It combines
// the outage with a lost response and with a partition between two holders.
func TestOutage(t *testing.T) {
	fl := newFleet(t, 1000)
	one, cl1 := fl.holder("r1")
	two, cl2 := fl.holder("r2")
	ho := fl.reserve(one, 30)
	cl1.FailCommits(table.ResponseLost)
	more := fl.reserve(one, 300)
	cl1.SetDown(true)
	ho.Settle(30)
	spent := ident.Tokens(30)
	for {
		ho, err := one.Reserve(t.Context(), meals, 10, config.AvoidRefusal)
		if err != nil {
			if got := reason(err); got != refuse.EscrowUnavailable {
				t.Errorf("short during the outage: %v, want %s", err, refuse.EscrowUnavailable)
			}
			break
		}
		ho.Settle(10)
		spent += 10
	}
	one.Flush(t.Context())
	fl.must(fl.ledger.TopUp(t.Context(), meals, 50, "during", "op"))
	other := fl.reserve(two, 100)
	cl2.SetDown(true)
	other.Settle(100)
	cl1.SetDown(false)
	cl2.SetDown(false)
	more.Settle(300)
	fl.must(one.Close(t.Context()))
	fl.must(two.Close(t.Context()))
	fl.want(1050, spent+400, 0, 650-spent)
	if spent == 30 {
		t.Error("no request was served from held escrow")
	}
}

// TestOverBudget guards against a refusal as over budget while the table has
// free tokens, and against escrow that another holder keeps while it is idle.
func TestOverBudget(t *testing.T) {
	fl := newFleet(t, 1000)
	one, _ := fl.holder("r1")
	two, _ := fl.holder("r2")
	for range 9 {
		fl.reserve(one, 25).Release()
	}
	big := fl.reserve(two, 700)
	_, err := two.Reserve(t.Context(), meals, 200, config.AvoidRefusal)
	if got := reason(err); got != refuse.OverBudget {
		t.Errorf("over budget: %v, want %s", err, refuse.OverBudget)
	}
	if re := refuse.From(err); re.RetryAt.IsZero() || re.Outcome != refuse.NotRun {
		t.Errorf("refusal %+v, want notRun with a retry time", re)
	}
	one.Flush(t.Context())
	fl.clock.add(10 * time.Second)
	one.Flush(t.Context())
	fl.reserve(two, 200)
	big.Release()
	_, err = one.Reserve(t.Context(), ident.BudgetRef{Account: "sejin", Budget: "none"}, 1, config.AvoidRefusal)
	if got := reason(err); got != refuse.OverBudget {
		t.Errorf("unknown budget: %v, want %s", err, refuse.OverBudget)
	}
}

// TestRecover guards against escrow that is freed without evidence or because
// time has passed, against a paused holder that resumes after its closure, and
// against a recovery that counts twice when its response is lost.
func TestRecover(t *testing.T) {
	fl := newFleet(t, 10_000)
	hd, _ := fl.holder("r1")
	ho := fl.reserve(hd, 100)
	fl.clock.add(365 * 24 * time.Hour)
	if _, err := fl.ledger.Recover(t.Context(), "r1", escrow.Evidence{}); !errors.Is(err, budget.ErrNoEvidence) {
		t.Errorf("recovery without evidence: %v", err)
	}
	ev := escrow.Evidence{}.WithSidecar("s1").WithSidecar("s2").WithGone("s3")
	use := []escrow.Use{{Account: "sejin", Budget: "meals", Tokens: 40}}
	fl.must(fl.ledger.ConfirmClosure(t.Context(), "r1", "s1", escrow.ClosureRow{Used: use}))
	rec, err := fl.ledger.Recover(t.Context(), "r1", ev)
	fl.must(err)
	want := budget.Recovery{Incarnation: "r1", Missing: []ident.Incarnation{"s2"},
		Grants: []budget.Recovered{{Ref: meals, Held: 800}}}
	if diff := cmp.Diff(want, rec); diff != "" {
		t.Errorf("partial evidence (-want +got):\n%s", diff)
	}
	fl.want(10_000, 0, 800, 9200)
	fl.must(fl.ledger.ConfirmClosure(t.Context(), "r1", "s2", escrow.ClosureRow{Used: use}))
	op := fl.tb.Client()
	op.FailCommits(table.ResponseLost, table.ResponseLost)
	_, err = budget.NewLedger(op, codecs()).Recover(t.Context(), "r1", ev)
	fl.must(err)
	fl.want(10_000, 80, 0, 9920)
	ho.Settle(90)
	hd.Flush(t.Context())
	fl.clock.add(2 * time.Minute)
	hd.Flush(t.Context())
	if _, err := hd.Reserve(t.Context(), meals, 1, config.AvoidRefusal); reason(err) != refuse.ClosedIncarnation {
		t.Errorf("resumed holder: %v, want %s", err, refuse.ClosedIncarnation)
	}
	fl.want(10_000, 80, 0, 9920)
}

// TestClosedFirstDraw guards against a resumed holder that opens a new grant
// after its incarnation was closed.
func TestClosedFirstDraw(t *testing.T) {
	fl := newFleet(t, 1000)
	hd, _ := fl.holder("r1")
	_, err := fl.ledger.Recover(t.Context(), "r1", escrow.Evidence{}.WithGone("s1"))
	fl.must(err)
	if _, err := hd.Reserve(t.Context(), meals, 1, config.AvoidRefusal); reason(err) != refuse.ClosedIncarnation {
		t.Errorf("resumed holder: %v, want %s", err, refuse.ClosedIncarnation)
	}
	fl.want(1000, 0, 0, 1000)
}

// TestResolve guards against an operator who resolves a grant of an open
// incarnation or charges more than it drew, and against a resolution that counts
// twice.
func TestResolve(t *testing.T) {
	fl := newFleet(t, 1000)
	hd, _ := fl.holder("r1")
	fl.reserve(hd, 100).MarkUnknown()
	if err := fl.ledger.Resolve(t.Context(), meals, "r1", 60, "op"); !errors.Is(err, budget.ErrStillOpen) {
		t.Errorf("resolve of an open incarnation: %v", err)
	}
	_, err := fl.ledger.Recover(t.Context(), "r1", escrow.Evidence{}.WithSidecar("s1"))
	fl.must(err)
	if err := fl.ledger.Resolve(t.Context(), meals, "r1", 900, "op"); !errors.Is(err, escrow.ErrExceedsOutstanding) {
		t.Errorf("resolve above the grant: %v", err)
	}
	fl.must(fl.ledger.Resolve(t.Context(), meals, "r1", 60, "op"))
	fl.must(fl.ledger.Resolve(t.Context(), meals, "r1", 60, "op"))
	fl.want(1000, 60, 0, 940)
}

// TestTopUpRace guards against a top-up that overwrites a concurrent one or that
// counts twice.
func TestTopUpRace(t *testing.T) {
	fl := newFleet(t, 1000)
	done := make(chan error)
	for _, op := range []ident.Op{"a", "b", "a", "b"} {
		go func() {
			done <- budget.NewLedger(fl.tb.Client(), codecs()).TopUp(context.Background(), meals, 100, op, "op")
		}()
	}
	for range 4 {
		fl.must(<-done)
	}
	fl.want(1200, 0, 0, 1200)
	if err := fl.ledger.TopUp(t.Context(), meals, 5, "a", "op"); !errors.Is(err, budget.ErrOpReused) {
		t.Errorf("operation id with another amount: %v", err)
	}
}
