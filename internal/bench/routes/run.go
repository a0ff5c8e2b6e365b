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

// simulation is the state of one run.
type simulation struct {
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
	si := &simulation{scenario: sc, now: epoch, byID: make(map[ident.Upstream]*engine), tally: newTally()}
	for ix := range engines {
		en := &engine{
			id: ident.Upstream(fmt.Sprintf("engine-%02d", ix)), domain: ident.Domain(fmt.Sprint("domain-", ix%domains)),
			rate: engineRate, preempts: ar.Preemption,
		}
		if ix < sc.slow {
			en.rate /= 3
		}
		si.fleet = append(si.fleet, en)
		si.byID[en.id] = en
	}
	for ix := range routers {
		ro, err := newRouter(ar, si.fleet, seed+uint64(ix)*7919)
		if err != nil {
			return Result{}, err
		}
		si.routers = append(si.routers, ro)
	}
	si.plan(seed)
	for si.queue.Len() > 0 {
		ev := heap.Pop(&si.queue).(event)
		si.now = ev.at
		ev.do()
	}
	return si.tally.result(sc, ar, si.fleet), nil
}

// plan schedules arrivals, faults, reports and the draining of queues.
func (si *simulation) plan(seed uint64) {
	for ix, jo := range si.scenario.arrivals(seed) {
		jo.router = si.routers[ix%routers]
		si.at(jo.arrived, func() { si.arrive(jo) })
	}
	for _, en := range si.fleet {
		si.faults(en)
	}
	for at := time.Duration(0); at < horizon+settle; at += reportEvery {
		for ix, en := range si.fleet {
			// Engines report at different times, as separate processes do.
			si.at(epoch.Add(at+reportEvery*time.Duration(ix)/engines), func() { si.report(en) })
		}
	}
	for at := time.Duration(0); at < horizon+settle; at += drainEvery {
		si.at(epoch.Add(at), func() {
			for _, ro := range si.routers {
				si.drain(ro)
			}
		})
	}
}

func (si *simulation) faults(en *engine) {
	fault := si.scenario.outage
	if en.domain == "domain-0" && si.scenario.gone.to > 0 {
		fault = si.scenario.gone
	}
	if fault.to == 0 {
		return
	}
	si.at(epoch.Add(fault.from), func() {
		for _, jo := range en.fail() {
			jo.run++
			si.failed(jo, en, retry.Failure{Reason: refuse.LinkLost, Outcome: refuse.Unknown, Sent: true})
		}
	})
	si.at(epoch.Add(fault.to), func() { en.down = false })
}

func (si *simulation) at(at time.Time, do func()) {
	si.seq++
	heap.Push(&si.queue, event{at: at, seq: si.seq, do: do})
}

func (si *simulation) report(en *engine) {
	if en.down || si.scenario.frozen.has(si.now.Sub(epoch)) {
		return
	}
	ld := en.load(si.now)
	si.at(si.now.Add(reportLag), func() {
		for _, ro := range si.routers {
			ro.report(en.id, ld, si.now)
		}
	})
}

// arrive handles a request of a caller.
func (si *simulation) arrive(jo *job) {
	ro := jo.router
	si.tally.offered(jo)
	ro.budget.First()
	if !ro.admits {
		si.decide(jo, 0)
		return
	}
	if de := ro.rates.Take(jo.account, si.now); de.Verdict == admit.Refuse {
		si.refused(jo, de.Reason)
		return
	}
	if ro.over(jo) {
		if jo.ranked == config.Urgent {
			jo.ranked = config.Normal
		}
		si.wait(jo)
		si.drain(ro)
		return
	}
	si.decide(jo, ro.queue.Len())
}

// decide chooses an upstream and dispatches, queues or refuses the job.
func (si *simulation) decide(jo *job, queued int) {
	ca, de := jo.router.pick(jo, queued, si.now)
	switch de.Verdict {
	case admit.Admit:
		si.dispatch(jo, ca)
	case admit.Wait:
		si.wait(jo)
	default:
		si.leave(jo)
		si.refused(jo, de.Reason)
	}
}

func (si *simulation) wait(jo *job) {
	displaced, ok := jo.router.enqueue(jo)
	if !ok {
		displaced = append(displaced, jo)
	}
	for _, di := range displaced {
		si.leave(di)
		si.refused(di, refuse.QueueFull)
	}
}

// drain dispatches queued jobs while an upstream has room for the next one.
func (si *simulation) drain(ro *router) {
	for ok := true; ok; {
		var ca *route.Candidate
		var de admit.Decision
		var next admit.Entry[*job]
		var expired []admit.Entry[*job]
		next, ok, expired = ro.queue.PopIf(si.now, func(en admit.Entry[*job]) bool {
			en.Item.ranked = en.Class
			ca, de = ro.pick(en.Item, 0, si.now)
			return de.Verdict != admit.Wait
		})
		for _, en := range expired {
			si.leave(en.Item)
			si.refused(en.Item, refuse.DeadlineUnmeetable)
		}
		switch {
		case ok && de.Verdict == admit.Admit:
			si.dispatch(next.Item, ca)
		case ok:
			si.leave(next.Item)
			si.refused(next.Item, de.Reason)
		}
	}
}

func (si *simulation) dispatch(jo *job, ca *route.Candidate) {
	jo.router.sent(jo, ca, si.now)
	jo.attempts++
	en := si.byID[ca.ID()]
	jo.tried = jo.tried.With(en.id, en.domain)
	si.at(si.now.Add(hop), func() {
		if en.down {
			si.failed(jo, en, retry.Failure{Reason: refuse.Unreachable, Outcome: refuse.NotRun})
			return
		}
		en.makesRoom(jo, si.now)
		en.enqueue(jo)
		si.start(en)
	})
}

func (si *simulation) start(en *engine) {
	started, dropped := en.start(si.now)
	if at, ok := en.wake(si.now); ok {
		si.at(at, func() {
			en.waking = false
			si.start(en)
		})
	}
	for _, jo := range dropped {
		si.ended(jo)
		si.missed(jo)
	}
	for _, jo := range started {
		run := jo.run
		si.at(jo.end, func() {
			if jo.run != run || !en.finish(jo) {
				return
			}
			si.ended(jo)
			if si.tally.finished(jo, si.now); !onTime(jo, jo.first, jo.end) {
				si.again(jo)
			}
			si.start(en)
		})
	}
}

// failed handles a failed attempt as the router does.
func (si *simulation) failed(jo *job, en *engine, fa retry.Failure) {
	ro := jo.router
	ro.ended(jo)
	ro.suspect(en.id, si.now)
	fa.Idempotent, fa.Attempts, fa.Deadline = true, jo.attempts, jo.deadline
	fa.Answered = !jo.first.IsZero() && si.now.After(jo.first)
	if de := ro.retries.Decide(fa, ro.rng, si.now); de.Action == retry.Elsewhere {
		si.at(de.At, func() { si.decide(jo, 0) })
		return
	}
	if fa.Outcome == refuse.NotRun && ro.admits && si.now.Before(ro.latest(jo)) {
		si.wait(jo)
		return
	}
	si.leave(jo)
	si.refused(jo, fa.Reason)
}

// ended releases what the job held at its router.
func (si *simulation) ended(jo *job) {
	jo.router.ended(jo)
	si.leave(jo)
	si.drain(jo.router)
}

func (si *simulation) leave(jo *job) {
	if jo.router.admits {
		jo.router.rates.Done(jo.account)
	}
}

func (si *simulation) refused(jo *job, re refuse.Reason) {
	servable := false
	for _, en := range si.fleet {
		servable = servable || en.meets(jo, si.now)
	}
	si.tally.refused(jo, re, servable)
	si.again(jo)
}

func (si *simulation) missed(jo *job) {
	si.tally.missed(jo)
	si.again(jo)
}

// again lets the caller of a storm repeat its request as a new one.
func (si *simulation) again(jo *job) {
	if si.scenario.outage.to == 0 || jo.tries+1 >= callerTries {
		return
	}
	next := &job{
		account: jo.account, class: jo.class, ranked: jo.class, prompt: jo.prompt, prefix: jo.prefix, shared: jo.shared,
		expected: jo.expected, output: jo.output, blocks: jo.blocks, tries: jo.tries + 1, router: jo.router,
	}
	next.arrived = si.now.Add(callerPause)
	next.deadline = next.arrived.Add(jo.deadline.Sub(jo.arrived))
	if !jo.firstBy.IsZero() {
		next.firstBy = next.arrived.Add(firstToken)
	}
	si.at(next.arrived, func() { si.arrive(next) })
}
