package front

import (
	"context"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
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

// Fleet chooses upstreams.
type Fleet interface {
	// Pick returns an upstream that is expected to meet the demand. The error
	// carries a refusal.
	Pick(de Demand, now time.Time) (Target, error)
}

// Target is a chosen upstream.
type Target struct {
	Upstream config.Upstream
	Sidecar  peer.Sidecar
	// Done reports how the attempt ended.
	Done func(re Verdict)
}

// Verdict is how an attempt ended, for the choice of later ones.
type Verdict struct {
	// Refusal is nil for a complete answer.
	Refusal *refuse.Refusal
	Used    ident.Tokens
}

// Gate admits requests.
type Gate interface {
	// Admit waits for capacity. It returns a function that gives the capacity
	// back, or an error that carries a refusal.
	Admit(ctx context.Context, rq Request, now time.Time) (func(), error)
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
	// Next reports whether another attempt is allowed and the earliest time
	// for it.
	Next(fa Failure, now time.Time) (time.Time, bool)
}

// Failure is what an attempt's end says about another one.
type Failure struct {
	Refusal    *refuse.Refusal
	Idempotent bool
	// Emitted says that a part of the answer has reached the caller.
	Emitted  bool
	Attempts int
	Deadline time.Time
}
