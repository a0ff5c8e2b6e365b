package fleet

import (
	"log/slog"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/app/gate"
	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

const (
	// maxDraws is the number of connected candidates that are considered before a
	// request is queued or refused.
	maxDraws = 3
	// maxSkips bounds the number of candidates that are skipped because their link
	// is not connected.
	maxSkips = 16
)

// Pick decides whether the demand is dispatched now, and to which upstream. Before
// it queues or refuses the request, it considers further candidates and excludes
// those considered before; otherwise a full upstream that caches the prefix would
// be chosen each time.
func (fl *Fleet) Pick(de gate.Demand, now time.Time) (front.Target, admit.Decision) {
	rd := fl.demand(de, now)
	linked := fl.upstreams.Load()
	draws, decision := maxDraws, admit.Decision{}
	if keyed(de) {
		// Another upstream might run the request a second time.
		draws = 1
	}
	drawn := 0
	for skipped := 0; drawn < draws && skipped < maxSkips; {
		ca, ok := fl.choose(de, rd, now)
		if !ok {
			break
		}
		lu := linked[ca.ID()]
		if lu != nil && lu.link.Connected() && lu.acquire() {
			drawn++
			if decision = fl.decide(ca, de, rd, now); decision.Verdict == admit.Admit {
				return fl.target(lu, de, rd, now), decision
			}
			lu.release()
		} else {
			skipped++
		}
		rd.Tried = rd.Tried.With(ca.ID(), "")
	}
	if drawn == 0 {
		return front.Target{}, fl.decideWithoutUpstream(de, rd, now)
	}
	return front.Target{}, decision
}

// decide returns the admission decision for the candidate.
func (fl *Fleet) decide(ca *route.Candidate, de gate.Demand, rd route.Demand, now time.Time) admit.Decision {
	ol := fl.tracker.OwnLoad(ca.ID())
	es := route.EstimateAt(ca.WithOwnLoad(ol), rd, now)
	ld := ca.Load()
	rq := admit.Request{
		Class: de.Class, Deadline: de.Deadline, Known: es.Known, FirstToken: es.FirstToken, Finish: es.Finish,
		Slots: ld.Slots, Running: es.Requests, SentSinceReport: ol.UnreportedRequests, RouterCount: ld.Routers,
		Queued: de.Queued, QueueLimit: de.QueueLimit,
	}
	if keyed(de) {
		// The request queues at the only upstream that may know its key.
		rq.QueueLimit = 0
	}
	decision := fl.admission.Decide(rq, now)
	// A batch request may still get a slot in time although the upstreams are busy
	// now.
	if decision.Reason == refuse.DeadlineUnmeetable && de.WaitUntilLatestStart && now.Before(fl.LatestStart(de)) {
		return admit.Decision{Verdict: admit.Wait}
	}
	return decision
}

// decideWithoutUpstream returns the decision if no upstream is usable: until its
// latest start the request waits for one to become usable, unless all are in closed
// failure domains.
func (fl *Fleet) decideWithoutUpstream(de gate.Demand, rd route.Demand, now time.Time) admit.Decision {
	items := fl.view.Load().Pool(rd).Items
	allClosed := len(items) > 0 && !slices.ContainsFunc(items, func(ca *route.Candidate) bool { return !ca.Closed() })
	if !allClosed && now.Before(fl.LatestStart(de)) {
		return admit.Decision{Verdict: admit.Wait}
	}
	return admit.Decision{Verdict: admit.Refuse, Reason: refuse.NoUpstream}
}

// demand returns the demand for the routing policy, with a hint for the prefix.
func (fl *Fleet) demand(de gate.Demand, now time.Time) route.Demand {
	rd := route.Demand{
		Model: modelOf(de), Class: de.Class, Prompt: promptEstimate(de), Output: de.Output, Tried: de.Tried,
	}
	if de.Kind == config.Engine {
		rd.Hint = fl.prefixes.Lookup(de.Prefixes, now)
	}
	return rd
}

// promptEstimate returns the estimate of the prompt tokens that comes with the
// prefixes, or else the upper bound that is reserved.
func promptEstimate(de gate.Demand) ident.Tokens {
	if cnt := len(de.Prefixes); cnt > 0 {
		return de.Prefixes[cnt-1].Tokens
	}
	return de.Prompt
}

// keyed reports whether all routers send the request to the same upstream, so that
// a retry finds the run that the first attempt started.
func keyed(de gate.Demand) bool { return de.Key != "" && de.Kind == config.Engine }

// choose returns the next candidate for the demand.
func (fl *Fleet) choose(de gate.Demand, rd route.Demand, now time.Time) (*route.Candidate, bool) {
	po := fl.view.Load().Pool(rd)
	if !keyed(de) {
		ca, ok := fl.policy.Choose(po, rd, now)
		if !ok && de.Kind == config.Plain {
			return lastResort(po, rd)
		}
		return ca, ok
	}
	var members []route.Member
	for _, ca := range po.Items {
		if ca.Usable(now) && !rd.Tried.Upstream(ca.ID()) {
			members = append(members, route.Member{Upstream: ca.ID(), Domain: ca.Domain()})
		}
	}
	best := route.Subset(ident.VM(string(de.Account)+"/"+string(de.Key)), members, 1)
	for _, ca := range po.Items {
		if len(best) == 1 && ca.ID() == best[0] {
			return ca, true
		}
	}
	return nil, false
}

// lastResort returns the candidate whose suspect time ends first. A plain service
// has few processes: after a failed call at each of them, all calls would be
// refused although the processes can be reached.
func lastResort(po route.Pool[*route.Candidate], rd route.Demand) (*route.Candidate, bool) {
	var best *route.Candidate
	for _, ca := range po.Items {
		if ca.Leaving() || ca.Closed() || rd.Tried.Upstream(ca.ID()) {
			continue
		}
		if best == nil || ca.SuspectUntil().Before(best.SuspectUntil()) {
			best = ca
		}
	}
	return best, best != nil
}

// target counts the request at the upstream until Done and returns the target.
func (fl *Fleet) target(lu *linkedUpstream, de gate.Demand, rd route.Demand, now time.Time) front.Target {
	ti := fl.tracker.Sent(lu.up.ID, rd)
	if de.Kind == config.Engine {
		fl.prefixes.RecordPrompt(lu.up.ID, de.Prefixes, now)
	}
	return front.Target{
		Upstream: lu.up,
		Sidecar:  lu.link,
		Done: func(ar front.AttemptResult) {
			fl.tracker.Done(ti)
			lu.release()
			fl.recordOutcome(lu, ar)
		},
	}
}

// recordOutcome applies the refusal of an attempt to the upstream. After a failure
// the upstream is suspect until it reports again or the suspect time ends. After a
// refusal because it is leaving, it receives no new requests.
func (fl *Fleet) recordOutcome(lu *linkedUpstream, ar front.AttemptResult) {
	if ar.Refusal == nil {
		return
	}
	id := lu.up.ID
	switch ar.Refusal.Reason {
	case refuse.LinkLost, refuse.Unreachable, refuse.UpstreamFailed, refuse.TimedOut:
	case refuse.Leaving:
		lu.markLeaving()
		fl.view.Update(func(vi route.View) (route.View, bool) {
			ca, ok := vi.Get(id)
			return vi.With(ca.WithLeaving(true)), ok
		})
		return
	default:
		return
	}
	until := fl.clk.Now().Add(fl.suspectTime)
	fl.view.Update(func(vi route.View) (route.View, bool) {
		ca, ok := vi.Get(id)
		return vi.With(ca.WithSuspect(until)), ok
	})
	fl.prefixes.Forget(id)
	fl.met.Log(evSuspect, slog.String("upstream", string(id)), slog.String("reason", string(ar.Refusal.Reason)))
}
