// Package route chooses the upstream of a request. Its decisions are pure: time
// and random numbers are parameters.
package route

import (
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Load is the last load report of an upstream.
type Load struct {
	// At is the time at which the report was taken. The zero value means that
	// no report has arrived.
	At      time.Time
	Running int
	Waiting int
	Slots   int
	// QueuedTokens is the number of tokens that running and waiting calls may
	// still generate.
	QueuedTokens ident.Tokens
	// TokensPerSecond is the generation rate of all slots together.
	TokensPerSecond float64
	// Routers is the number of routers that use the upstream, or zero if it is
	// not known.
	Routers int
}

// OwnLoad counts this router's outstanding requests at one upstream.
type OwnLoad struct {
	// Requests and Tokens count all outstanding requests and the completion tokens
	// expected for them.
	Requests int
	Tokens   ident.Tokens
	// UnreportedRequests and UnreportedTokens count only the outstanding requests
	// that the last load report does not contain.
	UnreportedRequests int
	UnreportedTokens   ident.Tokens
	// Urgent counts the outstanding requests of the urgent class.
	Urgent int
}

// Candidate is an upstream with this router's knowledge of its load and state. It
// is immutable.
type Candidate struct {
	id           ident.Upstream
	domain       ident.Domain
	models       []ident.Model
	load         Load
	own          OwnLoad
	leaving      bool
	closed       bool
	suspectUntil time.Time
}

// NewCandidate returns a candidate without a load report.
func NewCandidate(id ident.Upstream, domain ident.Domain, models ...ident.Model) Candidate {
	return Candidate{id: id, domain: domain, models: slices.Clone(models)}
}

// ID returns the upstream's identifier.
func (ca Candidate) ID() ident.Upstream { return ca.id }

// Domain returns the failure domain.
func (ca Candidate) Domain() ident.Domain { return ca.domain }

// Models returns a copy of the list of models that the upstream serves.
func (ca Candidate) Models() []ident.Model { return slices.Clone(ca.models) }

// Load returns the last load report.
func (ca Candidate) Load() Load { return ca.load }

// OwnLoad returns this router's outstanding requests at the upstream.
func (ca Candidate) OwnLoad() OwnLoad { return ca.own }

// Leaving reports whether the upstream is leaving and accepts no new requests.
func (ca Candidate) Leaving() bool { return ca.leaving }

// Closed reports whether the failure domain is closed, so that the upstream gets no new
// requests.
func (ca Candidate) Closed() bool { return ca.closed }

// SuspectUntil returns the time until which the upstream is avoided, or zero.
func (ca Candidate) SuspectUntil() time.Time { return ca.suspectUntil }

// WithModels returns a copy with the models.
func (ca Candidate) WithModels(models ...ident.Model) Candidate {
	ca.models = slices.Clone(models)
	return ca
}

// WithLoad returns a copy with the load report. A report older than the current
// one is ignored.
func (ca Candidate) WithLoad(ld Load) Candidate {
	if !ld.At.Before(ca.load.At) {
		ca.load = ld
	}
	return ca
}

// WithOwnLoad returns a copy with this router's outstanding requests.
func (ca Candidate) WithOwnLoad(ow OwnLoad) Candidate {
	ca.own = ow
	return ca
}

// WithLeaving returns a copy that is or is not leaving.
func (ca Candidate) WithLeaving(leaving bool) Candidate {
	ca.leaving = leaving
	return ca
}

// WithClosed returns a copy whose failure domain is or is not closed.
func (ca Candidate) WithClosed(closed bool) Candidate {
	ca.closed = closed
	return ca
}

// WithSuspect returns a copy that is avoided until the given time.
func (ca Candidate) WithSuspect(until time.Time) Candidate {
	ca.suspectUntil = until
	return ca
}

// Usable reports whether new requests may be sent to the upstream at now.
func (ca Candidate) Usable(now time.Time) bool {
	return !ca.leaving && !ca.closed && !now.Before(ca.suspectUntil)
}
