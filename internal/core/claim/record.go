// Package claim decides which attempt may run a call that must run at most
// once.
package claim

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// State is the state of a claim.
type State string

const (
	// Claimed means that a sidecar may be running the call.
	Claimed State = "claimed"
	// Cancelled means that the call was not run and never will be.
	Cancelled State = "cancelled"
	// Released means that the upstream proved that it did not run the call.
	// The same request may be claimed again. The row is not deleted, because a
	// new row would start at version 1 again and a delayed write could then
	// match it.
	Released State = "released"
	// Done means that the call ran and its outcome is stored.
	Done State = "done"
)

// Record is the stored claim of an idempotency key. It is immutable.
type Record struct {
	Fingerprint []byte            `json:"fingerprint"`
	State       State             `json:"state"`
	Sidecar     ident.Incarnation `json:"sidecar,omitempty"`
	Upstream    ident.Upstream    `json:"upstream,omitempty"`
	Request     ident.Request     `json:"request,omitempty"`
	Attempt     uint32            `json:"attempt,omitempty"`
	ClaimedAt   time.Time         `json:"claimedAt,omitzero"`
	Outcome     *Outcome          `json:"outcome,omitempty"`
}

// Outcome is the response of a call that ran.
type Outcome struct {
	Status int     `json:"status"`
	Header []Field `json:"header,omitempty"`
	Body   []byte  `json:"body,omitempty"`
	// Truncated means that the body was longer than a row may hold, so that only
	// its beginning is stored.
	Truncated bool `json:"cut,omitempty"`
	// Failure is the reason if the call ended without a response.
	Failure string `json:"failure,omitempty"`
}

// Field is one header field.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// New returns a record in the state Claimed.
func New(fingerprint []byte, cl Claimant, at time.Time) Record {
	return Record{
		Fingerprint: slices.Clone(fingerprint), State: Claimed, Sidecar: cl.Sidecar, Upstream: cl.Upstream,
		Request: cl.Request, Attempt: cl.Attempt, ClaimedAt: at,
	}
}

// NewCancelled returns a record in the state Cancelled for a key that was never
// claimed.
func NewCancelled(fingerprint []byte) Record {
	return Record{Fingerprint: slices.Clone(fingerprint), State: Cancelled}
}

// WithState returns a copy in the given state.
func (rc Record) WithState(st State) Record {
	rc.State = st
	return rc
}

// WithOutcome returns a copy in the state Done with the outcome.
func (rc Record) WithOutcome(ou Outcome) Record {
	rc.State, rc.Outcome = Done, &ou
	return rc
}

// MatchesFingerprint reports whether the record was written for the same
// request body.
func (rc Record) MatchesFingerprint(fingerprint []byte) bool {
	return bytes.Equal(rc.Fingerprint, fingerprint)
}

// HeldBy reports whether the claimant wrote the claim.
func (rc Record) HeldBy(cl Claimant) bool {
	return rc.Sidecar == cl.Sidecar && rc.Request == cl.Request && rc.Attempt == cl.Attempt
}

// accountEscaper escapes the separator in account names, so that two accounts
// cannot share a row.
var accountEscaper = strings.NewReplacer("%", "%25", "/", "%2F")

// RowKey returns the key of the row that holds the claim of the idempotency key.
func RowKey(account ident.Account, key ident.Key) string {
	return "claim/" + accountEscaper.Replace(string(account)) + "/" + string(key)
}
