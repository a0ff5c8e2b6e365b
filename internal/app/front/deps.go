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

// Purse reserves escrow for requests.
type Purse interface {
	// Reserve reserves tokens of the budget. The error carries a refusal.
	Reserve(ctx context.Context, rf ident.BudgetRef, to ident.Tokens, we config.Weight) (Hold, error)
}

// Hold is the escrow reserved for one request. Only the first call of its
// methods has an effect.
type Hold interface {
	// Settle charges the usage and returns the rest.
	Settle(used ident.Tokens)
	// Release returns everything.
	Release()
	// Keep leaves the escrow held, because the usage is not known.
	Keep()
}

// Gate admits requests and places their attempts at upstreams.
type Gate interface {
	// Admit counts the request against the limits of its client account. It
	// returns a function that ends this, or an error that carries a refusal.
	Admit(rq Request, now time.Time) (func(), error)
	// Place returns an upstream that can take the request, after a wait if
	// necessary. The error carries a refusal with the outcome notRun.
	Place(ctx context.Context, rq Request, pl Placing) (Target, error)
}

// Turn says why a request is placed.
type Turn int

const (
	// First places a request that was not placed before.
	First Turn = iota
	// Again places another attempt after a failed one.
	Again
	// Return queues a request that no upstream took, until one has room or the
	// request can no longer be on time.
	Return
	// Hedge places a second attempt beside a running one, or refuses at once.
	Hedge
)

// Placing says how a request is placed.
type Placing struct {
	Turn Turn
	// Tried are the upstreams that earlier attempts were sent to.
	Tried route.Tried
}

// Target is a chosen upstream. It counts as busy with the request until Done.
type Target struct {
	Upstream config.Upstream
	Sidecar  peer.Sidecar
	// Done reports how the attempt ended. It is called once.
	Done func(ve Verdict)
}

// Verdict is how an attempt ended, for the choice of later ones.
type Verdict struct {
	// Refusal is nil for a complete answer and for an attempt that the router
	// gave up itself.
	Refusal *refuse.Refusal
	// Output is the number of completion tokens of a complete answer.
	Output ident.Tokens
}

// Keys resolves idempotency keys of non-idempotent calls.
type Keys interface {
	// Cancel reports true if the key was cancelled before a call ran, so that
	// it will never run.
	Cancel(ctx context.Context, ac ident.Account, key ident.Key, fingerprint []byte) (bool, error)
}

// Retries decides about another attempt.
type Retries interface {
	// First records a first attempt.
	First()
	// Next returns whether another attempt is allowed and the earliest time
	// for it.
	Next(fa retry.Failure, now time.Time) retry.Decision
}

// Hedges decides about second attempts at lookups that are slower than usual.
type Hedges interface {
	// At returns when an attempt that was sent at the given time is hedged, or
	// false when it must not be.
	At(rq Request, sent time.Time) (time.Time, bool)
	// Take reports whether a hedge is allowed after the attempts so far.
	Take(rq Request, attempts int, now time.Time) bool
	// Observe records how long a complete answer took.
	Observe(rq Request, took time.Duration)
}
