package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// laneKey names the upstreams that requests compete for.
type laneKey struct {
	kind    config.Kind
	model   ident.Model
	service ident.Service
}

// lane is the admission to one model or service.
type lane struct {
	ga      *Gate
	key     laneKey
	running atomic.Int64
	fair    *admit.Fair[ident.Account]
	queue   *admit.Queue[*waiter]
	// mu makes the look at the next entry and its removal one step.
	mu sync.Mutex
}

// waiter is a queued request. verdict receives nil for admission or a refusal,
// exactly once.
type waiter struct {
	rq      front.Request
	verdict chan *refuse.Refusal
}

func newLane(ga *Gate, key laneKey) *lane {
	return &lane{
		ga: ga, key: key, fair: admit.NewFair[ident.Account](),
		queue: admit.NewQueue[*waiter](admit.WithCapacity(max(1, ga.queue))),
	}
}

func (la *lane) demand() front.Demand {
	return front.Demand{Kind: la.key.kind, Model: la.key.model, Service: la.key.service}
}

// taken returns the slots and how many of them are taken. The upstreams'
// reports lag, so the own requests are a lower bound.
func (la *lane) taken() (int, int) {
	slots, reported := la.ga.capa.Slots(la.demand())
	return slots, max(reported, int(la.running.Load()))
}

func (la *lane) enter(ctx context.Context, rq front.Request, now time.Time) error {
	slots, running := la.taken()
	de := la.ga.rule.Decide(admit.Ask{
		Class: rq.Class, Deadline: rq.Deadline, Slots: slots, Running: running,
		Queued: la.queue.Len(), QueueLimit: la.ga.queue,
	}, now)
	switch {
	case de.Verdict == admit.Refuse:
		return refuse.New(de.Reason, "%d requests wait for %d slots", la.queue.Len(), slots).WithRetryAt(de.RetryAt)
	case de.Verdict == admit.Admit && !la.held(rq, slots):
		la.start(rq)
		return nil
	default:
		return la.wait(ctx, rq)
	}
}

// held reports whether the client account has more than its share of exhausted
// slots. Urgent requests are not held back: the engine orders them.
func (la *lane) held(rq front.Request, slots int) bool {
	return slots > 0 && rq.Class != config.Urgent && la.fair.Over(rq.Account.ID, slots)
}

func (la *lane) start(rq front.Request) {
	la.running.Add(1)
	la.fair.Enter(rq.Account.ID)
}

func (la *lane) leave(rq front.Request) {
	la.running.Add(-1)
	la.fair.Leave(rq.Account.ID)
	la.advance()
}

func (la *lane) wait(ctx context.Context, rq front.Request) error {
	wa := &waiter{rq: rq, verdict: make(chan *refuse.Refusal, 1)}
	displaced, ok := la.queue.Push(admit.Entry[*waiter]{
		Item: wa, Account: rq.Account.ID, Class: rq.Class, Deadline: rq.Deadline,
	})
	for _, en := range displaced {
		en.Item.verdict <- refuse.New(refuse.QueueFull, "displaced from the full queue by more urgent work")
	}
	if !ok {
		return refuse.New(refuse.QueueFull, "%d requests wait already", la.queue.Len())
	}
	la.ga.met.Count("queued", "class", string(rq.Class), 1)
	// A place may have become free between the decision and the push.
	la.advance()
	select {
	case rf := <-wa.verdict:
		if rf != nil {
			return rf
		}
		return nil
	case <-ctx.Done():
		return la.giveUp(wa)
	}
}

// giveUp ends the wait of a request whose time is over. If it was admitted at
// the same moment, its place goes to the next one.
func (la *lane) giveUp(wa *waiter) error {
	if !la.queue.Remove(func(it *waiter) bool { return it == wa }) {
		if rf := <-wa.verdict; rf != nil {
			return rf
		}
		la.leave(wa.rq)
	}
	return refuse.New(refuse.DeadlinePassed, "the deadline passed in the queue")
}

// advance admits queued requests while there is room for the next one.
func (la *lane) advance() {
	la.mu.Lock()
	defer la.mu.Unlock()
	for {
		next, ok, expired := la.queue.PopIf(la.ga.clk.Now(), la.room)
		for _, ex := range expired {
			ex.Item.verdict <- refuse.New(refuse.DeadlinePassed, "the deadline passed in the queue")
		}
		if !ok {
			return
		}
		la.start(next.Item.rq)
		next.Item.verdict <- nil
	}
}

// room reports whether a slot is free for the class in which the entry is
// served.
func (la *lane) room(en admit.Entry[*waiter]) bool {
	slots, running := la.taken()
	return slots <= 0 || running < la.ga.rule.Limit(en.Class, slots)
}

// Refresh admits queued requests after the upstreams' reports have changed.
func (ga *Gate) Refresh() {
	ga.lanes.Range(func(_, la any) bool {
		la.(*lane).advance()
		return true
	})
}
