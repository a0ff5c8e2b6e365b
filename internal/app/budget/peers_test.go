package budget_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/table"
)

// exact draws no more than the waiting request needs.
var exact = budget.WithSlicer(escrow.Fixed{Size: 1})

// street reaches holders by address in process.
type street struct {
	holders map[string]*budget.Holder
	frozen  bool
	asked   atomic.Int64
}

func (st *street) Release(ctx context.Context, addr string, _ ident.Incarnation, rf ident.BudgetRef) (ident.Tokens, error) {
	st.asked.Add(1)
	if st.frozen {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return st.holders[addr].Release(ctx, rf)
}

// tail sets up a budget whose last tokens are idle at r1: r2 needs 300, and of
// 2000 tokens 376 are available at r1 and the rest is in use.
func tail(t *testing.T, st *street) (fl *fleet, one, two *budget.Holder, first *table.Client) {
	t.Helper()
	fl = newFleet(t, 2000)
	one, first = fl.holder("r1", budget.WithPeers(st), budget.WithPeerAddress("one"), exact)
	two, _ = fl.holder("r2", budget.WithPeers(st), budget.WithPeerAddress("two"), exact)
	st.holders = map[string]*budget.Holder{"one": one, "two": two}
	used := fl.reserve(one, 376)
	fl.reserve(two, 1624)
	used.Release()
	if got := one.Counts(meals).Available; got != 376 {
		t.Fatalf("%d tokens are available at the other router, want 376", got)
	}
	return fl, one, two, first
}

// TestReleaseRequest guards against a refusal as over budget while another
// router holds enough unused escrow, against more than one round per shortage,
// and against the loss of reservations in flight.
func TestReleaseRequest(t *testing.T) {
	st := &street{}
	fl, one, two, _ := tail(t, st)
	fl.reserve(two, 300)
	if st.asked.Load() != 1 {
		t.Errorf("%d requests were made, want 1", st.asked.Load())
	}
	fl.reserve(two, 76)
	if _, err := one.Reserve(t.Context(), meals, 1, config.WeighRefusal); reason(err) != refuse.OverBudget {
		t.Errorf("error %v, want over budget", err)
	}
	fl.want(2000, 0, 2000, 0)
}

// TestReleaseWithoutPeers shows the refusal that release requests avoid.
func TestReleaseWithoutPeers(t *testing.T) {
	fl := newFleet(t, 2000)
	one, _ := fl.holder("r1", exact)
	two, _ := fl.holder("r2", exact)
	used := fl.reserve(one, 376)
	fl.reserve(two, 1624)
	used.Release()
	if _, err := two.Reserve(t.Context(), meals, 300, config.WeighRefusal); reason(err) != refuse.OverBudget {
		t.Errorf("error %v, want over budget", err)
	}
}

// TestReleaseInOutage guards against escrow that is lost to both routers when
// the asked one cannot reach the table.
func TestReleaseInOutage(t *testing.T) {
	st := &street{}
	fl, one, two, first := tail(t, st)
	first.SetDown(true)
	if _, err := two.Reserve(t.Context(), meals, 300, config.WeighRefusal); reason(err) != refuse.OverBudget {
		t.Errorf("error %v, want over budget", err)
	}
	if st.asked.Load() != 1 {
		t.Errorf("%d requests were made, want 1", st.asked.Load())
	}
	fl.reserve(one, 376).Release()
	first.SetDown(false)
	fl.want(2000, 0, 2000, 0)
	fl.clock.add(time.Second)
	fl.reserve(two, 300)
}

// TestReleaseLostAnswer guards against escrow that is spent at both routers
// when the answer to the return is lost.
func TestReleaseLostAnswer(t *testing.T) {
	st := &street{}
	fl, one, two, first := tail(t, st)
	first.FailCommits(table.Lost)
	fl.reserve(two, 300)
	if _, err := one.Reserve(t.Context(), meals, 100, config.WeighRefusal); reason(err) != refuse.OverBudget {
		t.Errorf("error %v, want over budget", err)
	}
	fl.want(2000, 0, 1924, 76)
}

// TestReleaseFrozen guards against a request that waits for a router which
// accepts connections and does not answer.
func TestReleaseFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &street{frozen: true}
		_, _, two, _ := tail(t, st)
		began := time.Now()
		_, err := two.Reserve(t.Context(), meals, 300, config.WeighRefusal)
		if took := time.Since(began); reason(err) != refuse.OverBudget || took > time.Second {
			t.Errorf("error %v after %v, want over budget within the draw timeout", err, took)
		}
	})
}

// TestReleaseBothShort guards against two routers that ask each other and wait.
func TestReleaseBothShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &street{}
		_, one, two, _ := tail(t, st)
		began, ends := time.Now(), make(chan error, 2)
		for _, hd := range []*budget.Holder{one, two} {
			go func() {
				_, err := hd.Reserve(t.Context(), meals, 1000, config.WeighRefusal)
				ends <- err
			}()
		}
		for range 2 {
			if err := <-ends; reason(err) != refuse.OverBudget {
				t.Errorf("error %v, want over budget", err)
			}
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("the refusals took %v", took)
		}
	})
}
