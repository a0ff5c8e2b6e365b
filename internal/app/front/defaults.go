package front

import (
	"context"
	"errors"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/retry"
)

var errNoKeys = errors.New("front: keys cannot be cancelled")

// noKeys cancels no key.
type noKeys struct{}

// Cancel reports that the key could not be cancelled.
func (noKeys) Cancel(context.Context, ident.Account, ident.Key, []byte) (bool, error) {
	return false, errNoKeys
}

// noRetries allows no second attempt.
type noRetries struct{}

// First does nothing.
func (noRetries) First() {}

// Next reports that no other attempt is allowed.
func (noRetries) Next(retry.Failure, time.Time) retry.Decision { return retry.Decision{} }

// noHedges allows no hedge.
type noHedges struct{}

// At reports that the attempt is not hedged.
func (noHedges) At(Request, time.Time) (time.Time, bool) { return time.Time{}, false }

// Take reports that no hedge is allowed.
func (noHedges) Take(Request, int, time.Time) bool { return false }

// Observe does nothing.
func (noHedges) Observe(Request, time.Duration) {}
