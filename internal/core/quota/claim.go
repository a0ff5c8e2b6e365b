// Package quota divides a limited amount of a resource, such as bytes or connections,
// among claims, and decides which claim gives way when the amount is used up.
package quota

import "time"

// Claim is an immutable description of what one holder uses.
type Claim struct {
	// Owner is on whose behalf the claim is made. Owners share the amount equally.
	Owner string
	// Held is the amount in use, and Left the further amount that is needed until the
	// claim is complete.
	Held, Left int64
	// Rank is the order in which kinds of claims give way, the lowest first.
	Rank int
	// Fixed claims do not give way.
	Fixed bool
	// StartedAt is when the claim began, and AdvancedAt when it last made progress.
	StartedAt, AdvancedAt time.Time

	// arrived is what had arrived at AdvancedAt.
	arrived int64
}

const (
	// maxStep is the amount that always counts as progress.
	maxStep = 16 << 10
	// stepDivisor divides what is left; the quotient counts as progress towards the end.
	stepDivisor = 16
)

// NewClaim returns a claim that holds nothing and begins at the time.
func NewClaim(owner string, now time.Time) Claim {
	return Claim{Owner: owner, StartedAt: now, AdvancedAt: now}
}

// WithHeld returns a copy that holds the amount.
func (cl Claim) WithHeld(held int64) Claim {
	cl.Held = held
	return cl
}

// WithRank returns a copy with the rank whose progress begins at the time.
func (cl Claim) WithRank(rank int, now time.Time) Claim {
	cl.Rank, cl.AdvancedAt = rank, now
	return cl
}

// WithFixed returns a copy that gives way or not.
func (cl Claim) WithFixed(fixed bool) Claim {
	cl.Fixed = fixed
	return cl
}

// WithLeft returns a copy that needs a further amount.
func (cl Claim) WithLeft(left int64) Claim {
	cl.Left = left
	return cl
}

// WithArrived returns a copy after an amount in total has arrived and left is still to
// come. Single bytes are no progress, because a caller could send them without end.
func (cl Claim) WithArrived(arrived, left int64, now time.Time) Claim {
	if arrived-cl.arrived >= min(maxStep, max(1, left/stepDivisor)) {
		cl.arrived, cl.AdvancedAt = arrived, now
	}
	cl.Left = left
	return cl
}
