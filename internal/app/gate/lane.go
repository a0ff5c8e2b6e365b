package gate

import (
	"context"
	"sync"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

// laneKey names the upstreams that requests compete for.
type laneKey struct {
	kind    config.Kind
	model   ident.Model
	service ident.Service
}

// work is a request on its way to an upstream.
type work struct {
	rq front.Request
	// class is the class in which the request is served.
	class config.Class
	tried route.Tried
}

// placement is the end of a wait: a target or a refusal.
type placement struct {
	target  front.Target
	refusal *refuse.Refusal
}

// waiter is queued work. Its verdict is sent exactly once.
type waiter struct {
	work
	verdict chan placement
}

// lane is the admission to one model or service.
type lane struct {
	ga    *Gate
	key   laneKey
	fair  *admit.Fair[claim]
	queue *admit.Queue[*waiter]
	// mu makes the look at the next entry and its placement one step.
	mu sync.Mutex
}

func newLane(ga *Gate, key laneKey) *lane {
	return &lane{
		ga: ga, key: key, fair: admit.NewFair[claim](),
		queue: admit.NewQueue[*waiter](admit.WithCapacity(max(1, ga.queue))),
	}
}

func (la *lane) demand(wo work, queued int) Demand {
	rq := wo.rq
	return Demand{
		Kind: rq.Kind, Model: rq.Model, Service: rq.Service, Class: wo.class,
		Patient: rq.Class == config.Batch, Prompt: rq.Prompt, Output: la.ga.expected(rq),
		Prefixes: rq.Prefixes, Deadline: rq.Deadline, Account: rq.Account.ID, Key: rq.Key,
		Tried: wo.tried, Queued: queued, QueueLimit: la.ga.queue,
	}
}

func (la *lane) place(ctx context.Context, wo work, tu front.Turn) (front.Target, error) {
	queued := 0
	switch {
	case la.ga.queue == 0:
	case tu == front.Return:
		return la.wait(ctx, wo)
	case tu == front.First && la.over(wo.rq):
		if wo.class == config.Urgent {
			wo.class = config.Normal
		}
		return la.wait(ctx, wo)
	case tu == front.First:
		queued = la.queue.Len()
	}
	ta, de := la.pick(wo, queued)
	switch {
	case de.Verdict == admit.Admit:
		return ta, nil
	case de.Verdict == admit.Wait && tu != front.Hedge && la.ga.queue > 0:
		return la.wait(ctx, wo)
	default:
		return front.Target{}, la.refusal(de)
	}
}

func (la *lane) refusal(de admit.Decision) *refuse.Refusal {
	switch {
	case de.Verdict == admit.Wait:
		return refuse.New(refuse.Busy, "no upstream has room now")
	case de.Reason == refuse.NoUpstream:
		return refuse.New(de.Reason, "no usable upstream for %s%s is connected", la.key.model, la.key.service)
	case de.Reason == refuse.DeadlineUnmeetable:
		return refuse.New(de.Reason, "the expected finish is after the deadline").WithRetryAt(de.RetryAt)
	default:
		return refuse.New(de.Reason, "%d requests wait already", la.queue.Len()).WithRetryAt(de.RetryAt)
	}
}

// over reports whether the request exceeds the share of its account and class.
func (la *lane) over(rq front.Request) bool {
	share := la.ga.fleet.Share(Demand{Kind: rq.Kind, Model: rq.Model, Service: rq.Service})
	return share > 0 && la.fair.Over(claimOf(rq), share)
}

// pick places the work now if the fleet admits it. Only dispatched work counts
// towards the share of its account and class.
func (la *lane) pick(wo work, queued int) (front.Target, admit.Decision) {
	ta, de := la.ga.fleet.Pick(la.demand(wo, queued), la.ga.clk.Now())
	if de.Verdict != admit.Admit {
		return front.Target{}, de
	}
	rq, done := wo.rq, ta.Done
	la.fair.Enter(claimOf(rq))
	ta.Done = func(ve front.Verdict) {
		la.fair.Leave(claimOf(rq))
		la.ga.learn(rq, ve)
		done(ve)
		la.advance()
	}
	return ta, de
}

func (la *lane) wait(ctx context.Context, wo work) (front.Target, error) {
	wa := &waiter{work: wo, verdict: make(chan placement, 1)}
	displaced, ok := la.queue.Push(admit.Entry[*waiter]{
		Item: wa, Account: wo.rq.Account.ID, Class: wo.class, Deadline: wo.rq.Deadline,
		LatestStart: la.ga.fleet.LatestStart(la.demand(wo, 0)),
	})
	for _, en := range displaced {
		en.Item.verdict <- placement{refusal: refuse.New(refuse.QueueFull, "displaced from the full queue by more urgent work")}
	}
	if !ok {
		return front.Target{}, refuse.New(refuse.QueueFull, "%d requests wait already", la.queue.Len())
	}
	la.ga.met.Count("queued", "class", string(wo.rq.Class), 1)
	// A place may have become free between the decision and the push.
	la.advance()
	select {
	case pt := <-wa.verdict:
		return pt.result()
	case <-ctx.Done():
		return la.giveUp(wa)
	}
}

func (pt placement) result() (front.Target, error) {
	if pt.refusal != nil {
		return front.Target{}, pt.refusal
	}
	return pt.target, nil
}

// giveUp ends the wait of a request whose time is over. If it was placed at the
// same moment, its place goes to the next one.
func (la *lane) giveUp(wa *waiter) (front.Target, error) {
	if !la.queue.Remove(func(it *waiter) bool { return it == wa }) {
		pt := <-wa.verdict
		if pt.refusal != nil {
			return pt.result()
		}
		pt.target.Done(front.Verdict{})
	}
	return front.Target{}, refuse.New(refuse.DeadlinePassed, "the deadline passed in the queue")
}

// advance places queued requests while an upstream has room for the next one.
func (la *lane) advance() {
	if la.queue.Len() == 0 {
		return
	}
	la.mu.Lock()
	defer la.mu.Unlock()
	for {
		var ta front.Target
		var de admit.Decision
		next, ok, expired := la.queue.PopIf(la.ga.clk.Now(), func(en admit.Entry[*waiter]) bool {
			wo := en.Item.work
			wo.class = en.Class
			ta, de = la.pick(wo, 0)
			return de.Verdict != admit.Wait
		})
		for _, ex := range expired {
			ex.Item.verdict <- placement{refusal: refuse.New(refuse.DeadlineUnmeetable, "the latest start passed in the queue")}
		}
		switch {
		case !ok:
			return
		case de.Verdict == admit.Admit:
			next.Item.verdict <- placement{target: ta}
		default:
			next.Item.verdict <- placement{refusal: la.refusal(de)}
		}
	}
}
