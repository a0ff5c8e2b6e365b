package fleet

import (
	"log/slog"
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
	// chances is how often candidates are drawn before a request is queued or
	// refused.
	chances = 3
	// maxSkips bounds the draws that are dropped because the link is down.
	maxSkips = 16
)

// Pick decides about the demand. It draws again before it queues or refuses,
// without the upstreams that it drew before: otherwise a full upstream that
// caches the prefix is chosen each time.
func (fl *Fleet) Pick(de gate.Demand, now time.Time) (front.Target, admit.Decision) {
	rd := fl.demand(de, now)
	nodes := fl.nodes.Load()
	draws, decision := chances, admit.Decision{}
	if keyed(de) {
		// Another upstream could run the request a second time.
		draws = 1
	}
	drawn := 0
	for skipped := 0; drawn < draws && skipped < maxSkips; {
		ca, ok := fl.choose(de, rd, now)
		if !ok {
			break
		}
		no := nodes[ca.ID()]
		if no != nil && no.link.Connected() && no.use() {
			drawn++
			if decision = fl.decide(ca, de, rd, now); decision.Verdict == admit.Admit {
				return fl.target(no, de, rd, now), decision
			}
			no.release()
		} else {
			skipped++
		}
		rd.Tried = rd.Tried.With(ca.ID(), "")
	}
	if drawn == 0 {
		return front.Target{}, fl.none(de, now)
	}
	return front.Target{}, decision
}

func (fl *Fleet) decide(ca *route.Candidate, de gate.Demand, rd route.Demand, now time.Time) admit.Decision {
	ow := fl.tracker.Own(ca.ID())
	es := route.EstimateAt(ca.WithOwn(ow), rd, now)
	ld := ca.Load()
	as := admit.Ask{
		Class: de.Class, Deadline: de.Deadline, Known: es.Known, FirstToken: es.FirstToken, Finish: es.Finish,
		Slots: ld.Slots, Running: es.Requests, Sent: ow.SentRequests, Peers: ld.Routers,
		Queued: de.Queued, QueueLimit: de.QueueLimit,
	}
	if keyed(de) {
		// It waits at the one upstream where its key may be known.
		as.QueueLimit = 0
	}
	decision := fl.rule.Decide(as, now)
	// Batch work whose upstreams are busy now may still find a slot in time.
	if decision.Reason == refuse.DeadlineUnmeetable && de.Patient && now.Before(fl.LatestStart(de)) {
		return admit.Decision{Verdict: admit.Wait}
	}
	return decision
}

// none returns the decision when no upstream is usable: the request waits for
// one to return while it can still be on time.
func (fl *Fleet) none(de gate.Demand, now time.Time) admit.Decision {
	if now.Before(fl.LatestStart(de)) {
		return admit.Decision{Verdict: admit.Wait}
	}
	return admit.Decision{Verdict: admit.Refuse, Reason: refuse.NoUpstream}
}

func (fl *Fleet) demand(de gate.Demand, now time.Time) route.Demand {
	rd := route.Demand{
		Model: modelOf(de), Class: de.Class, Prompt: promptEstimate(de), Output: de.Output, Tried: de.Tried,
	}
	if de.Kind == config.Engine {
		rd.Hint = fl.prefixes.Lookup(de.Prefixes, now)
	}
	return rd
}

// promptEstimate prefers the estimate that comes with the prefixes to the
// upper bound that is reserved.
func promptEstimate(de gate.Demand) ident.Tokens {
	if cnt := len(de.Prefixes); cnt > 0 {
		return de.Prefixes[cnt-1].Tokens
	}
	return de.Prompt
}

// keyed reports whether the work goes to the same upstream from every router,
// so that a retry finds the run that its first attempt started.
func keyed(de gate.Demand) bool { return de.Key != "" && de.Kind == config.Engine }

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

// lastResort returns the suspect whose suspicion ends first. A plain service has
// few processes: after a failed call at each, all calls would be refused although
// the processes can be reached.
func lastResort(po route.Pool[*route.Candidate], rd route.Demand) (*route.Candidate, bool) {
	var best *route.Candidate
	for _, ca := range po.Items {
		if ca.Leaving() || rd.Tried.Upstream(ca.ID()) {
			continue
		}
		if best == nil || ca.SuspectUntil().Before(best.SuspectUntil()) {
			best = ca
		}
	}
	return best, best != nil
}

func (fl *Fleet) target(no *node, de gate.Demand, rd route.Demand, now time.Time) front.Target {
	ti := fl.tracker.Sent(no.up.ID, rd)
	if de.Kind == config.Engine {
		fl.prefixes.Remember(no.up.ID, de.Prefixes, now)
	}
	return front.Target{
		Upstream: no.up,
		Sidecar:  no.link,
		Done: func(ve front.Verdict) {
			fl.tracker.Done(ti)
			no.release()
			fl.judge(no, ve)
		},
	}
}

// judge avoids an upstream after its link failed, until it reports again or the
// suspect time ends.
func (fl *Fleet) judge(no *node, ve front.Verdict) {
	if ve.Refusal == nil {
		return
	}
	id := no.up.ID
	switch ve.Refusal.Reason {
	case refuse.LinkLost, refuse.Unreachable, refuse.UpstreamFailed, refuse.TimedOut:
	case refuse.Leaving:
		no.leave()
		fl.view.Update(func(vi route.View) (route.View, bool) {
			ca, ok := vi.Get(id)
			return vi.With(ca.WithLeaving(true)), ok
		})
		return
	default:
		return
	}
	until := fl.clk.Now().Add(fl.suspect)
	fl.view.Update(func(vi route.View) (route.View, bool) {
		ca, ok := vi.Get(id)
		return vi.With(ca.WithSuspect(until)), ok
	})
	fl.prefixes.Forget(id)
	fl.met.Log(evSuspect, slog.String("upstream", string(id)), slog.String("reason", string(ve.Refusal.Reason)))
}
