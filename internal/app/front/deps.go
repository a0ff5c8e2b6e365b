package front

import (
	"context"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/core/route"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// Reserver reserves escrow of budgets for requests.
type Reserver interface {
	// Reserve reserves tokens of the budget. The preference says whether a false
	// refusal or overspend is worse. The error carries a refusal.
	Reserve(ctx context.Context, rf ident.BudgetRef, to ident.Tokens, pf config.Preference) (Hold, error)
}

// Hold is the escrow reserved for one request. Only the first method call on it
// has an effect.
type Hold interface {
	// Settle charges the usage and returns the rest of the escrow.
	Settle(used ident.Tokens)
	// Release returns the escrow without a charge.
	Release()
	// MarkUnknown records that the usage is unknown. The escrow stays held.
	MarkUnknown()
}

// Gate admits requests and places their attempts at upstreams.
type Gate interface {
	// Admit counts the request against the limits of its client account. It
	// returns a function that must be called when the request ends, or an error
	// that carries a refusal.
	Admit(rq Request, now time.Time) (func(), error)
	// Place returns an upstream for the request and waits until one has capacity
	// if necessary. The error carries a refusal with the outcome notRun.
	Place(ctx context.Context, rq Request, pl Placement) (Target, error)
}

// PlacementReason is the reason for placing a request.
type PlacementReason int

const (
	// First places the first attempt at a request.
	First PlacementReason = iota
	// Retry places another attempt after a failed one.
	Retry
	// Requeue queues a request that no upstream accepted, until one has capacity
	// or the request can no longer meet its deadline.
	Requeue
	// Hedge places a second attempt beside a running one. It is refused at once
	// if no upstream has capacity.
	Hedge
)

// Placement holds the parameters for placing one attempt.
type Placement struct {
	Reason PlacementReason
	// Tried lists the upstreams that earlier attempts were sent to.
	Tried route.Tried
}

// Target is the upstream chosen for an attempt. The request counts as load of
// the upstream until Done is called.
type Target struct {
	Upstream config.Upstream
	Sidecar  peer.Sidecar
	// Done reports how the attempt ended. It must be called exactly once.
	Done func(ar AttemptResult)
}

// AttemptResult says how an attempt ended. Later choices of upstreams use it.
type AttemptResult struct {
	// Refusal is nil for a complete response and for an attempt that the router
	// cancelled itself.
	Refusal *refuse.Refusal
	// Output is the number of completion tokens of a complete response.
	Output ident.Tokens
}

// KeyCanceller cancels idempotency keys of non-idempotent calls.
type KeyCanceller interface {
	// Cancel reports true if the key was cancelled before a call with it ran, so
	// that no such call will ever run.
	Cancel(ctx context.Context, ac ident.Account, key ident.Key, fingerprint []byte) (bool, error)
}

// RetryPolicy decides whether a failed attempt is followed by another one.
type RetryPolicy interface {
	// RecordFirst counts a first attempt, which adds to the retry budget.
	RecordFirst()
	// Next returns whether another attempt is allowed and the earliest time
	// for it.
	Next(fa retry.Failure, now time.Time) retry.Decision
}

// HedgePolicy decides about hedges: second attempts at lookups that are slower
// than usual.
type HedgePolicy interface {
	// HedgeAt returns when to hedge an attempt that was sent at the given time. It
	// reports false if the attempt must not be hedged.
	HedgeAt(rq Request, sent time.Time) (time.Time, bool)
	// Take reports whether a hedge is allowed after the attempts so far, and
	// takes it from the retry budget.
	Take(rq Request, attempts int, now time.Time) bool
	// Observe records the latency of a complete response.
	Observe(rq Request, elapsed time.Duration)
}
