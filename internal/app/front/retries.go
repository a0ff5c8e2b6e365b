package front

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/retry"
)

// PolicyRetries decides by a retry policy. It implements Retries and Hedges.
type PolicyRetries struct {
	po  retry.Policy
	bu  *retry.Budget
	rng *rand.Rand
	// usual holds a *retry.Latency per plain service.
	usual *sync.Map
}

// NewPolicyRetries returns retries that draw on the budget. The random number
// generator must be safe for concurrent use.
func NewPolicyRetries(bu *retry.Budget, rng *rand.Rand, opts ...retry.Option) PolicyRetries {
	return PolicyRetries{po: retry.NewPolicy(bu, opts...), bu: bu, rng: rng, usual: new(sync.Map)}
}

// First records a first attempt.
func (pr PolicyRetries) First() { pr.bu.First() }

// Next returns whether another attempt is allowed and the earliest time for it.
func (pr PolicyRetries) Next(fa retry.Failure, now time.Time) retry.Decision {
	return pr.po.Decide(fa, pr.rng, now)
}

// At returns when a lookup is hedged. Answers of model engines are too long for
// a second attempt to pay.
func (pr PolicyRetries) At(rq Request, sent time.Time) (time.Time, bool) {
	if rq.Kind != config.Plain || !rq.Idempotent {
		return time.Time{}, false
	}
	la, ok := pr.usual.Load(rq.Service)
	if !ok {
		return time.Time{}, false
	}
	return pr.po.HedgeAt(rq.Idempotent, sent, la.(*retry.Latency).Usual(), rq.Deadline)
}

// Take reports whether a hedge is allowed, and takes it from the budget.
func (pr PolicyRetries) Take(rq Request, attempts int, now time.Time) bool {
	return pr.po.DecideHedge(rq.Idempotent, attempts, rq.Deadline, now).Action == retry.Hedge
}

// Observe records how long a lookup took.
func (pr PolicyRetries) Observe(rq Request, took time.Duration) {
	if rq.Kind != config.Plain || !rq.Idempotent {
		return
	}
	la, ok := pr.usual.Load(rq.Service)
	if !ok {
		la, _ = pr.usual.LoadOrStore(rq.Service, new(retry.Latency))
	}
	la.(*retry.Latency).Observe(took)
}
