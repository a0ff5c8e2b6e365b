package place

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// paceTime is the time over which reported paces are averaged. An upstream may
	// report another pace with each response, and a request takes longer than one of
	// these changes lasts.
	paceTime = 300 * time.Millisecond
	// maxPaceWeight is the greatest weight of one reported pace, so that a single false
	// one does not decide.
	maxPaceWeight = 0.5
	// minPace and maxPace bound a reported pace, relative to the usual one.
	minPace = 0.8
	maxPace = 8.0
	// paceLifetime is the time in which a reported pace decays by the factor e towards
	// the usual one, so that an upstream that is avoided because of it is tried again.
	paceLifetime = 2 * time.Second
	// minGapCount is the least number of gaps between events from which a speed is
	// measured. With fewer, the prompts that are prefilled between them decide.
	minGapCount = 8
	// minWaitingShare is the least share of a stream for which the router must have
	// waited for events. Otherwise a slow caller has delayed it.
	minWaitingShare = 0.9
	// reportCalls is the number of calls after which a load report has lost weight by the
	// factor e.
	reportCalls = 0.7
)

// learned is what a router has learned about one upstream.
type learned struct {
	// pace is the duration of work relative to the usual one, as reported.
	pace atomic.Pointer[reportedPace]
	// speed is the duration of work relative to the usual one, as measured and reported.
	speed atomic.Pointer[speed]
	// limit is the number of requests up to which responses are in time.
	limit limit
	// invalidReport says that a load report had an invalid figure.
	invalidReport atomic.Bool
}

// reportedPace is a mean of reported paces. It is immutable.
type reportedPace struct {
	value float64
	at    time.Time
}

// freshness is 1 at the last report and decays towards 0.
func (rp reportedPace) freshness(now time.Time) float64 {
	return math.Exp(-float64(max(0, now.Sub(rp.at))) / float64(paceLifetime))
}

// decayed returns the pace, which decays towards the usual one.
func (rp reportedPace) decayed(now time.Time) float64 { return 1 + (rp.value-1)*rp.freshness(now) }

// WithReport returns a copy with one more report.
func (rp reportedPace) WithReport(pace float64, now time.Time) reportedPace {
	val, age := rp.decayed(now), max(0, now.Sub(rp.at))
	weight := min(maxPaceWeight, 1-math.Exp(-float64(age)/float64(paceTime)))
	return reportedPace{val + weight*(min(max(pace, minPace), maxPace)-val), now}
}

// ReportedPace records the current duration of work that the upstream has reported,
// relative to the usual one.
func (ep *Endpoint) ReportedPace(pace float64, now time.Time) {
	for {
		old := ep.state.pace.Load()
		next := valueOr(old, reportedPace{value: 1}).WithReport(pace, now)
		if ep.state.pace.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Pace returns the duration of work relative to the usual one, from the recent reports.
func (ep *Endpoint) Pace(now time.Time) float64 { return ep.pace().decayed(now) }

func (ep *Endpoint) pace() reportedPace { return valueOr(ep.state.pace.Load(), reportedPace{value: 1}) }

func (ep *Endpoint) speed() speed { return valueOr(ep.state.speed.Load(), newSpeed()) }

// valueOr returns the value, or the starting value if there is none.
func valueOr[T any](val *T, start T) T {
	if val == nil {
		return start
	}
	return *val
}

// FirstInvalidReport records that a load report has an invalid figure, and reports
// whether it is the first one of the upstream.
func (ep *Endpoint) FirstInvalidReport() bool { return !ep.state.invalidReport.Swap(true) }

// Slowness returns the expected duration of work at the upstream relative to the usual
// one of its service.
func (ep *Endpoint) Slowness(now time.Time) float64 {
	return ep.speed().factor(ep.pace(), now)
}

// Limit returns the number of requests up to which the upstream is expected to respond
// in time. It is at least 1 and at most the number of slots.
func (ep *Endpoint) Limit(now time.Time) float64 { return ep.state.limit.value(ep.capacity(), now) }

// measure records how long something took, relative to what was expected of any upstream
// of the service.
func (ep *Endpoint) measure(ti *timing, ratio float64, now time.Time) {
	relative, weight := ti.add(math.Log(ratio), math.Log(ep.Slowness(now)))
	relative = min(max(relative, -maxLogRatio), maxLogRatio)
	logPace := math.Log(ep.pace().value)
	for {
		old := ep.state.speed.Load()
		next := valueOr(old, newSpeed()).WithSample(relative, logPace, weight, now)
		if ep.state.speed.CompareAndSwap(old, &next) {
			return
		}
	}
}

// progress is what a request has shown about its upstream so far.
type progress struct {
	// requests is the estimated number of requests at the upstream when this one was
	// sent, including it, and backlogMs the time to prefill the prompts of other routers
	// that were waiting then.
	requests  float64
	backlogMs float64
	// due is the time at which the next event or the response is due, or zero, and late
	// says that one was late.
	due  time.Time
	late bool
	// firstAt and lastAt are the times of the first and the last event, gaps is the
	// number of events after the first, and waited the time for which they were waited
	// for.
	firstAt, lastAt time.Time
	gaps            int
	waited          time.Duration
	// respondedAt is when the response arrived of a call that is no stream.
	respondedAt time.Time
}

func (ep *Endpoint) newProgress(tokens ident.Tokens, now time.Time) progress {
	defaultMs := defaultPlainMs
	if tokens > 0 {
		defaultMs = defaultEngineMs
	}
	return progress{requests: ep.expectedRequests(defaultMs, now), backlogMs: ep.backlogMs(now)}
}

// Expect records the time at which the next event or the response is due for the caller.
func (se *Sent) Expect(due time.Time) { se.due = due }

// Event records an event that was waited for since a time.
func (se *Sent) Event(since, now time.Time) {
	se.checkDue(now)
	if !se.prefilled {
		se.FirstEvent(now)
	}
	if se.firstAt.IsZero() {
		se.firstAt, se.lastAt = now, now
		return
	}
	se.gaps++
	se.waited += now.Sub(since)
	se.lastAt = now
}

// Responded records that the whole response has arrived. served says that it reports no
// error: how soon an upstream responds with one does not show how fast it works.
func (se *Sent) Responded(now time.Time, served bool) {
	se.checkDue(now)
	if served && se.firstAt.IsZero() {
		se.respondedAt = now
	}
}

// checkDue records whether what was expected is late. A long prompt that is late at an
// idle upstream too says nothing about the number of requests.
func (se *Sent) checkDue(now time.Time) {
	idleMs := 2 * float64(se.tokens) / se.ep.profile.PrefillRate()
	if !se.late && !se.due.IsZero() && now.After(se.due) && (se.prefilled || millisOf(se.due.Sub(se.at)) >= idleMs) {
		se.late = true
		se.ep.state.limit.record(se.requests, true, se.ep.capacity(), now)
	}
	se.due = time.Time{}
}

// learnFirst learns from the time to the first event.
func (se *Sent) learnFirst(took time.Duration, now time.Time) {
	if ms := millisOf(took); se.tokens >= minMeasuredPrompt && ms > 0 {
		expected := float64(se.ahead)/se.ep.profile.PrefillRate() + se.backlogMs
		se.ep.measure(&se.ep.profile.firstEvents, ms/expected, now)
	}
}

// learnDone learns from the course of a request that has ended.
func (se *Sent) learnDone(now time.Time, complete bool) {
	ep := se.ep
	se.checkDue(now)
	if !complete {
		return
	}
	if !se.late {
		ep.state.limit.record(se.requests, false, ep.capacity(), now)
	}
	length := se.lastAt.Sub(se.firstAt)
	switch took := millisOf(se.respondedAt.Sub(se.at)); {
	case se.gaps >= minGapCount && float64(se.waited) >= minWaitingShare*float64(length) && length > 0:
		gap := millisOf(length) / float64(se.gaps)
		ep.profile.recordGap(gap/ep.Slowness(now), se.requests)
		ep.measure(&ep.profile.gaps, gap/(1+ep.profile.gapGrowth()*se.requests), now)
	case took > 0:
		ep.measure(&ep.profile.calls, took, now)
	}
}

// expectedRequests returns the expected number of requests at the upstream. The last report
// counts less with its age, because the requests that it counts end, and other routers have
// sent some that it does not count.
func (ep *Endpoint) expectedRequests(defaultMs float64, now time.Time) float64 {
	own, usual := float64(ep.InFlight()), ep.profile.Load()*float64(ep.capacity())
	re := ep.state.reported.Load()
	if re == nil {
		return max(own, usual)
	}
	age := millisOf(max(0, now.Sub(re.at)))
	fresh := math.Exp(-age / (reportCalls * max(defaultMs, ep.profile.ServiceTime(defaultMs))))
	return max(own, usual+(float64(re.occupied)-usual)*fresh+float64(ep.state.sentSinceReport.Load()))
}

// backlogMs returns the expected time to prefill the prompts of other routers that were
// waiting at the last report and still are.
func (ep *Endpoint) backlogMs(now time.Time) float64 {
	re := ep.state.reported.Load()
	if re == nil || re.waitingOthers <= 0 {
		return 0
	}
	return max(0, float64(re.waitingOthers)*ep.profile.MeanUncached()/ep.profile.PrefillRate()-millisOf(now.Sub(re.at)))
}

// prefillMs returns the cost, in milliseconds at the usual speed, to prefill so many
// tokens at the upstream after the prompts that are waiting there.
func (ep *Endpoint) prefillMs(tokens ident.Tokens, now time.Time) float64 {
	return (prefillWeight*float64(tokens)+float64(ep.state.prefillTokens.Load()))/ep.profile.PrefillRate() + ep.backlogMs(now)
}

func millisOf(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }
