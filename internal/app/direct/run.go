package direct

import (
	"context"
	"errors"
	"hash/maphash"
	"log/slog"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/hop"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evServed  = meter.Event{Number: 1301, Level: slog.LevelInfo, Text: "request served"}
	evRefused = meter.Event{Number: 1302, Level: slog.LevelInfo, Text: "request not served"}
	evAttempt = meter.Event{Number: 1303, Level: slog.LevelInfo, Text: "attempt failed"}
)

const (
	// maxSends bounds the sends of one request, including those that did not
	// reach the upstream or that it refused.
	maxSends = 5
	// refusalPause is the time after which a refused request may come again.
	// An engine frees a place about every 50 ms.
	refusalPause = 250 * time.Millisecond
	// leavePause is the time after which a request that a leaving router refused
	// may come again, at another router.
	leavePause = 20 * time.Millisecond
	// lastCall is how long before the end of the process a plain request is
	// still taken. It takes about 30 ms, and five times that one in a hundred.
	lastCall = time.Second
	// maxUrgency is the least urgent rank that engines know.
	maxUrgency = 9
	// ranksPerAccount is the number of route priorities within one rank of
	// accounts.
	ranksPerAccount = 3
)

// run is the state of one request. It belongs to one goroutine.
type run struct {
	se   *Service
	ask  hop.Ask
	rq   hop.Request
	rp   hop.Reply
	conf intent.Config

	route    intent.Route
	service  intent.Service
	account  intent.Account
	deadline time.Time
	demand   place.Demand

	begun bool
	// delivered says that the caller got a part of an answer that is no failure
	// of the upstream.
	delivered bool
	// sends counts the sends, runs those that the upstream may have worked on.
	sends, runs int
	// last is the last event that was delivered, events how many were.
	last   int64
	events int64
	first  time.Duration
	// upstream is the last one that was chosen, with the requests that it was
	// believed to have and the prompt tokens that it was to read.
	upstream ident.Upstream
	occupied int
	unread   ident.Tokens
	// charged is what the account pays.
	charged ident.Tokens
	status  int
}

// check finds the route and the account of the request.
func (rn *run) check() *refuse.Refusal {
	if rn.conf.Revision() == 0 {
		return refuse.New(refuse.NotReady, "no routing intent is in force").WithRetryAt(rn.ask.Arrived.Add(refusalPause))
	}
	var ok bool
	if rn.route, ok = rn.conf.Route(rn.ask.Host, rn.ask.Path); !ok {
		return refuse.New(refuse.UnknownService, "no route for this host and path")
	}
	if rn.se.tooLate(rn.route, rn.ask.Arrived) {
		return refuse.New(refuse.Leaving, "the router is leaving").WithRetryAt(rn.ask.Arrived.Add(leavePause))
	}
	if !rn.conf.Open() && !rn.route.Anonymous {
		if rn.account, ok = rn.conf.Holder(rn.ask.Key); !ok {
			return refuse.New(refuse.Unauthorized, "the key is missing or unknown")
		}
	}
	name := rn.route.Choose(maphash.String(rn.se.seed, string(rn.ask.ID)))
	if rn.service, ok = rn.conf.Service(name); !ok {
		rn.service = intent.Service{Name: name}
	}
	rn.deadline = deadlineOf(rn.ask, rn.route)
	rn.demand = place.Demand{Domain: rn.se.opts.domain}
	if pr := rn.ask.Prompt; pr != nil {
		rn.demand.Prompt = place.Prompt{Input: pr.Input}
		// The last part belongs to this request alone.
		for _, pa := range pr.Parts[:max(0, len(pr.Parts)-1)] {
			rn.demand.Prompt = rn.demand.Prompt.WithPart(pa.ID, pa.Tokens)
		}
	}
	return nil
}

func (rn *run) reserve(ctx context.Context) (budget.Hold, *refuse.Refusal) {
	if rn.ask.Prompt == nil || !rn.account.Metered {
		return budget.Hold{}, nil
	}
	rf := ident.BudgetRef{Account: rn.account.Name, Budget: Prepaid}
	hold, err := rn.se.purse.Reserve(ctx, rf, rn.ask.Prompt.Worst(), rn.se.opts.weight)
	if err != nil {
		return budget.Hold{}, refuse.From(err)
	}
	return hold, nil
}

// settle charges the prompt once if any part of an answer was delivered, and
// the tokens of the events that were. A request that failed without one is free,
// because the caller's next try is charged.
func (rn *run) settle(hold budget.Hold) {
	if !rn.delivered {
		hold.Release()
		return
	}
	if pr := rn.ask.Prompt; pr != nil {
		output := ident.Tokens(rn.events) * max(1, rn.service.EventTokens)
		rn.charged = pr.Input + min(output, pr.MaxOutput)
		hold.Settle(rn.charged)
	}
}

// serve sends the request until it is answered or may not be sent again.
func (rn *run) serve(ctx context.Context) *refuse.Refusal {
	retries := rn.se.allowance(rn.service.Name)
	retries.First()
	for {
		st, unread := rn.choose()
		if st == nil {
			return rn.unavailable("no upstream is available")
		}
		rn.upstream, rn.unread = st.ID, unread
		rn.occupied = st.Occupied(rn.se.opts.clock.Now())
		err := rn.attempt(ctx, st, unread)
		if err == nil {
			return nil
		}
		var done *refuse.Refusal
		if errors.As(err, &done) {
			return done
		}
		rn.se.opts.meter.Log(evAttempt, rn.attrs(slog.String("error", err.Error()))...)
		if re := rn.again(ctx, err, retries); re != nil {
			return re
		}
		rn.demand.Tried = append(rn.demand.Tried, st.ID)
	}
}

// again decides whether the request is sent once more after err. It returns
// nil if it is.
func (rn *run) again(ctx context.Context, err error, retries Retries) *refuse.Refusal {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return refuse.New(refuse.Cancelled, "the caller has left").WithOutcome(rn.outcome())
	case ctx.Err() != nil:
		return rn.late()
	case rn.runs > 0 && !rn.route.Repeatable():
		return refuse.New(refuse.UpstreamFailed, "%v", err)
	case rn.runs >= rn.route.Attempts:
		return refuse.New(refuse.UpstreamFailed, "%v, after %d attempts", err, rn.runs)
	case rn.sends >= maxSends:
		return rn.unavailable("%v, after %d sends", err, rn.sends)
	case !errors.Is(err, hop.ErrNotSent) && !retries.Take():
		return rn.unavailable("%v, and the retry allowance is used up", err)
	}
	rn.se.opts.meter.Count("retries", "reason", reasonOf(err), 1)
	return nil
}

// unavailable refuses a request. It is a promise only as long as no upstream
// may have worked on it.
func (rn *run) unavailable(format string, args ...any) *refuse.Refusal {
	if rn.runs > 0 {
		return refuse.New(refuse.UpstreamFailed, format, args...)
	}
	return refuse.New(refuse.NoUpstream, format, args...).WithRetryAt(rn.se.opts.clock.Now().Add(refusalPause))
}

func (rn *run) late() *refuse.Refusal {
	if rn.runs > 0 {
		return refuse.New(refuse.TimedOut, "no whole answer arrived in time")
	}
	return refuse.New(refuse.DeadlinePassed, "the time was over before an upstream took the request")
}

func (rn *run) outcome() refuse.Outcome {
	if rn.runs > 0 {
		return refuse.Unknown
	}
	return refuse.NotRun
}

// choose returns the upstream for the next send and the prompt tokens that it
// probably has to read.
func (rn *run) choose() (*place.Station, ident.Tokens) {
	list := rn.se.belief.Upstreams().Service(rn.service.Name)
	now := rn.se.opts.clock.Now()
	if rn.ask.Prompt != nil {
		return rn.se.engines.Choose(list, rn.demand, now)
	}
	return rn.se.plain.Choose(list, rn.demand, now), 0
}

// urgency ranks the request for engines: the account's priority goes before
// that of the route.
func (rn *run) urgency() int {
	return min(maxUrgency, rn.account.Priority*ranksPerAccount+min(rn.route.Priority, ranksPerAccount-1))
}

func (rn *run) report(re *refuse.Refusal) {
	me := rn.se.opts.meter
	took := rn.se.opts.clock.Now().Sub(rn.ask.Arrived)
	me.Observe("requestTime", "route", string(rn.route.Kind), took)
	if re == nil {
		me.Count("requests", "outcome", "served", 1)
		me.Log(evServed, rn.attrs(slog.Int("status", rn.status), slog.Duration("took", took),
			slog.Duration("first", rn.first), slog.Int64("events", rn.events))...)
		return
	}
	me.Count("requests", "outcome", string(re.Outcome), 1)
	me.Count("refusals", "reason", string(re.Reason), 1)
	me.Log(evRefused, rn.attrs(slog.String("reason", string(re.Reason)), slog.String("outcome", string(re.Outcome)),
		slog.String("detail", re.Detail), slog.Duration("took", took), slog.Int64("events", rn.events))...)
}

// attrs returns what every record about the request carries.
func (rn *run) attrs(more ...slog.Attr) []slog.Attr {
	left := time.Duration(0)
	if !rn.deadline.IsZero() {
		left = rn.deadline.Sub(rn.se.opts.clock.Now())
	}
	at := []slog.Attr{
		slog.String("request", string(rn.ask.ID)), slog.String("route", rn.route.Name),
		slog.String("account", string(rn.account.Name)), slog.String("service", string(rn.service.Name)),
		slog.Uint64("revision", uint64(rn.conf.Revision())), slog.Int("sends", rn.sends), slog.Int("runs", rn.runs),
		slog.Int64("charged", int64(rn.charged)),
		slog.Duration("left", left), slog.String("upstream", string(rn.upstream)),
		slog.Int("occupied", rn.occupied), slog.Int64("unread", int64(rn.unread)),
	}
	return append(at, more...)
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, hop.ErrNotSent):
		return string(refuse.Unreachable)
	case errors.Is(err, hop.ErrNotRun):
		return string(refuse.Rejected)
	default:
		return string(refuse.UpstreamFailed)
	}
}
