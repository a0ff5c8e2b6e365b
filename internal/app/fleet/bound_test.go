package fleet_test

import (
	"context"
	"testing"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/app/gate"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/core/route"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// unlimitedBudget grants every reservation.
type unlimitedBudget struct{}

func (unlimitedBudget) Reserve(context.Context, ident.BudgetRef, ident.Tokens, config.Preference) (front.Hold, error) {
	return unlimitedBudget{}, nil
}

func (unlimitedBudget) Settle(ident.Tokens) {}
func (unlimitedBudget) Release()            {}
func (unlimitedBudget) MarkUnknown()        {}

// Open opens a stream that returns the response of the attempt at once.
func (li *fakeLink) Open(context.Context, peer.Dispatch) (peer.Stream, error) { return li, nil }

// Recv returns the final event of a response.
func (*fakeLink) Recv(context.Context) (peer.Event, error) {
	return peer.Event{Kind: peer.Final, Charged: 10, Result: engine.Result{Usage: engine.Usage{Completion: 10}}}, nil
}

func (*fakeLink) Ack(uint64) {}
func (*fakeLink) Cancel()    {}
func (*fakeLink) Close()     {}

// TestBoundAllocations guards against allocations per request that grow with the
// number of upstreams. 25 allocations per request are about 340 per second at each
// of 380 routers that share 5,100 requests/s.
func TestBoundAllocations(t *testing.T) {
	const most = 25
	counts := map[int]float64{}
	for _, engines := range []int{10, 600} {
		to := newTopology(t, "r1", engines)
		bp := front.NewBudgetedPolicy(retry.NewBudget(), route.NewRand(1))
		sv := front.New("i1", unlimitedBudget{}, gate.New(to.Fleet, gate.WithClock(fixedClock{})), front.WithClock(fixedClock{}),
			front.WithRetries(bp), front.WithHedges(bp))
		rq := front.Request{
			ID: "r1", Account: config.Account{ID: "a1"}, Budget: "b1", Class: config.Normal, Kind: config.Engine,
			Model: "m1", Idempotent: true, Deadline: start.AddDate(100, 0, 0), Prompt: 10, MaxTokens: 20,
		}
		emit := func(engine.Chunk) error { return nil }
		counts[engines] = testing.AllocsPerRun(500, func() {
			if _, err := sv.Serve(t.Context(), rq, emit); err != nil {
				t.Fatal(err)
			}
		})
		t.Logf("%d engines: %.0f allocations per request", engines, counts[engines])
	}
	if counts[10] > most || counts[600] > counts[10]+1 {
		t.Errorf("allocations per request %v, want at most %d and no growth with the engines", counts, most)
	}
}
