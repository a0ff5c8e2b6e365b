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
	reportInterval = time.Second
	reportLag      = 200 * time.Millisecond
	queueInterval  = 100 * time.Millisecond
	dispatchDelay  = time.Millisecond
	// In a scenario with an outage of all engines, a caller whose request was
	// refused or not served in time sends it again after callerRetryDelay, up to
	// maxCallerRequests requests in total.
	maxCallerRequests = 4
	callerRetryDelay  = time.Second
	// settleTime is the time after the last arrival until which the simulation
	// reports load and dispatches queued jobs.
	settleTime = 120 * time.Second
)

// Arm is a configuration of the routers and engines that the bench compares with
// others on the same arrivals.
type Arm struct {
	Policy    route.Name
	Admission bool
	// Preemption lets engines interrupt batch requests for urgent ones after a dry
	// run.
	Preemption bool
}

// String returns the name of the policy, followed by "+admission" and
// "+preemption" if they are enabled.
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

// event is a function that runs at a virtual time. Events at the same time run in
// the order of seq.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap of events and implements heap.Interface.
type events []event

// Len returns the number of events.
func (ev events) Len() int { return len(ev) }

// Less orders events by time, then by seq.
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

// Run simulates the scenario with the arm and returns the measured values.
func Run(sc Scenario, ar Arm, seed uint64) (Result, error) {
	si := &simulation{scenario: sc, now: epoch, byID: make(map[ident.Upstream]*engine), tally: newTally()}
	for ix := range engineCount {
		en := &engine{
			id: ident.Upstream(fmt.Sprintf("engine-%02d", ix)), domain: ident.Domain(fmt.Sprint("domain-", ix%domainCount)),
			tokensPerSecond: engineRate, preemption: ar.Preemption,
		}
		if ix < sc.slowEngines {
			en.tokensPerSecond /= 3
		}
		si.fleet = append(si.fleet, en)
		si.byID[en.id] = en
	}
	for ix := range routerCount {
		ro, err := newRouter(ar, si.fleet, seed+uint64(ix)*7919)
		if err != nil {
			return Result{}, err
		}
		si.routers = append(si.routers, ro)
	}
	si.scheduleEvents(seed)
	for si.queue.Len() > 0 {
		ev := heap.Pop(&si.queue).(event)
		si.now = ev.at
		ev.do()
	}
	return si.tally.result(sc, ar, si.fleet), nil
}

// scheduleEvents schedules arrivals, faults, load reports and the dispatch of
// queued jobs.
func (si *simulation) scheduleEvents(seed uint64) {
	for ix, jo := range si.scenario.arrivals(seed) {
		jo.router = si.routers[ix%routerCount]
		si.at(jo.arrived, func() { si.arrive(jo) })
	}
	for _, en := range si.fleet {
		si.scheduleFaults(en)
	}
	for at := time.Duration(0); at < arrivalPeriod+settleTime; at += reportInterval {
		for ix, en := range si.fleet {
			// Engines report at different times, as separate processes do.
			si.at(epoch.Add(at+reportInterval*time.Duration(ix)/engineCount), func() { si.report(en) })
		}
	}
	for at := time.Duration(0); at < arrivalPeriod+settleTime; at += queueInterval {
		si.at(epoch.Add(at), func() {
			for _, ro := range si.routers {
				si.dispatchQueued(ro)
			}
		})
	}
}

func (si *simulation) scheduleFaults(en *engine) {
	fault := si.scenario.fleetOutage
	if en.domain == "domain-0" && si.scenario.domainOutage.to > 0 {
		fault = si.scenario.domainOutage
	}
	if fault.to == 0 {
		return
	}
	si.at(epoch.Add(fault.from), func() {
		for _, jo := range en.fail() {
			jo.generation++
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
	if en.down || si.scenario.reportOutage.contains(si.now.Sub(epoch)) {
		return
	}
	ld := en.load(si.now)
	si.at(si.now.Add(reportLag), func() {
		for _, ro := range si.routers {
			ro.report(en.id, ld, si.now)
		}
	})
}

// arrive handles the arrival of a job at its router.
func (si *simulation) arrive(jo *job) {
	ro := jo.router
	si.tally.offered(jo)
	ro.retryBudget.RecordFirst()
	if !ro.admission {
		si.decide(jo, 0)
		return
	}
	if de := ro.rates.Acquire(jo.account, si.now); de.Verdict == admit.Refuse {
		si.refused(jo, de.Reason)
		return
	}
	if ro.exceedsShare(jo) {
		if jo.servedClass == config.Urgent {
			jo.servedClass = config.Normal
		}
		si.queueJob(jo)
		si.dispatchQueued(ro)
		return
	}
	si.decide(jo, ro.queue.Len())
}

// decide chooses an upstream and dispatches, queues or refuses the job. queued is
// the number of jobs in the queue of the router.
func (si *simulation) decide(jo *job, queued int) {
	ca, de := jo.router.pick(jo, queued, si.now)
	switch de.Verdict {
	case admit.Admit:
		si.dispatch(jo, ca)
	case admit.Wait:
		si.queueJob(jo)
	default:
		si.releaseRate(jo)
		si.refused(jo, de.Reason)
	}
}

func (si *simulation) queueJob(jo *job) {
	displaced, ok := jo.router.enqueue(jo)
	if !ok {
		displaced = append(displaced, jo)
	}
	for _, di := range displaced {
		si.releaseRate(di)
		si.refused(di, refuse.QueueFull)
	}
}

// dispatchQueued dispatches queued jobs until the next one has to wait.
func (si *simulation) dispatchQueued(ro *router) {
	for ok := true; ok; {
		var ca *route.Candidate
		var de admit.Decision
		var next admit.Entry[*job]
		var expired []admit.Entry[*job]
		next, ok, expired = ro.queue.PopIf(si.now, func(en admit.Entry[*job]) bool {
			en.Item.servedClass = en.Class
			ca, de = ro.pick(en.Item, 0, si.now)
			return de.Verdict != admit.Wait
		})
		for _, en := range expired {
			si.releaseRate(en.Item)
			si.refused(en.Item, refuse.DeadlineUnmeetable)
		}
		switch {
		case ok && de.Verdict == admit.Admit:
			si.dispatch(next.Item, ca)
		case ok:
			si.releaseRate(next.Item)
			si.refused(next.Item, de.Reason)
		}
	}
}

func (si *simulation) dispatch(jo *job, ca *route.Candidate) {
	jo.router.sent(jo, ca, si.now)
	jo.attempts++
	en := si.byID[ca.ID()]
	jo.tried = jo.tried.With(en.id, en.domain)
	si.at(si.now.Add(dispatchDelay), func() {
		if en.down {
			si.failed(jo, en, retry.Failure{Reason: refuse.Unreachable, Outcome: refuse.NotRun})
			return
		}
		en.preempt(jo, si.now)
		en.enqueue(jo)
		si.start(en)
	})
}

func (si *simulation) start(en *engine) {
	started, dropped := en.start(si.now)
	if at, ok := en.planWake(si.now); ok {
		si.at(at, func() {
			en.wakePlanned = false
			si.start(en)
		})
	}
	for _, jo := range dropped {
		si.ended(jo)
		si.timedOut(jo)
	}
	for _, jo := range started {
		generation := jo.generation
		si.at(jo.end, func() {
			if jo.generation != generation || !en.finish(jo) {
				return
			}
			si.ended(jo)
			if si.tally.finished(jo, si.now); !onTime(jo, jo.firstToken, jo.end) {
				si.retryByCaller(jo)
			}
			si.start(en)
		})
	}
}

// failed retries, queues or refuses the job after a failed attempt, as the router
// does.
func (si *simulation) failed(jo *job, en *engine, fa retry.Failure) {
	ro := jo.router
	ro.ended(jo)
	ro.suspect(en.id, si.now)
	fa.Idempotent, fa.Attempts, fa.Deadline = true, jo.attempts, jo.deadline
	fa.PartDelivered = !jo.firstToken.IsZero() && si.now.After(jo.firstToken)
	if de := ro.retries.Decide(fa, ro.rng, si.now); de.Action == retry.OtherUpstream {
		si.at(de.At, func() { si.decide(jo, 0) })
		return
	}
	if fa.Outcome == refuse.NotRun && ro.admission && si.now.Before(ro.latestStart(jo)) {
		si.queueJob(jo)
		return
	}
	si.releaseRate(jo)
	si.refused(jo, fa.Reason)
}

// ended releases the resources that the job holds at its router.
func (si *simulation) ended(jo *job) {
	jo.router.ended(jo)
	si.releaseRate(jo)
	si.dispatchQueued(jo.router)
}

func (si *simulation) releaseRate(jo *job) {
	if jo.router.admission {
		jo.router.rates.Release(jo.account)
	}
}

func (si *simulation) refused(jo *job, re refuse.Reason) {
	servable := false
	for _, en := range si.fleet {
		servable = servable || en.canServeOnTime(jo, si.now)
	}
	si.tally.refused(jo, re, servable)
	si.retryByCaller(jo)
}

func (si *simulation) timedOut(jo *job) {
	si.tally.timedOut(jo)
	si.retryByCaller(jo)
}

// retryByCaller schedules a retry by the caller as a new job, in scenarios with an
// outage of all engines.
func (si *simulation) retryByCaller(jo *job) {
	if si.scenario.fleetOutage.to == 0 || jo.callerRetries+1 >= maxCallerRequests {
		return
	}
	next := &job{
		account: jo.account, class: jo.class, servedClass: jo.class, promptTokens: jo.promptTokens, prefix: jo.prefix, prefixTokens: jo.prefixTokens,
		expectedOutput: jo.expectedOutput, outputTokens: jo.outputTokens, promptPrefixes: jo.promptPrefixes, callerRetries: jo.callerRetries + 1, router: jo.router,
	}
	next.arrived = si.now.Add(callerRetryDelay)
	next.deadline = next.arrived.Add(jo.deadline.Sub(jo.arrived))
	if !jo.firstTokenDeadline.IsZero() {
		next.firstTokenDeadline = next.arrived.Add(firstTokenTarget)
	}
	si.at(next.arrived, func() { si.arrive(next) })
}
