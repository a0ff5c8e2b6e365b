package routes

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

const (
	reportEvery = time.Second
	reportLag   = 200 * time.Millisecond
	drainEvery  = 100 * time.Millisecond
	hop         = time.Millisecond
	// A caller that was refused or did not get its answer in time asks again.
	callerTries = 4
	callerPause = time.Second
	settle      = 120 * time.Second
)

// Arm is one way to decide.
type Arm struct {
	Policy    route.Name
	Admission bool
	// Preemption lets engines take slots from batch work after a dry run.
	Preemption bool
}

// String returns the policy and what is added to it.
func (ar Arm) String() string {
	name := string(ar.Policy)
	if ar.Admission {
		name += "+admission"
	}
	if ar.Preemption {
		name += "+preemption"
	}
	return name
}

// event is something that happens at a virtual time. Seq keeps the order of
// events at the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

// Len returns the number of events.
func (ev events) Len() int { return len(ev) }

// Less orders events by time.
func (ev events) Less(ii, jj int) bool {
	if ev[ii].at.Equal(ev[jj].at) {
		return ev[ii].seq < ev[jj].seq
	}
	return ev[ii].at.Before(ev[jj].at)
}

// Swap exchanges two events.
func (ev events) Swap(ii, jj int) { ev[ii], ev[jj] = ev[jj], ev[ii] }

// Push adds an event at the end.
func (ev *events) Push(el any) { *ev = append(*ev, el.(event)) }

// Pop removes the last event.
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

// world is the state of one run.
type world struct {
	scenario Scenario
	now      time.Time
	queue    events
	seq      int
	fleet    []*engine
	byID     map[ident.Upstream]*engine
	routers  []*router
	tally    *tally
}

// Run runs the scenario with the arm and returns what was measured.
func Run(sc Scenario, ar Arm, seed uint64) (Result, error) {
	wo := &world{scenario: sc, now: epoch, byID: make(map[ident.Upstream]*engine), tally: newTally()}
	for ix := range engines {
		en := &engine{
			id: ident.Upstream(fmt.Sprintf("engine-%02d", ix)), domain: ident.Domain(fmt.Sprint("domain-", ix%domains)),
			rate: engineRate, preempts: ar.Preemption,
		}
		if ix < sc.slow {
			en.rate /= 3
		}
		wo.fleet = append(wo.fleet, en)
		wo.byID[en.id] = en
	}
	for ix := range routers {
		ro, err := newRouter(ar, wo.fleet, seed+uint64(ix)*7919)
		if err != nil {
			return Result{}, err
		}
		wo.routers = append(wo.routers, ro)
	}
	wo.plan(seed)
	for wo.queue.Len() > 0 {
		ev := heap.Pop(&wo.queue).(event)
		wo.now = ev.at
		ev.do()
	}
	return wo.tally.result(sc, ar, wo.fleet), nil
}

// plan schedules arrivals, faults, reports and the draining of queues.
func (wo *world) plan(seed uint64) {
	for ix, jo := range wo.scenario.arrivals(seed) {
		jo.router = wo.routers[ix%routers]
		wo.at(jo.arrived, func() { wo.arrive(jo) })
	}
	for _, en := range wo.fleet {
		wo.faults(en)
	}
	for at := time.Duration(0); at < horizon+settle; at += reportEvery {
		for ix, en := range wo.fleet {
			// Engines report at different times, as separate processes do.
			wo.at(epoch.Add(at+reportEvery*time.Duration(ix)/engines), func() { wo.report(en) })
		}
	}
	for at := time.Duration(0); at < horizon+settle; at += drainEvery {
		wo.at(epoch.Add(at), func() {
			for _, ro := range wo.routers {
				wo.drain(ro)
			}
		})
	}
}

func (wo *world) faults(en *engine) {
	fault := wo.scenario.outage
	if en.domain == "domain-0" && wo.scenario.gone.to > 0 {
		fault = wo.scenario.gone
	}
	if fault.to == 0 {
		return
	}
	wo.at(epoch.Add(fault.from), func() {
		for _, jo := range en.fail() {
			jo.run++
			wo.failed(jo, en, retry.Failure{Reason: refuse.LinkLost, Outcome: refuse.Unknown, Sent: true})
		}
	})
	wo.at(epoch.Add(fault.to), func() { en.down = false })
}

func (wo *world) at(at time.Time, do func()) {
	wo.seq++
	heap.Push(&wo.queue, event{at: at, seq: wo.seq, do: do})
}

func (wo *world) report(en *engine) {
	if en.down || wo.scenario.frozen.has(wo.now.Sub(epoch)) {
		return
	}
	ld := en.load(wo.now)
	wo.at(wo.now.Add(reportLag), func() {
		for _, ro := range wo.routers {
			ro.report(en.id, ld, wo.now)
		}
	})
}

// arrive handles a request of a caller.
func (wo *world) arrive(jo *job) {
	ro := jo.router
	wo.tally.offered(jo)
	ro.budget.First()
	if !ro.admits {
		wo.decide(jo, 0)
		return
	}
	if de := ro.rates.Take(jo.account, wo.now); de.Verdict == admit.Refuse {
		wo.refused(jo, de.Reason)
		return
	}
	if ro.over(jo) {
		if jo.ranked == config.Urgent {
			jo.ranked = config.Normal
		}
		wo.wait(jo)
		wo.drain(ro)
		return
	}
	wo.decide(jo, ro.queue.Len())
}

// decide chooses an upstream and dispatches, queues or refuses the job.
func (wo *world) decide(jo *job, queued int) {
	ca, de := jo.router.pick(jo, queued, wo.now)
	switch de.Verdict {
	case admit.Admit:
		wo.dispatch(jo, ca)
	case admit.Wait:
		wo.wait(jo)
	default:
		wo.leave(jo)
		wo.refused(jo, de.Reason)
	}
}

func (wo *world) wait(jo *job) {
	displaced, ok := jo.router.enqueue(jo)
	if !ok {
		displaced = append(displaced, jo)
	}
	for _, di := range displaced {
		wo.leave(di)
		wo.refused(di, refuse.QueueFull)
	}
}

// drain dispatches queued jobs while an upstream has room for the next one.
func (wo *world) drain(ro *router) {
	for ok := true; ok; {
		var ca *route.Candidate
		var de admit.Decision
		var next admit.Entry[*job]
		var expired []admit.Entry[*job]
		next, ok, expired = ro.queue.PopIf(wo.now, func(en admit.Entry[*job]) bool {
			en.Item.ranked = en.Class
			ca, de = ro.pick(en.Item, 0, wo.now)
			return de.Verdict != admit.Wait
		})
		for _, en := range expired {
			wo.leave(en.Item)
			wo.refused(en.Item, refuse.DeadlineUnmeetable)
		}
		switch {
		case ok && de.Verdict == admit.Admit:
			wo.dispatch(next.Item, ca)
		case ok:
			wo.leave(next.Item)
			wo.refused(next.Item, de.Reason)
		}
	}
}

func (wo *world) dispatch(jo *job, ca *route.Candidate) {
	jo.router.sent(jo, ca, wo.now)
	jo.attempts++
	en := wo.byID[ca.ID()]
	jo.tried = jo.tried.With(en.id, en.domain)
	wo.at(wo.now.Add(hop), func() {
		if en.down {
			wo.failed(jo, en, retry.Failure{Reason: refuse.Unreachable, Outcome: refuse.NotRun})
			return
		}
		en.makesRoom(jo, wo.now)
		en.enqueue(jo)
		wo.start(en)
	})
}

func (wo *world) start(en *engine) {
	started, dropped := en.start(wo.now)
	if at, ok := en.wake(wo.now); ok {
		wo.at(at, func() {
			en.waking = false
			wo.start(en)
		})
	}
	for _, jo := range dropped {
		wo.ended(jo)
		wo.missed(jo)
	}
	for _, jo := range started {
		run := jo.run
		wo.at(jo.end, func() {
			if jo.run != run || !en.finish(jo) {
				return
			}
			wo.ended(jo)
			if wo.tally.finished(jo, wo.now); !onTime(jo, jo.first, jo.end) {
				wo.again(jo)
			}
			wo.start(en)
		})
	}
}

// failed handles a failed attempt as the router does.
func (wo *world) failed(jo *job, en *engine, fa retry.Failure) {
	ro := jo.router
	ro.ended(jo)
	ro.suspect(en.id, wo.now)
	fa.Idempotent, fa.Attempts, fa.Deadline = true, jo.attempts, jo.deadline
	fa.Answered = !jo.first.IsZero() && wo.now.After(jo.first)
	if de := ro.retries.Decide(fa, ro.rng, wo.now); de.Action == retry.Elsewhere {
		wo.at(de.At, func() { wo.decide(jo, 0) })
		return
	}
	if fa.Outcome == refuse.NotRun && ro.admits && wo.now.Before(ro.latest(jo)) {
		wo.wait(jo)
		return
	}
	wo.leave(jo)
	wo.refused(jo, fa.Reason)
}

// ended releases what the job held at its router.
func (wo *world) ended(jo *job) {
	jo.router.ended(jo)
	wo.leave(jo)
	wo.drain(jo.router)
}

func (wo *world) leave(jo *job) {
	if jo.router.admits {
		jo.router.rates.Done(jo.account)
	}
}

func (wo *world) refused(jo *job, re refuse.Reason) {
	servable := false
	for _, en := range wo.fleet {
		servable = servable || en.meets(jo, wo.now)
	}
	wo.tally.refused(jo, re, servable)
	wo.again(jo)
}

func (wo *world) missed(jo *job) {
	wo.tally.missed(jo)
	wo.again(jo)
}

// again lets the caller of a storm repeat its request as a new one.
func (wo *world) again(jo *job) {
	if wo.scenario.outage.to == 0 || jo.tries+1 >= callerTries {
		return
	}
	next := &job{
		account: jo.account, class: jo.class, ranked: jo.class, prompt: jo.prompt, prefix: jo.prefix, shared: jo.shared,
		expected: jo.expected, output: jo.output, blocks: jo.blocks, tries: jo.tries + 1, router: jo.router,
	}
	next.arrived = wo.now.Add(callerPause)
	next.deadline = next.arrived.Add(jo.deadline.Sub(jo.arrived))
	if !jo.firstBy.IsZero() {
		next.firstBy = next.arrived.Add(firstToken)
	}
	wo.at(next.arrived, func() { wo.arrive(next) })
}
