package refuse

// Reason is a stable code for why a request was refused.
type Reason string

// Reasons that imply the outcome notRun.
const (
	// BadRequest means that the request is malformed.
	BadRequest Reason = "badRequest"
	// TooLarge means that the body or a header exceeds its limit.
	TooLarge Reason = "tooLarge"
	// Unauthorized means that the API key is missing, wrong or revoked.
	Unauthorized Reason = "unauthorized"
	// Forbidden means that the client account may not use the target.
	Forbidden Reason = "forbidden"
	// UnknownModel means that no configured engine serves the model.
	UnknownModel Reason = "unknownModel"
	// UnknownService means that the plain service is not configured.
	UnknownService Reason = "unknownService"
	// KeyRequired means that a non-idempotent call has no idempotency key.
	KeyRequired Reason = "keyRequired"
	// KeyReused means that the idempotency key was used with another body.
	KeyReused Reason = "keyReused"
	// Cancelled means that the key was cancelled before the call ran.
	Cancelled Reason = "cancelled"
	// OverBudget means that the budget cannot cover the request's worst case.
	OverBudget Reason = "overBudget"
	// EscrowUnavailable means that the budget may cover the request, but no
	// escrow could be drawn in time.
	EscrowUnavailable Reason = "escrowUnavailable"
	// RateLimited means that the client account exceeds its request rate.
	RateLimited Reason = "rateLimited"
	// QueueFull means that the admission queue is full.
	QueueFull Reason = "queueFull"
	// DeadlineUnmeetable means that the expected finish is past the deadline.
	DeadlineUnmeetable Reason = "deadlineUnmeetable"
	// DeadlinePassed means that the deadline passed before dispatch.
	DeadlinePassed Reason = "deadlinePassed"
	// NoUpstream means that no usable upstream is known.
	NoUpstream Reason = "noUpstream"
	// Busy means that the upstream has no free capacity.
	Busy Reason = "busy"
	// Overloaded means that this process has no room for the request.
	Overloaded Reason = "overloaded"
	// Leaving means that the upstream or this process is leaving.
	Leaving Reason = "leaving"
	// ClosedIncarnation means that the router's incarnation was closed.
	ClosedIncarnation Reason = "closedIncarnation"
	// NotReady means that this process has no configuration in force.
	NotReady Reason = "notReady"
	// StoreUnavailable means that the table is needed before the call can run
	// and does not respond.
	StoreUnavailable Reason = "storeUnavailable"
	// Unreachable means that no connection to the sidecar could be opened.
	Unreachable Reason = "unreachable"
	// PoisonedPrompt means that upstreams have ended under a part of the prompt.
	PoisonedPrompt Reason = "poisonedPrompt"
	// LinkBusy means that the request would wait on the router's own link for too long.
	LinkBusy Reason = "linkBusy"
	// Rejected means that the upstream refused the call before running it.
	Rejected Reason = "rejected"
)

// Reasons that imply the outcome unknown.
const (
	// LinkLost means that the connection to the sidecar failed after dispatch.
	LinkLost Reason = "linkLost"
	// UpstreamFailed means that the upstream failed while the call ran.
	UpstreamFailed Reason = "upstreamFailed"
	// Truncated means that the stream ended without its last frame.
	Truncated Reason = "truncated"
	// TimedOut means that the deadline passed after dispatch.
	TimedOut Reason = "timedOut"
	// InProgress means that another attempt with the same key may be running.
	InProgress Reason = "inProgress"
	// Internal means an unexpected failure of the process.
	Internal Reason = "internal"
)

// reasons lists every reason in a stable order.
var reasons = []Reason{
	BadRequest, TooLarge, Unauthorized, Forbidden, UnknownModel, UnknownService,
	KeyRequired, KeyReused, Cancelled, OverBudget, EscrowUnavailable, RateLimited,
	QueueFull, DeadlineUnmeetable, DeadlinePassed, NoUpstream, Busy, Overloaded, Leaving,
	ClosedIncarnation, NotReady, StoreUnavailable, Unreachable, PoisonedPrompt, LinkBusy, Rejected,
	LinkLost, UpstreamFailed, Truncated, TimedOut, InProgress, Internal,
}

// All returns every reason.
func All() []Reason { return append([]Reason(nil), reasons...) }

// Outcome returns the outcome that the reason implies.
func (re Reason) Outcome() Outcome {
	switch re {
	case LinkLost, UpstreamFailed, Truncated, TimedOut, InProgress, Internal:
		return Unknown
	default:
		return NotRun
	}
}
