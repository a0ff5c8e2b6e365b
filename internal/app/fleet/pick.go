package fleet

import (
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

// maxPicks bounds the choices that are dropped because their link is down.
const maxPicks = 8

// Pick returns an upstream whose expected finish meets the demand's deadline.
func (fl *Fleet) Pick(de front.Demand, now time.Time) (front.Target, error) {
	rd := fl.demand(de, now)
	nodes := fl.nodes.Load()
	for range maxPicks {
		ca, ok := fl.choose(de, rd, now)
		if !ok {
			break
		}
		no := nodes[ca.ID()]
		if no == nil || !no.link.Connected() || !no.use() {
			rd.Tried = rd.Tried.With(ca.ID(), ca.Domain())
			continue
		}
		if es := route.EstimateAt(ca.WithOwn(fl.tracker.Own(ca.ID())), rd, now); es.Known && es.Finish.After(de.Deadline) {
			no.release()
			return front.Target{}, refuse.New(refuse.DeadlineUnmeetable,
				"the expected finish is %s after the deadline", es.Finish.Sub(de.Deadline).Round(time.Millisecond)).WithRetryAt(es.Start)
		}
		return fl.target(no, de, rd, now), nil
	}
	return front.Target{}, refuse.New(refuse.NoUpstream, "no usable upstream for %s is connected", rd.Model)
}

func (fl *Fleet) demand(de front.Demand, now time.Time) route.Demand {
	rd := route.Demand{
		Model: de.Model, Class: de.Class, Prompt: promptEstimate(de), Output: de.MaxTokens, Tried: de.Tried,
	}
	if de.Kind == config.Plain {
		rd.Model = serviceModel(de.Service)
		return rd
	}
	rd.Hint = fl.prefixes.Lookup(de.Prefixes, now)
	return rd
}

// promptEstimate prefers the estimate that comes with the prefixes to the
// upper bound that is reserved.
func promptEstimate(de front.Demand) ident.Tokens {
	if cnt := len(de.Prefixes); cnt > 0 {
		return de.Prefixes[cnt-1].Tokens
	}
	return de.Prompt
}

// choose sends work with an idempotency key to the same upstream from every
// router, so that a retry finds the run that its first attempt started.
func (fl *Fleet) choose(de front.Demand, rd route.Demand, now time.Time) (*route.Candidate, bool) {
	po := fl.view.Load().Pool(rd)
	if de.Key == "" || de.Kind != config.Engine {
		return fl.policy.Choose(po, rd, now)
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

func (fl *Fleet) target(no *node, de front.Demand, rd route.Demand, now time.Time) front.Target {
	ti := fl.tracker.Sent(no.up.ID, rd)
	if de.Kind == config.Engine {
		fl.prefixes.Remember(no.up.ID, de.Prefixes, now)
	}
	var once sync.Once
	return front.Target{
		Upstream: no.up,
		Sidecar:  no.link,
		Done: func(ve front.Verdict) {
			once.Do(func() {
				fl.tracker.Done(ti)
				no.release()
				fl.judge(no.up.ID, ve)
			})
		},
	}
}

// judge avoids an upstream for a while after its link failed.
func (fl *Fleet) judge(id ident.Upstream, ve front.Verdict) {
	if ve.Refusal == nil {
		return
	}
	switch ve.Refusal.Reason {
	case refuse.LinkLost, refuse.Unreachable, refuse.UpstreamFailed, refuse.TimedOut:
	case refuse.Leaving:
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
	fl.met.Log(evSuspect, slog.String("upstream", string(id)), slog.String("reason", string(ve.Refusal.Reason)))
}
