package budget_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// variant is one implementation of the operations of the failure scenarios.
type variant struct {
	topUp   func(ctx context.Context, tb store.Table, amount ident.Tokens, op ident.Op) error
	reclaim func(ctx context.Context, tb store.Table, inc ident.Incarnation) error
	// spend draws, uses and settles tokens of a holder. The responses to the draw
	// and to the settlement are lost. It returns what the holder has left.
	spend func(fl *fleet, used ident.Tokens) ident.Tokens
}

func realVariant() variant {
	return variant{
		topUp: func(ctx context.Context, tb store.Table, amount ident.Tokens, op ident.Op) error {
			return budget.NewLedger(tb, codecs()).TopUp(ctx, meals, amount, op, "op")
		},
		reclaim: func(ctx context.Context, tb store.Table, inc ident.Incarnation) error {
			_, err := budget.NewLedger(tb, codecs()).Recover(ctx, inc, escrow.Evidence{}.WithSidecar("s1"))
			return err
		},
		spend: func(fl *fleet, used ident.Tokens) ident.Tokens {
			hd, cl := fl.holder("r1", budget.WithSettleBatch(1))
			cl.FailCommits(table.ResponseLost)
			fl.reserve(hd, 100).Settle(used)
			cl.FailCommits(table.ResponseLost)
			hd.Flush(fl.t.Context())
			return hd.Counts(meals).Sum()
		},
	}
}

// overwriteStale changes the budget row without regard to concurrent changes:
// the version is read again before each write, the value is not.
func overwriteStale(ctx context.Context, tb store.Table, change func(*escrow.BudgetRow)) error {
	js := codec.JSON[escrow.BudgetRow]{}
	it, _, err := tb.Get(ctx, "budget/"+meals.String())
	if err != nil {
		return err
	}
	bu, err := js.Decode(it.Value)
	if err != nil {
		return err
	}
	change(&bu)
	data, err := js.Encode(bu)
	if err != nil {
		return err
	}
	for {
		now, _, err := tb.Get(ctx, it.Key)
		if err != nil {
			return err
		}
		err = tb.Commit(ctx, store.Write{Key: it.Key, Value: data, IfVersion: now.Version})
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
}

// retryBlindly repeats a change whose response was lost without a check whether
// it took effect.
func retryBlindly(ctx context.Context, tb store.Table, change func(*escrow.BudgetRow)) error {
	err := overwriteStale(ctx, tb, change)
	if errors.Is(err, store.ErrUncertain) {
		err = overwriteStale(ctx, tb, change)
	}
	return err
}

// naiveVariant repeats a write whose response was lost without a check,
// overwrites concurrent changes, and reclaims escrow because time has passed.
func naiveVariant() variant {
	return variant{
		topUp: func(ctx context.Context, tb store.Table, amount ident.Tokens, _ ident.Op) error {
			return retryBlindly(ctx, tb, func(bu *escrow.BudgetRow) { bu.Prepaid += amount })
		},
		spend: func(fl *fleet, used ident.Tokens) ident.Tokens {
			cl := fl.tb.Client()
			cl.FailCommits(table.ResponseLost)
			fl.must(retryBlindly(fl.t.Context(), cl, func(bu *escrow.BudgetRow) { bu.Granted += 100 }))
			cl.FailCommits(table.ResponseLost)
			fl.must(retryBlindly(fl.t.Context(), cl, func(bu *escrow.BudgetRow) {
				bu.Settled += used
				bu.Granted -= used
			}))
			return 100 - used
		},
		reclaim: func(ctx context.Context, tb store.Table, _ ident.Incarnation) error {
			return overwriteStale(ctx, tb, func(bu *escrow.BudgetRow) { bu.Granted, bu.Holders = 0, 0 })
		},
	}
}

// interleaved is a table that runs a function before its first commit.
type interleaved struct {
	store.Table
	once   sync.Once
	before func()
}

func (il *interleaved) Commit(ctx context.Context, writes ...store.Write) error {
	il.once.Do(il.before)
	return il.Table.Commit(ctx, writes...)
}

// scenarios run a failure and return what is wrong in the end, or nothing.
var scenarios = map[string]func(fl *fleet, va variant) string{
	"lost response to a top-up": func(fl *fleet, va variant) string {
		cl := fl.tb.Client()
		cl.FailCommits(table.ResponseLost)
		fl.must(va.topUp(fl.t.Context(), cl, 100, "a"))
		return fl.balanceDiff(1100, 0)
	},
	"concurrent top-ups": func(fl *fleet, va variant) string {
		il := &interleaved{Table: fl.tb.Client(), before: func() {
			fl.must(va.topUp(fl.t.Context(), fl.tb.Client(), 100, "b"))
		}}
		fl.must(va.topUp(fl.t.Context(), il, 100, "a"))
		return fl.balanceDiff(1200, 0)
	},
	"lost responses to a draw and a settlement": func(fl *fleet, va variant) string {
		left := va.spend(fl, 30)
		ba, err := fl.ledger.Balance(fl.t.Context(), meals)
		fl.must(err)
		return cmp.Diff([]ident.Tokens{30, left}, []ident.Tokens{ba.Settled, ba.Held})
	},
	"paused holder": func(fl *fleet, va variant) string {
		one, _ := fl.holder("r1")
		two, _ := fl.holder("r2")
		spent := ident.Tokens(0)
		paused := fl.reserve(one, 900)
		fl.clock.add(time.Hour)
		fl.must(va.reclaim(fl.t.Context(), fl.tb.Client(), "r1"))
		if ho, err := two.Reserve(fl.t.Context(), meals, 900, config.AvoidRefusal); err == nil {
			ho.Settle(900)
			spent += 900
		}
		// The paused holder resumes with a request that its sidecar still runs.
		paused.Settle(900)
		if spent += 900; spent > 1000 {
			return "overspend"
		}
		return ""
	},
}

// balanceDiff compares the prepaid and held tokens with the table.
func (fl *fleet) balanceDiff(prepaid, held ident.Tokens) string {
	ba, err := fl.ledger.Balance(fl.t.Context(), meals)
	fl.must(err)
	return cmp.Diff([]ident.Tokens{prepaid, held}, []ident.Tokens{ba.Prepaid, ba.Held})
}

// TestNaiveVariants guards against failure scenarios that detect nothing: each
// must fail with the naive variant and succeed with the real one.
func TestNaiveVariants(t *testing.T) {
	for name, run := range scenarios {
		t.Run(name, func(t *testing.T) {
			if wrong := run(newFleet(t, 1000), naiveVariant()); wrong == "" {
				t.Error("the naive variant passed")
			}
			if wrong := run(newFleet(t, 1000), realVariant()); wrong != "" {
				t.Error(wrong)
			}
		})
	}
}

// recorder is a table that records the first call after each commit whose
// response was lost.
type recorder struct {
	store.Table
	lost  bool
	calls []string
}

func (rc *recorder) record(call string) {
	if rc.lost {
		rc.calls, rc.lost = append(rc.calls, call), false
	}
}

func (rc *recorder) Get(ctx context.Context, key string) (store.Item, bool, error) {
	rc.record("get " + key)
	return rc.Table.Get(ctx, key)
}

func (rc *recorder) Commit(ctx context.Context, writes ...store.Write) error {
	rc.record("commit")
	err := rc.Table.Commit(ctx, writes...)
	rc.lost = errors.Is(err, store.ErrUncertain)
	return err
}

// TestReadBack guards against any other call between a lost response and the
// read of the grant row.
func TestReadBack(t *testing.T) {
	fl := newFleet(t, 1000)
	cl := fl.tb.Client()
	rc := &recorder{Table: cl}
	hd := budget.NewHolder("r1", "vm", "fd1", budget.NewLedger(rc, codecs()), budget.WithClock(fl.clock), budget.WithSettleBatch(1))
	fl.must(hd.Open(t.Context()))
	cl.FailCommits(table.ResponseLost)
	ho := fl.reserve(hd, 10)
	ho.Settle(10)
	cl.FailCommits(table.ResponseLost)
	hd.Flush(t.Context())
	if len(rc.calls) != 2 || strings.Join(rc.calls, ",") != strings.Repeat(",get grant/sejin/meals/r1", 2)[1:] {
		t.Errorf("calls after lost responses: %v", rc.calls)
	}
}

// TestParallel guards against tokens that are lost between concurrent
// reservations, flushes and draws.
func TestParallel(t *testing.T) {
	fl := newFleet(t, 40_000)
	hd, _ := fl.holder("r1", budget.WithSettleBatch(1))
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for no := range 1000 {
				ho, err := hd.Reserve(t.Context(), meals, 20, config.AvoidOverspend)
				if err != nil {
					t.Error(err)
					return
				}
				if no%2 == 0 {
					ho.Settle(10)
				} else {
					ho.Release()
				}
			}
		})
	}
	group.Go(func() {
		for range 200 {
			fl.clock.add(time.Second)
			hd.Flush(t.Context())
		}
	})
	group.Wait()
	fl.must(hd.Close(t.Context()))
	fl.want(40_000, 20_000, 0, 20_000)
}
