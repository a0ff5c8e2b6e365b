package front

import (
	"context"
	"errors"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/retry"
)

var errNoKeyCanceller = errors.New("front: cancellation of idempotency keys is not configured")

// noKeyCanceller cancels no idempotency key.
type noKeyCanceller struct{}

// Cancel returns an error.
func (noKeyCanceller) Cancel(context.Context, ident.Account, ident.Key, []byte) (bool, error) {
	return false, errNoKeyCanceller
}

// noRetries allows no retries.
type noRetries struct{}

// RecordFirst does nothing.
func (noRetries) RecordFirst() {}

// Next reports that no other attempt is allowed.
func (noRetries) Next(retry.Failure, time.Time) retry.Decision { return retry.Decision{} }

// noHedges allows no hedges.
type noHedges struct{}

// HedgeAt reports that the attempt is not hedged.
func (noHedges) HedgeAt(Request, time.Time) (time.Time, bool) { return time.Time{}, false }

// Take reports that no hedge is allowed.
func (noHedges) Take(Request, int, time.Time) bool { return false }

// Observe does nothing.
func (noHedges) Observe(Request, time.Duration) {}
