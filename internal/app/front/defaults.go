package front

import (
	"context"
	"errors"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

var errNoKeys = errors.New("front: keys cannot be cancelled")

// openGate admits every request.
type openGate struct{}

// Admit returns at once.
func (openGate) Admit(context.Context, Request, time.Time) (func(), error) { return func() {}, nil }

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
func (noRetries) Next(Failure, time.Time) (time.Time, bool) { return time.Time{}, false }
