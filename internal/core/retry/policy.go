package retry

import (
	"math/rand/v2"
	"time"
)

const (
	defaultMaxAttempts = 3
	defaultBase        = 20 * time.Millisecond
	defaultCeiling     = time.Second
	defaultMinTimeLeft = 50 * time.Millisecond
	defaultHedgeFactor = 2.0
)

// Policy decides about further attempts. It is immutable except for its budget.
type Policy struct {
	budget      *Budget
	maxAttempts int
	base        time.Duration
	ceiling     time.Duration
	minTimeLeft time.Duration
	hedgeFactor float64
}

// Option configures a Policy.
type Option func(*Policy)

// WithMaxAttempts sets the attempts per request including the first. The
// default is 3, the range is above 0.
func WithMaxAttempts(attempts int) Option {
	return func(po *Policy) { po.maxAttempts = max(1, attempts) }
}

// WithBackoff sets the upper bound of the first delay and of all delays. The
// defaults are 20 ms and 1 s, the range is above 0.
func WithBackoff(base, ceiling time.Duration) Option {
	return func(po *Policy) { po.base, po.ceiling = base, max(base, ceiling) }
}

// WithMinTimeLeft sets the time that must be left before the deadline when an
// attempt starts. The default is 50 ms, the range is 0 or more.
func WithMinTimeLeft(left time.Duration) Option {
	return func(po *Policy) { po.minTimeLeft = max(0, left) }
}

// WithHedgeFactor sets the multiple of the 95th percentile of the usual latency
// after which a lookup is hedged. The default is 2, the range is 1 or more.
func WithHedgeFactor(factor float64) Option {
	return func(po *Policy) { po.hedgeFactor = max(1, factor) }
}

// NewPolicy returns a policy that charges further attempts to the budget.
func NewPolicy(bu *Budget, opts ...Option) Policy {
	po := Policy{
		budget: bu, maxAttempts: defaultMaxAttempts, base: defaultBase, ceiling: defaultCeiling,
		minTimeLeft: defaultMinTimeLeft, hedgeFactor: defaultHedgeFactor,
	}
	for _, opt := range opts {
		opt(&po)
	}
	return po
}

// Decide returns what to do after the failure. A decision to try another upstream
// has spent one retry of the budget, unless the failed attempt was not sent: it is
// free, because it put no load on an upstream.
func (po Policy) Decide(fa Failure, rng *rand.Rand, now time.Time) Decision {
	de := Classify(fa)
	if de.Action == Stop {
		return de
	}
	if fa.Attempts >= po.maxAttempts {
		return Decision{Action: Stop, Code: Attempts}
	}
	de.At = po.Backoff(fa.Attempts, rng, now)
	if !fa.Sent && po.fitsDeadline(de.At, fa.Deadline) {
		return de
	}
	return po.spendRetry(de, fa.Deadline)
}

// Backoff returns the time of the next attempt after the given number of
// attempts, with full jitter: any delay up to the exponential bound is equally
// likely, so that callers that failed together do not retry together.
func (po Policy) Backoff(attempts int, rng *rand.Rand, now time.Time) time.Time {
	bound := po.base
	for range attempts - 1 {
		if bound = 2 * bound; bound >= po.ceiling {
			bound = po.ceiling
			break
		}
	}
	return now.Add(time.Duration(rng.Int64N(int64(bound) + 1)))
}

// HedgeAt returns the time at which a lookup that was sent at the given time is
// hedged, or false if it must not be hedged. usual is the 95th percentile of the
// latency of such lookups.
func (po Policy) HedgeAt(idempotent bool, sent time.Time, usual time.Duration, deadline time.Time) (time.Time, bool) {
	at := sent.Add(time.Duration(float64(usual) * po.hedgeFactor))
	return at, idempotent && usual > 0 && po.fitsDeadline(at, deadline)
}

// DecideHedge returns whether a lookup without a response is sent to a second
// upstream at now. A decision to hedge has spent one retry of the budget.
func (po Policy) DecideHedge(idempotent bool, attempts int, deadline, now time.Time) Decision {
	switch {
	case !idempotent:
		return Decision{Action: Stop, Code: MayHaveRun}
	case attempts >= po.maxAttempts:
		return Decision{Action: Stop, Code: Attempts}
	default:
		return po.spendRetry(Decision{Action: Hedge, Code: Slow, At: now}, deadline)
	}
}

func (po Policy) spendRetry(de Decision, deadline time.Time) Decision {
	switch {
	case !po.fitsDeadline(de.At, deadline):
		return Decision{Action: Stop, Code: NoTime}
	case !po.budget.Take():
		return Decision{Action: Stop, Code: NoBudget}
	default:
		return de
	}
}

func (po Policy) fitsDeadline(at, deadline time.Time) bool {
	return deadline.IsZero() || !at.Add(po.minTimeLeft).After(deadline)
}
