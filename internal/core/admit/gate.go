package admit

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// Verdict is what happens to a request.
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
	// defaultTolerance lies above the error of estimates from reports that are
	// about a second old. Without it a third of the urgent requests beside a
	// backlog of drafts were refused falsely.
	defaultTolerance = 0.25
)

// Ask is what the gate knows about a request and the upstreams.
type Ask struct {
	Class    config.Class
	Deadline time.Time
	// FirstBy is the deadline of the first token, or zero.
	FirstBy time.Time
	// Known says that the expected times rest on a load report. Unknown times
	// are no reason to refuse.
	Known bool
	// FirstToken and Finish are expected when the request is dispatched now.
	FirstToken time.Time
	Finish     time.Time
	// Slots and Running describe the capacity that the request competes for;
	// zero Slots means that it is unknown.
	Slots   int
	Running int
	// Sent counts the requests in Running that this router sent since the last
	// report, and Peers the routers that use the upstream. The others are taken
	// to send as much; without that they all fill the same free slots.
	Sent  int
	Peers int
	// Queued is the number of queued requests that go before this one, and
	// QueueLimit the capacity of the queue; a limit of zero means that only the
	// upstreams queue.
	Queued     int
	QueueLimit int
}

func (as Ask) running() int { return as.Running + as.Sent*max(0, as.Peers-1) }

// Decision is the verdict with the reason of a refusal.
type Decision struct {
	Verdict Verdict
	Reason  refuse.Reason
	// RetryAt is the earliest time at which a retry makes sense, or zero.
	RetryAt time.Time
}

// Gate decides about requests. It is immutable.
type Gate struct {
	urgentShare float64
	batchShare  float64
	tolerance   float64
}

// GateOption configures a Gate.
type GateOption func(*Gate)

// WithUrgentShare sets the share of slots that only urgent work takes. The
// default is 0.15, the range is 0 to 1.
func WithUrgentShare(share float64) GateOption {
	return func(ga *Gate) { ga.urgentShare = min(1, max(0, share)) }
}

// WithBatchShare sets the share of slots that batch work leaves to the other
// classes. The default is 0.20, the range is 0 to 1.
func WithBatchShare(share float64) GateOption {
	return func(ga *Gate) { ga.batchShare = min(1, max(0, share)) }
}

// WithTolerance sets by how much of itself an expected delay may be too long. A
// request is refused only when it would be late after a delay that is shorter by
// this share. The default is 0.25, the range is 0 to 1.
func WithTolerance(share float64) GateOption {
	return func(ga *Gate) { ga.tolerance = min(1, max(0, share)) }
}

// NewGate returns a gate.
func NewGate(opts ...GateOption) Gate {
	ga := Gate{urgentShare: defaultUrgentShare, batchShare: defaultBatchShare, tolerance: defaultTolerance}
	for _, opt := range opts {
		opt(&ga)
	}
	return ga
}

// Decide returns the decision about the request. Urgent work is dispatched at
// once, because the engine lets it pass waiting work; the other classes wait in
// the router's queue while the slots left to them are taken, so that they can
// still be reordered.
func (ga Gate) Decide(as Ask, now time.Time) Decision {
	switch {
	case !as.Deadline.IsZero() && !now.Before(as.Deadline):
		return Decision{Verdict: Refuse, Reason: refuse.DeadlinePassed}
	case ga.unmeetable(as, now):
		return Decision{Verdict: Refuse, Reason: refuse.DeadlineUnmeetable, RetryAt: retryAt(as, now)}
	case as.Slots <= 0 || as.running() < ga.Limit(as.Class, as.Slots) && as.Queued == 0:
		return Decision{Verdict: Admit}
	case as.Class == config.Urgent || as.QueueLimit <= 0:
		return Decision{Verdict: Admit}
	case as.Queued >= as.QueueLimit:
		return Decision{Verdict: Refuse, Reason: refuse.QueueFull, RetryAt: as.Finish}
	default:
		return Decision{Verdict: Wait}
	}
}

// Limit returns how many of the slots the class may fill. Every class may use
// at least one.
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

func (ga Gate) unmeetable(as Ask, now time.Time) bool {
	return as.Known && (ga.late(as.Finish, as.Deadline, now) || ga.late(as.FirstToken, as.FirstBy, now))
}

func (ga Gate) late(expected, deadline, now time.Time) bool {
	delay := time.Duration(float64(expected.Sub(now)) * (1 - ga.tolerance))
	return !deadline.IsZero() && now.Add(delay).After(deadline)
}

// retryAt returns when the expected delay will have fallen by what the request
// is late.
func retryAt(as Ask, now time.Time) time.Time {
	late := time.Duration(0)
	if !as.Deadline.IsZero() {
		late = max(late, as.Finish.Sub(as.Deadline))
	}
	if !as.FirstBy.IsZero() {
		late = max(late, as.FirstToken.Sub(as.FirstBy))
	}
	return now.Add(late)
}
