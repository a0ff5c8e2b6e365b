// Package retry decides what to do after a failed attempt. Time and random numbers
// are parameters of its decisions.
package retry

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// Failure is what is known about a failed attempt.
type Failure struct {
	Reason  refuse.Reason
	Outcome refuse.Outcome
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Sent says that the dispatch may have reached the sidecar.
	Sent bool
	// PartDelivered says that a part of the response was passed to the caller.
	PartDelivered bool
	// Attempts counts the attempts so far, including this one.
	Attempts int
	Deadline time.Time
}

// Action is the action after a failure.
type Action int

const (
	// Stop ends the request with the failure.
	Stop Action = iota
	// OtherUpstream sends the request to another upstream.
	OtherUpstream
	// Hedge sends the request to a second upstream while the first attempt may
	// still respond.
	Hedge
)

// Code is a stable code for why a retry is made or not. Each has a counter.
type Code string

const (
	// Proved means that the refusal proves that the request did not run.
	Proved Code = "proved"
	// NotSent means that nothing was sent.
	NotSent Code = "notSent"
	// Repeatable means that the request is idempotent.
	Repeatable Code = "repeatable"
	// Slow means that an idempotent lookup takes longer than usual.
	Slow Code = "slow"
	// Permanent means that another upstream would refuse for the same reason.
	Permanent Code = "permanent"
	// MayHaveRun means that a non-idempotent request may have run.
	MayHaveRun Code = "mayHaveRun"
	// Partial means that the caller already has a part of the response.
	Partial Code = "partial"
	// Attempts means that the maximum number of attempts is reached.
	Attempts Code = "attempts"
	// NoTime means that the deadline leaves no time for an attempt.
	NoTime Code = "noTime"
	// NoBudget means that the retry budget is used up.
	NoBudget Code = "noBudget"
)

// Codes returns every code in a stable order.
func Codes() []Code {
	return []Code{Proved, NotSent, Repeatable, Slow, Permanent, MayHaveRun, Partial, Attempts, NoTime, NoBudget}
}

// Decision is the action with its reason code.
type Decision struct {
	Action Action
	Code   Code
	// At is the earliest time of the next attempt.
	At time.Time
}

// Classify returns whether the kind of failure allows another attempt. It does not
// consider time, budget or the number of attempts.
func Classify(fa Failure) Decision {
	switch {
	case permanent(fa.Reason):
		return Decision{Action: Stop, Code: Permanent}
	case fa.PartDelivered:
		return Decision{Action: Stop, Code: Partial}
	case fa.Outcome == refuse.NotRun:
		return Decision{Action: OtherUpstream, Code: Proved}
	case !fa.Sent:
		return Decision{Action: OtherUpstream, Code: NotSent}
	case fa.Idempotent:
		return Decision{Action: OtherUpstream, Code: Repeatable}
	default:
		return Decision{Action: Stop, Code: MayHaveRun}
	}
}

// permanent reports whether the reason lies in the request, the account or the
// router and not in the upstream that refused.
func permanent(re refuse.Reason) bool {
	switch re {
	case refuse.Busy, refuse.Leaving, refuse.Unreachable, refuse.Rejected, refuse.QueueFull,
		refuse.DeadlineUnmeetable, refuse.NotReady, refuse.StoreUnavailable, refuse.LinkLost,
		refuse.UpstreamFailed, refuse.Truncated, refuse.TimedOut, refuse.Internal:
		return false
	default:
		return true
	}
}
