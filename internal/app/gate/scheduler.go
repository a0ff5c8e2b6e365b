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

// schedulerKey identifies the upstreams that requests compete for.
type schedulerKey struct {
	kind    config.Kind
	model   ident.Model
	service ident.Service
}

// pendingRequest is a request that has no upstream yet.
type pendingRequest struct {
	request front.Request
	// class is the class in which the request is served.
	class config.Class
	tried route.Tried
}

// placement is the result of a wait: a target or a refusal.
type placement struct {
	target  front.Target
	refusal *refuse.Refusal
}

// waiter is a queued request. Its outcome is sent once, unless the request is
// removed from the queue because its context ended.
type waiter struct {
	pendingRequest
	outcome chan placement
}

// scheduler places the requests for one model or service, with fair shares of the
// client accounts and a bounded queue.
type scheduler struct {
	ga    *Gate
	key   schedulerKey
	fair  *admit.FairShares[accountClass]
	queue *admit.Queue[*waiter]
	// mu serialises calls of placeQueued, so that the next entry is selected and
	// placed in one step.
	mu sync.Mutex
}

func newScheduler(ga *Gate, key schedulerKey) *scheduler {
	return &scheduler{
		ga: ga, key: key, fair: admit.NewFairShares[accountClass](),
		queue: admit.NewQueue[*waiter](admit.WithCapacity(max(1, ga.queue))),
	}
}

func (sc *scheduler) demand(pr pendingRequest, queued int) Demand {
	rq := pr.request
	return Demand{
		Kind: rq.Kind, Model: rq.Model, Service: rq.Service, Class: pr.class,
		WaitUntilLatestStart: rq.Class == config.Batch, Prompt: rq.Prompt, Output: sc.ga.expectedOutput(rq),
		Prefixes: rq.Prefixes, Deadline: rq.Deadline, Account: rq.Account.ID, Key: rq.Key,
		Tried: pr.tried, Queued: queued, QueueLimit: sc.ga.queue,
	}
}

// place returns a target for the request, queues the request or refuses it.
func (sc *scheduler) place(ctx context.Context, pr pendingRequest, re front.PlacementReason) (front.Target, error) {
	queued := 0
	switch {
	case sc.ga.queue == 0:
	case re == front.Requeue:
		return sc.wait(ctx, pr)
	case re == front.First && sc.exceedsShare(pr.request):
		if pr.class == config.Urgent {
			pr.class = config.Normal
		}
		return sc.wait(ctx, pr)
	case re == front.First:
		queued = sc.queue.Len()
	}
	ta, de := sc.pick(pr, queued)
	switch {
	case de.Verdict == admit.Admit:
		return ta, nil
	case de.Verdict == admit.Wait && re != front.Hedge && sc.ga.queue > 0:
		return sc.wait(ctx, pr)
	default:
		return front.Target{}, sc.refusal(de)
	}
}

func (sc *scheduler) refusal(de admit.Decision) *refuse.Refusal {
	switch {
	case de.Verdict == admit.Wait:
		return refuse.New(refuse.Busy, "no upstream has a free slot now")
	case de.Reason == refuse.NoUpstream:
		return refuse.New(de.Reason, "no usable upstream for %s%s is connected", sc.key.model, sc.key.service)
	case de.Reason == refuse.DeadlineUnmeetable:
		return refuse.New(de.Reason, "the expected finish is after the deadline").WithRetryAt(de.RetryAt)
	default:
		return refuse.New(de.Reason, "the request was not placed while %d requests are queued", sc.queue.Len()).WithRetryAt(de.RetryAt)
	}
}

// exceedsShare reports whether the request exceeds the fair share of its account
// and class.
func (sc *scheduler) exceedsShare(rq front.Request) bool {
	share := sc.ga.fleet.Share(Demand{Kind: rq.Kind, Model: rq.Model, Service: rq.Service})
	return share > 0 && sc.fair.ExceedsShare(accountClassOf(rq), share)
}

// pick places the request now if the fleet admits it. Only dispatched requests
// count towards the share of their account and class.
func (sc *scheduler) pick(pr pendingRequest, queued int) (front.Target, admit.Decision) {
	ta, de := sc.ga.fleet.Pick(sc.demand(pr, queued), sc.ga.clk.Now())
	if de.Verdict != admit.Admit {
		return front.Target{}, de
	}
	rq, done := pr.request, ta.Done
	sc.fair.Enter(accountClassOf(rq))
	ta.Done = func(ar front.AttemptResult) {
		sc.fair.Leave(accountClassOf(rq))
		sc.ga.recordOutput(rq, ar)
		done(ar)
		sc.placeQueued()
	}
	return ta, de
}

// wait queues the request and waits until it is placed, refused or cancelled.
func (sc *scheduler) wait(ctx context.Context, pr pendingRequest) (front.Target, error) {
	wa := &waiter{pendingRequest: pr, outcome: make(chan placement, 1)}
	displaced, ok := sc.queue.Push(admit.Entry[*waiter]{
		Item: wa, Account: pr.request.Account.ID, Class: pr.class, Deadline: pr.request.Deadline,
		LatestStart: sc.ga.fleet.LatestStart(sc.demand(pr, 0)),
	})
	for _, en := range displaced {
		en.Item.outcome <- placement{refusal: refuse.New(refuse.QueueFull, "displaced from the full queue by a request that takes precedence")}
	}
	if !ok {
		return front.Target{}, refuse.New(refuse.QueueFull, "the queue is full with %d requests", sc.queue.Len())
	}
	sc.ga.met.Count("queued", "class", string(pr.request.Class), 1)
	// A slot may have become free between the decision and the push.
	sc.placeQueued()
	select {
	case pt := <-wa.outcome:
		return pt.result()
	case <-ctx.Done():
		return sc.cancelWait(wa)
	}
}

func (pt placement) result() (front.Target, error) {
	if pt.refusal != nil {
		return front.Target{}, pt.refusal
	}
	return pt.target, nil
}

// cancelWait ends the wait of a request whose context ended. If the request was
// placed at the same moment, its slot is released for the next one.
func (sc *scheduler) cancelWait(wa *waiter) (front.Target, error) {
	if !sc.queue.Remove(func(it *waiter) bool { return it == wa }) {
		pt := <-wa.outcome
		if pt.refusal != nil {
			return pt.result()
		}
		pt.target.Done(front.AttemptResult{})
	}
	return front.Target{}, refuse.New(refuse.DeadlinePassed, "the deadline passed while the request was queued")
}

// placeQueued places queued requests as long as an upstream has a free slot for
// the next one.
func (sc *scheduler) placeQueued() {
	if sc.queue.Len() == 0 {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for {
		var ta front.Target
		var de admit.Decision
		next, ok, expired := sc.queue.PopIf(sc.ga.clk.Now(), func(en admit.Entry[*waiter]) bool {
			pr := en.Item.pendingRequest
			pr.class = en.Class
			ta, de = sc.pick(pr, 0)
			return de.Verdict != admit.Wait
		})
		for _, ex := range expired {
			ex.Item.outcome <- placement{refusal: refuse.New(refuse.DeadlineUnmeetable, "the latest start of the request passed while it was queued")}
		}
		switch {
		case !ok:
			return
		case de.Verdict == admit.Admit:
			next.Item.outcome <- placement{target: ta}
		default:
			next.Item.outcome <- placement{refusal: sc.refusal(de)}
		}
	}
}
