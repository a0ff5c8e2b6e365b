package admit

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// Verdict is the outcome of an admission decision.
type Verdict int

const (
	// Admit means that the request is dispatched now.
	Admit Verdict = iota
	// Wait means that the request is queued.
	Wait
	// Refuse means that the request is refused at once.
	Refuse
)

const (
	defaultUrgentShare = 0.15
	defaultBatchShare  = 0.20
	// defaultTolerance exceeds the error of estimates based on load reports that
	// are about one second old. Without a tolerance, a third of the urgent
	// requests were refused falsely while a backlog of drafts was running.
	defaultTolerance = 0.25
)

// Request describes a request and the state of the upstreams that could serve it.
type Request struct {
	Class    config.Class
	Deadline time.Time
	// FirstTokenDeadline is the deadline of the first token, or zero if there is
	// none.
	FirstTokenDeadline time.Time
	// Known reports whether the expected times are based on a load report. A
	// request is never refused because of expected times that are not known.
	Known bool
	// FirstToken and Finish are the expected times if the request is dispatched
	// now.
	FirstToken time.Time
	Finish     time.Time
	// Slots is the capacity that the request competes for, or zero if it is
	// unknown, and Running the expected number of requests that use it.
	Slots   int
	Running int
	// SentSinceReport counts the requests in Running that this router sent since
	// the last report, and RouterCount the routers that use the upstream. The
	// other routers are assumed to have sent as many each; without this assumption
	// all routers would fill the same free slots.
	SentSinceReport int
	RouterCount     int
	// Queued is the number of queued requests ahead of this one, and QueueLimit
	// the capacity of the queue. With a limit of zero the router queues nothing
	// and requests queue at the upstreams.
	Queued     int
	QueueLimit int
}

// expectedRunning adds the requests that the other routers are assumed to have
// sent since the last report.
func (rq Request) expectedRunning() int {
	return rq.Running + rq.SentSinceReport*max(0, rq.RouterCount-1)
}

// Decision is a verdict, with the reason if the request is refused.
type Decision struct {
	Verdict Verdict
	Reason  refuse.Reason
	// RetryAt is the earliest time at which a retry makes sense, or zero.
	RetryAt time.Time
}

// Rule decides whether a request is dispatched, queued or refused. It is
// immutable.
type Rule struct {
	urgentShare float64
	batchShare  float64
	tolerance   float64
}

// RuleOption configures a Rule.
type RuleOption func(*Rule)

// WithUrgentShare sets the share of slots that is reserved for urgent requests.
// The default is 0.15, the range is 0 to 1.
func WithUrgentShare(share float64) RuleOption {
	return func(ru *Rule) { ru.urgentShare = min(1, max(0, share)) }
}

// WithBatchShare sets the share of slots that batch requests leave to the other
// classes. The default is 0.20, the range is 0 to 1.
func WithBatchShare(share float64) RuleOption {
	return func(ru *Rule) { ru.batchShare = min(1, max(0, share)) }
}

// WithTolerance sets the share by which an expected delay may be overestimated.
// A request is refused only if it would be late even after a delay that is
// shorter by this share. The default is 0.25, the range is 0 to 1.
func WithTolerance(share float64) RuleOption {
	return func(ru *Rule) { ru.tolerance = min(1, max(0, share)) }
}

// NewRule returns the admission rule.
func NewRule(opts ...RuleOption) Rule {
	ru := Rule{urgentShare: defaultUrgentShare, batchShare: defaultBatchShare, tolerance: defaultTolerance}
	for _, opt := range opts {
		opt(&ru)
	}
	return ru
}

// Decide returns the decision for the request. Urgent requests are dispatched at
// once, because engines serve them before waiting requests. The other classes
// wait in the router's queue while the slots available to them are occupied, so
// that they can still be reordered.
func (ru Rule) Decide(rq Request, now time.Time) Decision {
	switch {
	case !rq.Deadline.IsZero() && !now.Before(rq.Deadline):
		return Decision{Verdict: Refuse, Reason: refuse.DeadlinePassed}
	case ru.deadlineUnmeetable(rq, now):
		return Decision{Verdict: Refuse, Reason: refuse.DeadlineUnmeetable, RetryAt: retryAt(rq, now)}
	case rq.Slots <= 0 || rq.expectedRunning() < ru.SlotLimit(rq.Class, rq.Slots) && rq.Queued == 0:
		return Decision{Verdict: Admit}
	case rq.Class == config.Urgent || rq.QueueLimit <= 0:
		return Decision{Verdict: Admit}
	case rq.Queued >= rq.QueueLimit:
		return Decision{Verdict: Refuse, Reason: refuse.QueueFull, RetryAt: rq.Finish}
	default:
		return Decision{Verdict: Wait}
	}
}

// SlotLimit returns the number of slots that requests of the class may occupy,
// which is at least one.
func (ru Rule) SlotLimit(cl config.Class, slots int) int {
	switch cl {
	case config.Urgent:
		return slots
	case config.Batch:
		return max(1, int(float64(slots)*(1-ru.batchShare)))
	default:
		return max(1, int(float64(slots)*(1-ru.urgentShare)))
	}
}

func (ru Rule) deadlineUnmeetable(rq Request, now time.Time) bool {
	return rq.Known && (ru.late(rq.Finish, rq.Deadline, now) || ru.late(rq.FirstToken, rq.FirstTokenDeadline, now))
}

// late reports whether the deadline would be missed even if the expected delay
// were shorter by the tolerance.
func (ru Rule) late(expected, deadline, now time.Time) bool {
	delay := time.Duration(float64(expected.Sub(now)) * (1 - ru.tolerance))
	return !deadline.IsZero() && now.Add(delay).After(deadline)
}

// retryAt returns the time at which the expected delay will have fallen by the
// time by which the request would be late.
func retryAt(rq Request, now time.Time) time.Time {
	late := time.Duration(0)
	if !rq.Deadline.IsZero() {
		late = max(late, rq.Finish.Sub(rq.Deadline))
	}
	if !rq.FirstTokenDeadline.IsZero() {
		late = max(late, rq.FirstToken.Sub(rq.FirstTokenDeadline))
	}
	return now.Add(late)
}
