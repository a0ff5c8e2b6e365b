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

// exactDraws makes a holder draw no more than the waiting request needs.
var exactDraws = budget.WithGrantSizer(escrow.Fixed{Size: 1})

// localPeers sends release requests to holders in the same process.
type localPeers struct {
	holders map[string]*budget.Holder
	// silent means that no holder responds.
	silent   bool
	requests atomic.Int64
}

func (lp *localPeers) Release(ctx context.Context, addr string, _ ident.Incarnation, rf ident.BudgetRef) (ident.Tokens, error) {
	lp.requests.Add(1)
	if lp.silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return lp.holders[addr].Release(ctx, rf)
}

// newIdleEscrow sets up a budget whose last tokens are idle at r1: of 2000
// tokens, 376 are available at r1 and the rest is in use. The tests request 300
// at r2.
func newIdleEscrow(t *testing.T, lp *localPeers) (fl *fleet, one, two *budget.Holder, first *table.Client) {
	t.Helper()
	fl = newFleet(t, 2000)
	one, first = fl.holder("r1", budget.WithPeers(lp), budget.WithPeerAddress("one"), exactDraws)
	two, _ = fl.holder("r2", budget.WithPeers(lp), budget.WithPeerAddress("two"), exactDraws)
	lp.holders = map[string]*budget.Holder{"one": one, "two": two}
	used := fl.reserve(one, 376)
	fl.reserve(two, 1624)
	used.Release()
	if got := one.Counts(meals).Available; got != 376 {
		t.Fatalf("%d tokens are available at the other router, want 376", got)
	}
	return fl, one, two, first
}

// TestReleaseRequest guards against a refusal as over budget while another
// router holds enough unused escrow, against more than one round of release
// requests per shortage, and against the loss of reservations in flight.
func TestReleaseRequest(t *testing.T) {
	lp := &localPeers{}
	fl, one, two, _ := newIdleEscrow(t, lp)
	fl.reserve(two, 300)
	if lp.requests.Load() != 1 {
		t.Errorf("%d requests were made, want 1", lp.requests.Load())
	}
	fl.reserve(two, 76)
	if _, err := one.Reserve(t.Context(), meals, 1, config.AvoidRefusal); reason(err) != refuse.OverBudget {
		t.Errorf("error %v, want over budget", err)
	}
	fl.want(2000, 0, 2000, 0)
}

// TestReleaseWithoutPeers guards against release tests that prove nothing: without
// release requests, the request at the other router must be refused.
func TestReleaseWithoutPeers(t *testing.T) {
	fl := newFleet(t, 2000)
	one, _ := fl.holder("r1", exactDraws)
	two, _ := fl.holder("r2", exactDraws)
	used := fl.reserve(one, 376)
	fl.reserve(two, 1624)
	used.Release()
	if _, err := two.Reserve(t.Context(), meals, 300, config.AvoidRefusal); reason(err) != refuse.OverBudget {
		t.Errorf("error %v, want over budget", err)
	}
}

// TestReleaseInOutage guards against escrow that is lost to both routers when
// the router that gets the release request cannot reach the table.
func TestReleaseInOutage(t *testing.T) {
	lp := &localPeers{}
	fl, one, two, first := newIdleEscrow(t, lp)
	first.SetDown(true)
	if _, err := two.Reserve(t.Context(), meals, 300, config.AvoidRefusal); reason(err) != refuse.OverBudget {
		t.Errorf("error %v, want over budget", err)
	}
	if lp.requests.Load() != 1 {
		t.Errorf("%d requests were made, want 1", lp.requests.Load())
	}
	fl.reserve(one, 376).Release()
	first.SetDown(false)
	fl.want(2000, 0, 2000, 0)
	fl.clock.add(time.Second)
	fl.reserve(two, 300)
}

// TestReleaseLostResponse guards against escrow that is spent at both routers
// when the response to the return is lost.
func TestReleaseLostResponse(t *testing.T) {
	lp := &localPeers{}
	fl, one, two, first := newIdleEscrow(t, lp)
	first.FailCommits(table.ResponseLost)
	fl.reserve(two, 300)
	if _, err := one.Reserve(t.Context(), meals, 100, config.AvoidRefusal); reason(err) != refuse.OverBudget {
		t.Errorf("error %v, want over budget", err)
	}
	fl.want(2000, 0, 1924, 76)
}

// TestReleaseSilentPeer guards against a request that waits for a router which
// accepts connections and does not respond.
func TestReleaseSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lp := &localPeers{silent: true}
		_, _, two, _ := newIdleEscrow(t, lp)
		start := time.Now()
		_, err := two.Reserve(t.Context(), meals, 300, config.AvoidRefusal)
		if elapsed := time.Since(start); reason(err) != refuse.OverBudget || elapsed > time.Second {
			t.Errorf("error %v after %v, want over budget within the draw timeout", err, elapsed)
		}
	})
}

// TestReleaseBothShort guards against two routers that send each other release
// requests and wait for each other.
func TestReleaseBothShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lp := &localPeers{}
		_, one, two, _ := newIdleEscrow(t, lp)
		start, ends := time.Now(), make(chan error, 2)
		for _, hd := range []*budget.Holder{one, two} {
			go func() {
				_, err := hd.Reserve(t.Context(), meals, 1000, config.AvoidRefusal)
				ends <- err
			}()
		}
		for range 2 {
			if err := <-ends; reason(err) != refuse.OverBudget {
				t.Errorf("error %v, want over budget", err)
			}
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("the refusals took %v", elapsed)
		}
	})
}
