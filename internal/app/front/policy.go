package front

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/retry"
)

// BudgetedPolicy decides about retries and hedges by a retry policy and its
// budget. It is passed to WithRetries and WithHedges.
type BudgetedPolicy struct {
	policy retry.Policy
	budget *retry.Budget
	rng    *rand.Rand
	// latencies holds a *retry.Latency per plain service.
	latencies *sync.Map
}

// NewBudgetedPolicy returns a policy that takes retries and hedges from the
// budget. The random number generator must be safe for concurrent use.
func NewBudgetedPolicy(bu *retry.Budget, rng *rand.Rand, opts ...retry.Option) BudgetedPolicy {
	return BudgetedPolicy{policy: retry.NewPolicy(bu, opts...), budget: bu, rng: rng, latencies: new(sync.Map)}
}

// RecordFirst counts a first attempt in the budget.
func (bp BudgetedPolicy) RecordFirst() { bp.budget.RecordFirst() }

// Next returns whether another attempt is allowed and the earliest time for it.
func (bp BudgetedPolicy) Next(fa retry.Failure, now time.Time) retry.Decision {
	return bp.policy.Decide(fa, bp.rng, now)
}

// HedgeAt returns when to hedge an idempotent call to a plain service. Calls to
// model engines are not hedged: their responses take too long for a second
// attempt to be worth its cost.
func (bp BudgetedPolicy) HedgeAt(rq Request, sent time.Time) (time.Time, bool) {
	if rq.Kind != config.Plain || !rq.Idempotent {
		return time.Time{}, false
	}
	la, ok := bp.latencies.Load(rq.Service)
	if !ok {
		return time.Time{}, false
	}
	return bp.policy.HedgeAt(rq.Idempotent, sent, la.(*retry.Latency).Estimate(), rq.Deadline)
}

// Take reports whether a hedge is allowed, and takes it from the budget.
func (bp BudgetedPolicy) Take(rq Request, attempts int, now time.Time) bool {
	return bp.policy.DecideHedge(rq.Idempotent, attempts, rq.Deadline, now).Action == retry.Hedge
}

// Observe records the latency of an idempotent call to a plain service.
func (bp BudgetedPolicy) Observe(rq Request, elapsed time.Duration) {
	if rq.Kind != config.Plain || !rq.Idempotent {
		return
	}
	la, ok := bp.latencies.Load(rq.Service)
	if !ok {
		la, _ = bp.latencies.LoadOrStore(rq.Service, new(retry.Latency))
	}
	la.(*retry.Latency).Observe(elapsed)
}
