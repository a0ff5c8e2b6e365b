package escrow_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// TestTransitions guards against a transition that creates or destroys tokens
// or lets a part of the balance become negative.
func TestTransitions(t *testing.T) {
	base := escrow.Entry{
		Budget: escrow.BudgetRow{Prepaid: 100, Settled: 10, Granted: 30, Holders: 1},
		Grant:  escrow.GrantRow{Drawn: 40, Settled: 10},
	}
	closed := base
	closed.Grant.Closed = true
	tests := []struct {
		name  string
		start escrow.Entry
		apply func(escrow.Entry) (escrow.Entry, error)
		want  escrow.Entry
		err   error
	}{
		{"draw", base, func(en escrow.Entry) (escrow.Entry, error) { return en.Draw(60) }, escrow.Entry{
			Budget: escrow.BudgetRow{Prepaid: 100, Settled: 10, Granted: 90, Holders: 1},
			Grant:  escrow.GrantRow{Drawn: 100, Settled: 10}}, nil},
		{"draw too much", base, func(en escrow.Entry) (escrow.Entry, error) { return en.Draw(61) }, base, escrow.ErrInsufficient},
		{"draw closed", closed, func(en escrow.Entry) (escrow.Entry, error) { return en.Draw(1) }, closed, escrow.ErrClosed},
		{"draw nothing", base, func(en escrow.Entry) (escrow.Entry, error) { return en.Draw(0) }, base, escrow.ErrInvalidAmount},
		{"settle", base, func(en escrow.Entry) (escrow.Entry, error) { return en.Settle(30) }, escrow.Entry{
			Budget: escrow.BudgetRow{Prepaid: 100, Settled: 40},
			Grant:  escrow.GrantRow{Drawn: 40, Settled: 40}}, nil},
		{"settle too much", base, func(en escrow.Entry) (escrow.Entry, error) { return en.Settle(31) }, base, escrow.ErrExceedsOutstanding},
		{"return", base, func(en escrow.Entry) (escrow.Entry, error) { return en.Return(5) }, escrow.Entry{
			Budget: escrow.BudgetRow{Prepaid: 100, Settled: 10, Granted: 25, Holders: 1},
			Grant:  escrow.GrantRow{Drawn: 40, Settled: 10, Returned: 5}}, nil},
		{"return negative", base, func(en escrow.Entry) (escrow.Entry, error) { return en.Return(-1) }, base, escrow.ErrInvalidAmount},
		{"close held", base, func(en escrow.Entry) (escrow.Entry, error) { return en.Close() }, base, escrow.ErrExceedsOutstanding},
		{"recover", base, func(en escrow.Entry) (escrow.Entry, error) {
			nx, _, err := en.Recover(25)
			return nx, err
		}, escrow.Entry{
			Budget: escrow.BudgetRow{Prepaid: 100, Settled: 25},
			Grant:  escrow.GrantRow{Drawn: 40, Settled: 25, Returned: 15, Closed: true}}, nil},
		{"resolve above drawn", base, func(en escrow.Entry) (escrow.Entry, error) { return en.Resolve(41, "op") }, base, escrow.ErrExceedsOutstanding},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := tt.apply(tt.start)
			if !errors.Is(err, tt.err) {
				t.Errorf("error %v, want %v", err, tt.err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("rows (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdaptiveShrinks guards against grants that are too large near the end of
// a budget, so that its last tokens are held by idle holders, and against an
// account's preference without effect.
func TestAdaptiveShrinks(t *testing.T) {
	gs := escrow.Bounded[escrow.Adaptive]{}
	tests := []struct {
		name string
		de   escrow.Demand
		want ident.Tokens
	}{
		{"share", escrow.Demand{Free: 24_000, Holders: 3, Want: 100, Rate: 1e6, Headroom: escrow.HeadroomFor(config.AvoidRefusal)}, 2000},
		{"smaller share in advance", escrow.Demand{Free: 24_000, Holders: 3, Want: 100, Rate: 1e6, Headroom: escrow.HeadroomFor(config.AvoidOverspend)}, 500},
		{"limited by the expected use", escrow.Demand{Free: 24_000, Holders: 1, Want: 10, Rate: 1, Headroom: escrow.HeadroomFor(config.AvoidRefusal)}, 90},
		{"limited by what is available", escrow.Demand{Free: 24_000, Holders: 1, Want: 10, Available: 30, Prefetch: true, Headroom: escrow.HeadroomFor("")}, 50},
		{"single request", escrow.Demand{Free: 1000, Holders: 3, Want: 100, Headroom: escrow.HeadroomFor("")}, 100},
		{"nothing in advance", escrow.Demand{Free: 1000, Holders: 3, Want: 100, Prefetch: true, Headroom: escrow.HeadroomFor("")}, 0},
		{"does not fit", escrow.Demand{Free: 99, Holders: 3, Want: 100, Headroom: escrow.HeadroomFor("")}, 0},
	}
	for _, tt := range tests {
		if got := gs.GrantSize(tt.de); got != tt.want {
			t.Errorf("%s: drew %d, want %d", tt.name, got, tt.want)
		}
	}
}

// model is one budget, its holders, and the reference ledger that they must
// agree with.
type model struct {
	budget    escrow.BudgetRow
	grants    []escrow.GrantRow
	pools     []*escrow.Pool
	reference *escrow.ReferenceLedger
	open      map[ident.Request]hold
	used      []ident.Tokens
	next      int
}

// hold is an open reservation.
type hold struct {
	holder int
	tokens ident.Tokens
}

func (mo *model) change(no int, apply func(escrow.Entry) (escrow.Entry, error)) error {
	nx, err := apply(escrow.Entry{Budget: mo.budget, Grant: mo.grants[no]})
	if err == nil {
		mo.budget, mo.grants[no] = nx.Budget, nx.Grant
	}
	return err
}

func (mo *model) step(rng *rand.Rand) error {
	no := rng.IntN(len(mo.grants))
	po := mo.pools[no]
	switch rng.IntN(8) {
	case 0:
		amount := ident.Tokens(rng.IntN(200) + 1)
		if mo.change(no, func(en escrow.Entry) (escrow.Entry, error) { return en.Draw(amount) }) == nil {
			po.Credit(amount)
		}
	case 1, 2, 3:
		rq, tokens := ident.Request(fmt.Sprint(mo.next)), ident.Tokens(rng.IntN(60))
		mo.next++
		if po.Reserve(tokens) {
			if !mo.reference.Reserve(rq, tokens) {
				return fmt.Errorf("overspend: holder %d reserved %d tokens that are not free", no, tokens)
			}
			mo.open[rq] = hold{no, tokens}
		}
	case 4, 5:
		for rq, ho := range mo.open {
			used := min(ho.tokens, ident.Tokens(rng.IntN(60)))
			mo.used[ho.holder] += mo.pools[ho.holder].Settle(ho.tokens, used)
			mo.reference.Settle(rq, used)
			delete(mo.open, rq)
			break
		}
	case 6:
		po.Withdraw(ident.Tokens(rng.IntN(50)))
		co := po.Counts()
		err := mo.change(no, func(en escrow.Entry) (escrow.Entry, error) {
			en, err := en.Settle(co.Unsettled)
			if err != nil {
				return en, err
			}
			return en.Return(co.Returning)
		})
		if err != nil {
			return err
		}
		po.Confirm(co.Unsettled, co.Returning)
	case 7:
		if rng.IntN(40) == 0 {
			op, amount := ident.Op(fmt.Sprint(rng.IntN(1000))), ident.Tokens(500)
			before, _, _ := mo.reference.Balance()
			mo.reference.TopUp(op, amount)
			if after, _, _ := mo.reference.Balance(); after != before {
				mo.budget, _ = mo.budget.TopUp(amount)
			}
		}
	}
	return mo.check()
}

func (mo *model) check() error {
	var held ident.Tokens
	holders := 0
	for no, gr := range mo.grants {
		if sum := mo.pools[no].Counts().Sum(); sum != gr.Outstanding() {
			return fmt.Errorf("holder %d: pool %d, outstanding %d", no, sum, gr.Outstanding())
		}
		if held += gr.Outstanding(); gr.Outstanding() > 0 {
			holders++
		}
	}
	if !mo.budget.Valid() || held != mo.budget.Granted || holders != mo.budget.Holders {
		return fmt.Errorf("budget %+v, held %d by %d", mo.budget, held, holders)
	}
	prepaid, settled, _ := mo.reference.Balance()
	if prepaid != mo.budget.Prepaid || mo.budget.Settled > settled {
		return fmt.Errorf("budget %+v, reference prepaid %d settled %d", mo.budget, prepaid, settled)
	}
	return nil
}

// TestRandomAgainstReference guards against overspend and double charges in any
// order of operations: after every step the balance equation holds and the
// reference ledger agrees; at the end all charges are equal.
func TestRandomAgainstReference(t *testing.T) {
	const seeds, steps, holders = 4, 30_000, 4
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		mo := &model{reference: escrow.NewReferenceLedger(5000), open: make(map[ident.Request]hold),
			budget: escrow.BudgetRow{Prepaid: 5000}, grants: make([]escrow.GrantRow, holders),
			used: make([]ident.Tokens, holders)}
		for range holders {
			mo.pools = append(mo.pools, new(escrow.Pool))
		}
		for no := range steps {
			if err := mo.step(rng); err != nil {
				t.Fatalf("seed %d step %d: %v", seed, no, err)
			}
		}
		for rq, ho := range mo.open {
			mo.used[ho.holder] += ho.tokens
			mo.reference.Settle(rq, ho.tokens)
		}
		for no := range mo.grants {
			err := mo.change(no, func(en escrow.Entry) (escrow.Entry, error) {
				nx, uncovered, err := en.Recover(mo.used[no])
				if uncovered != 0 {
					t.Errorf("seed %d holder %d: %d uncovered", seed, no, uncovered)
				}
				return nx, err
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		_, settled, free := mo.reference.Balance()
		if mo.budget.Settled != settled || mo.budget.Free() != free || mo.budget.Granted != 0 {
			t.Errorf("seed %d: budget %+v, reference settled %d free %d", seed, mo.budget, settled, free)
		}
	}
}

// TestWithTimeLeft guards against escrow in advance for longer than a part of the time
// that the budget lasts, and against less than one request.
func TestWithTimeLeft(t *testing.T) {
	he := escrow.Headroom{Seconds: 16, LowSeconds: 10, Requests: 4, LowRequests: 1, LeftParts: 4}
	for _, tc := range []struct {
		left time.Duration
		want escrow.Headroom
	}{
		{64 * time.Second, he},
		{32 * time.Second, escrow.Headroom{Seconds: 8, LowSeconds: 5, Requests: 2, LowRequests: 1, LeftParts: 4}},
		{0, escrow.Headroom{LowRequests: 1, Requests: 1, LeftParts: 4}},
	} {
		if diff := cmp.Diff(tc.want, he.WithTimeLeft(tc.left), cmpopts.IgnoreUnexported(escrow.Headroom{})); diff != "" {
			t.Errorf("%v left (-want +got):\n%s", tc.left, diff)
		}
	}
	unlimited := escrow.Headroom{Seconds: 16}
	if got := unlimited.WithTimeLeft(time.Second); got.Seconds != 16 {
		t.Errorf("%v seconds without a limit, want 16", got.Seconds)
	}
}
