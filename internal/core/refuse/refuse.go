// Package refuse defines how a request is refused: an outcome that says
// whether the request ran, and a reason that has its own counter.
package refuse

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says whether a refused request was run.
type Outcome string

const (
	// NotRun means that the request was not run and will not be run.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have been run.
	Unknown Outcome = "unknown"
)

// Refusal is the error that a caller receives instead of a response.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAt is the earliest time at which a retry makes sense, or zero.
	RetryAt time.Time
	// OutcomePath is the path at which the outcome can be queried later, or empty.
	OutcomePath string
}

// New returns a refusal with the outcome that the reason implies.
func New(re Reason, format string, args ...any) *Refusal {
	return &Refusal{Outcome: re.Outcome(), Reason: re, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the reason, the outcome and the detail.
func (rf *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", rf.Reason, rf.Outcome, rf.Detail)
}

// WithOutcome returns a copy with the given outcome.
func (rf *Refusal) WithOutcome(ou Outcome) *Refusal {
	cp := *rf
	cp.Outcome = ou
	return &cp
}

// WithRetryAt returns a copy with the given earliest retry time.
func (rf *Refusal) WithRetryAt(at time.Time) *Refusal {
	cp := *rf
	cp.RetryAt = at
	return &cp
}

// WithOutcomePath returns a copy with the path at which the outcome can be
// queried.
func (rf *Refusal) WithOutcomePath(path string) *Refusal {
	cp := *rf
	cp.OutcomePath = path
	return &cp
}

// From returns the refusal in the chain of err. Any other error becomes a refusal
// with the reason internal and the outcome unknown, because it does not prove
// that the request was not run.
func From(err error) *Refusal {
	var rf *Refusal
	if errors.As(err, &rf) {
		return rf
	}
	return New(Internal, "%v", err)
}
