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

// Ask describes a request and the state of the upstreams that could serve it.
type Ask struct {
	Class    config.Class
	Deadline time.Time
	// FirstBy is the deadline of the first token, or zero if there is none.
	FirstBy time.Time
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
	// Sent counts the requests in Running that this router sent since the last
	// report, and Peers the routers that use the upstream. The other routers are
	// assumed to have sent as many each; without this assumption all routers
	// would fill the same free slots.
	Sent  int
	Peers int
	// Queued is the number of queued requests ahead of this one, and QueueLimit
	// the capacity of the queue. With a limit of zero the router queues nothing
	// and requests queue at the upstreams.
	Queued     int
	QueueLimit int
}

// expectedRunning adds the requests that the other routers are assumed to have
// sent since the last report.
func (rq Ask) expectedRunning() int { return rq.Running + rq.Sent*max(0, rq.Peers-1) }

// Decision is a verdict, with the reason if the request is refused.
type Decision struct {
	Verdict Verdict
	Reason  refuse.Reason
	// RetryAt is the earliest time at which a retry makes sense, or zero.
	RetryAt time.Time
}

// Gate decides whether a request is dispatched, queued or refused. It is
// immutable.
type Gate struct {
	urgentShare float64
	batchShare  float64
	tolerance   float64
}

// GateOption configures the admission rule.
type GateOption func(*Gate)

// WithUrgentShare sets the share of slots that is reserved for urgent requests.
// The default is 0.15, the range is 0 to 1.
func WithUrgentShare(share float64) GateOption {
	return func(ga *Gate) { ga.urgentShare = min(1, max(0, share)) }
}

// WithBatchShare sets the share of slots that batch requests leave to the other
// classes. The default is 0.20, the range is 0 to 1.
func WithBatchShare(share float64) GateOption {
	return func(ga *Gate) { ga.batchShare = min(1, max(0, share)) }
}

// WithTolerance sets the share by which an expected delay may be overestimated.
// A request is refused only if it would be late even after a delay that is
// shorter by this share. The default is 0.25, the range is 0 to 1.
func WithTolerance(share float64) GateOption {
	return func(ga *Gate) { ga.tolerance = min(1, max(0, share)) }
}

// NewGate returns the admission rule.
func NewGate(opts ...GateOption) Gate {
	ga := Gate{urgentShare: defaultUrgentShare, batchShare: defaultBatchShare, tolerance: defaultTolerance}
	for _, opt := range opts {
		opt(&ga)
	}
	return ga
}

// Decide returns the decision for the request. Urgent requests are dispatched at
// once, because engines serve them before waiting requests. The other classes
// wait in the router's queue while the slots available to them are occupied, so
// that they can still be reordered.
func (ga Gate) Decide(rq Ask, now time.Time) Decision {
	switch {
	case !rq.Deadline.IsZero() && !now.Before(rq.Deadline):
		return Decision{Verdict: Refuse, Reason: refuse.DeadlinePassed}
	case ga.deadlineUnmeetable(rq, now):
		return Decision{Verdict: Refuse, Reason: refuse.DeadlineUnmeetable, RetryAt: retryAt(rq, now)}
	case rq.Slots <= 0 || rq.expectedRunning() < ga.Limit(rq.Class, rq.Slots) && rq.Queued == 0:
		return Decision{Verdict: Admit}
	case rq.Class == config.Urgent || rq.QueueLimit <= 0:
		return Decision{Verdict: Admit}
	case rq.Queued >= rq.QueueLimit:
		return Decision{Verdict: Refuse, Reason: refuse.QueueFull, RetryAt: rq.Finish}
	default:
		return Decision{Verdict: Wait}
	}
}

// Limit returns the number of slots that requests of the class may occupy, which
// is at least one.
func (ga Gate) Limit(cl config.Class, slots int) int {
	switch cl {
	case config.Urgent:
		return slots
	case config.Batch:
		return max(1, int(float64(slots)*(1-ga.batchShare)))
	default:
		return max(1, int(float64(slots)*(1-ga.urgentShare)))
	}
}

func (ga Gate) deadlineUnmeetable(rq Ask, now time.Time) bool {
	return rq.Known && (ga.late(rq.Finish, rq.Deadline, now) || ga.late(rq.FirstToken, rq.FirstBy, now))
}

// late reports whether the deadline would be missed even if the expected delay
// were shorter by the tolerance.
func (ga Gate) late(expected, deadline, now time.Time) bool {
	delay := time.Duration(float64(expected.Sub(now)) * (1 - ga.tolerance))
	return !deadline.IsZero() && now.Add(delay).After(deadline)
}

// retryAt returns the time at which the expected delay will have fallen by the
// time by which the request would be late.
func retryAt(rq Ask, now time.Time) time.Time {
	late := time.Duration(0)
	if !rq.Deadline.IsZero() {
		late = max(late, rq.Finish.Sub(rq.Deadline))
	}
	if !rq.FirstBy.IsZero() {
		late = max(late, rq.FirstToken.Sub(rq.FirstBy))
	}
	return now.Add(late)
}
