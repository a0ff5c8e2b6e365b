package front

import (
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/retry"
)

// PolicyRetries decides by a retry policy.
type PolicyRetries struct {
	po  retry.Policy
	bu  *retry.Budget
	rng *rand.Rand
}

// NewPolicyRetries returns retries that draw on the budget. The random number
// generator must be safe for concurrent use.
func NewPolicyRetries(bu *retry.Budget, rng *rand.Rand, opts ...retry.Option) PolicyRetries {
	return PolicyRetries{po: retry.NewPolicy(bu, opts...), bu: bu, rng: rng}
}

// First records a first attempt.
func (pr PolicyRetries) First() { pr.bu.First() }

// Next reports whether another attempt is allowed and the earliest time for it.
func (pr PolicyRetries) Next(fa Failure, now time.Time) (time.Time, bool) {
	de := pr.po.Decide(retry.Failure{
		Reason: fa.Refusal.Reason, Outcome: fa.Refusal.Outcome, Idempotent: fa.Idempotent,
		Sent: true, Answered: fa.Emitted, Attempts: fa.Attempts, Deadline: fa.Deadline,
	}, pr.rng, now)
	return de.At, de.Action != retry.Stop
}
