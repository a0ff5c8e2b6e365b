package direct

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

const (
	// maxTimedOutDials bounds the dials of one request that time out while the link is
	// congested. Another router can serve the request.
	maxTimedOutDials = 2
	// maxLinkRetryDelay bounds the delay after which the caller may retry a request at
	// another router.
	maxLinkRetryDelay = 100 * time.Millisecond
	// congestedSilenceFactor is the multiple of the silence timeout that applies while
	// the link is congested: responses wait on the link, and another send would add to
	// its load.
	congestedSilenceFactor = 3
)

// Values of the label kind of timeouts that are not held against an upstream.
const (
	kindDial    = "dial"
	kindSilence = "silence"
)

// WithLink sets the link of the router, which decides on requests before their bodies
// are read. The default is none.
func WithLink(li *shed.Link) Option { return func(op *options) { op.link = li } }

// WithCongestion sets what tells whether the router's own link is congested. A timeout
// is then not held against its upstream. The default is never.
func WithCongestion(congested func(now time.Time) bool) Option {
	return func(op *options) { op.congested = congested }
}

// Admit decides on a request whose body has not been read. bodyLength is the announced
// size in bytes, or -1. It refuses the request if its bytes would wait on the link for
// too long. What else is wrong with the request is found when it is served.
func (se *Service) Admit(info proxy.RequestInfo, bodyLength int64, now time.Time) *refuse.Refusal {
	if se.opts.link == nil {
		return nil
	}
	rn := &run{se: se, info: info, conf: se.view.Config()}
	var ok bool
	if rn.route, ok = rn.conf.Route(info.Host, info.Path); !ok {
		return nil
	}
	rn.account, _ = rn.conf.AccountByKey(info.Key)
	rn.deadline = deadlineOf(info, rn.route)
	de := shed.Demand{Route: rn.route.Name, Account: rn.account.Name, Rank: rn.urgency(), Body: bodyLength, Deadline: rn.deadline}
	if rn.route.LatencyGoal > 0 {
		de.Goal = info.Arrived.Add(rn.route.LatencyGoal)
	}
	dn := se.opts.link.Admit(de, now)
	if dn.Admitted {
		return nil
	}
	re := refuse.New(refuse.LinkBusy, "the request would wait %s on the link of the router, at most %s fit its latency goal",
		dn.Wait.Round(time.Millisecond), dn.Limit.Round(time.Millisecond)).WithRetryAt(dn.RetryAt)
	se.opts.meter.Count("requests", "outcome", string(re.Outcome), 1)
	se.opts.meter.Log(evRefused, rn.attrs(slog.String("reason", string(re.Reason)), slog.String("outcome", string(re.Outcome)),
		slog.String("detail", re.Detail), slog.Int64("body", bodyLength))...)
	return re
}

// congested reports whether the router's own link is congested.
func (se *Service) congested() bool { return se.opts.congested(se.opts.clock.Now()) }

// recordTimeout records that an upstream did not respond in time, unless the router's
// own link can have caused that.
func (se *Service) recordTimeout(ep *place.Endpoint, kind string) {
	repeated := false
	if li := se.opts.link; li != nil {
		repeated = li.TimedOut(ep.Address, se.opts.clock.Now())
	}
	if !repeated && se.congested() {
		se.opts.meter.Count("timeoutsNotHeld", "kind", kind, 1)
		return
	}
	ep.Failed(se.opts.clock.Now())
}

// recordFailed records a failed send to an upstream.
func (se *Service) recordFailed(ep *place.Endpoint, err error) {
	if !errors.Is(err, proxy.ErrNoConnection) {
		ep.Failed(se.opts.clock.Now())
		return
	}
	se.opts.meter.Count("dialTimeouts", "", "", 1)
	se.recordTimeout(ep, kindDial)
}

// linkRefusal returns the refusal for a request whose dials time out on a congested
// link, or nil.
func (rn *run) linkRefusal() *refuse.Refusal {
	if rn.timedOutDials < maxTimedOutDials || rn.runs.Load() > 0 || !rn.se.congested() {
		return nil
	}
	return refuse.New(refuse.LinkBusy, "%d connections could not be opened in time while the link of the router is congested", rn.timedOutDials).
		WithRetryAt(rn.se.opts.clock.Now().Add(rand.N(maxLinkRetryDelay)))
}

// recordResponse records the size of a complete response.
func (rn *run) recordResponse(took time.Duration) {
	if li := rn.se.opts.link; li != nil {
		li.Responded(rn.route.Name, rn.bytesSent, took)
	}
}
