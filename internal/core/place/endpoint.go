// Package place chooses the upstream of a request that a router sends directly,
// without a sidecar. Its decisions are pure: time is a parameter.
package place

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Upstream describes one instance of a service. It is immutable.
type Upstream struct {
	ID      ident.Upstream
	Address string
	Service ident.Service
	Domain  ident.Domain
	Slots   int
	// StartedMs is the start of the lifetime of the instance, in Unix milliseconds, or
	// zero if it is not known. An instance may start again under its id.
	StartedMs int64
	// Release is the version of the software of the instance, or empty if it names none.
	// A stream cannot go on at another release.
	Release string
	// Leaving upstreams finish their requests and accept no new ones.
	Leaving bool
	// Closed says that the operator has closed the failure domain. Requests in progress
	// complete, and no further ones are sent.
	Closed bool
}

// Accepting reports whether new requests may be sent to the upstream at all.
func (up Upstream) Accepting() bool { return !up.Leaving && !up.Closed }

// WithClosed returns a copy whose failure domain is or is not closed.
func (up Upstream) WithClosed(closed bool) Upstream {
	up.Closed = closed
	return up
}

// WithLeaving returns a copy that is or is not leaving.
func (up Upstream) WithLeaving(leaving bool) Upstream {
	up.Leaving = leaving
	return up
}

// Endpoint is an upstream with this router's knowledge of its load. The counters
// outlive changes of the description. Its methods are safe for concurrent use.
type Endpoint struct {
	Upstream
	hash    uint64
	state   *state
	profile *Profile
	// view gives the limits of cold upstreams, or is nil if no upstream is ever cold.
	view ColdView
}

type state struct {
	// inFlight counts this router's requests, and prefillTokens the prompt tokens
	// of those that have not produced an event yet.
	inFlight      atomic.Int64
	prefillTokens atomic.Int64
	// prefilling counts this router's requests that have not produced an event yet.
	prefilling atomic.Int64
	// reported is the load from the last response that carried one, and
	// sentSinceReport counts this router's requests since then.
	reported        atomic.Pointer[report]
	sentSinceReport atomic.Int64
	// suspectUntil is the time until which the upstream is avoided, and failures
	// counts consecutive failed sends.
	suspectUntil atomic.Int64
	failures     atomic.Int64
	// quietUntil is the time until which the upstream wants no request, or zero since it
	// has accepted one that was sent later. trialAt is when the last request was sent
	// after that time.
	quietUntil atomic.Int64
	trialAt    atomic.Int64
	cold       cold
	// lastReceived is the time at which the last bytes arrived, or zero.
	lastReceived atomic.Int64
	learned
	// baseTime is the first time that was passed in. Other times are kept as
	// milliseconds or nanoseconds of monotonic time since then, so that a step of the wall clock
	// has no effect.
	baseTime atomic.Pointer[time.Time]
}

// millis returns the time as it is kept in the other fields. Times from the base
// time on give at least 1, which tells them from an unset field.
func (st *state) millis(now time.Time) int64 { return st.sinceBase(now).Milliseconds() + 1 }

// nanos returns the time as it is kept in the fields of cold. Times from the base time on
// give at least 1, which tells them from an unset field.
func (st *state) nanos(now time.Time) int64 { return st.sinceBase(now).Nanoseconds() + 1 }

func (st *state) sinceBase(now time.Time) time.Duration {
	base := st.baseTime.Load()
	if base == nil {
		// Taking the address of the parameter would allocate it in each call.
		first := now
		st.baseTime.CompareAndSwap(nil, &first)
		base = st.baseTime.Load()
	}
	return now.Sub(*base)
}

// report is a load report of the upstream.
type report struct {
	occupied int
	slots    int
	// waitingOthers is the number of waiting requests of other routers.
	waitingOthers int
	at            time.Time
}

// NewEndpoint returns an endpoint without requests in flight. The profile is
// shared by the endpoints of a service.
func NewEndpoint(up Upstream, pf *Profile) *Endpoint {
	return &Endpoint{Upstream: up, hash: xxhash.Sum64String(string(up.ID)), state: &state{}, profile: pf}
}

// WithUpstream returns an endpoint with another description that shares the
// counters.
func (ep *Endpoint) WithUpstream(up Upstream) *Endpoint {
	next := *ep
	next.Upstream = up
	return &next
}

// WithColdView returns an endpoint with other limits while it is cold that shares the
// counters.
func (ep *Endpoint) WithColdView(view ColdView) *Endpoint {
	next := *ep
	next.view = view
	return &next
}

// Profile returns what was learned about the service of the upstream.
func (ep *Endpoint) Profile() *Profile { return ep.profile }

const (
	// initialSuspectTime is how long an upstream is avoided after a failed send. It
	// doubles with each consecutive failure up to maxSuspectTime.
	initialSuspectTime = 400 * time.Millisecond
	maxSuspectTime     = 3200 * time.Millisecond
	// trialInterval is the time between two requests to an upstream that has asked for
	// quiet before. One that is still full turns a request away within a few ms.
	trialInterval = 100 * time.Millisecond
	// otherRouterDelay is the time in which another router has capacity at a cold
	// upstream at which this router has none.
	otherRouterDelay = time.Second
	// maxReportAge is the age above which a reported load is ignored.
	maxReportAge = 2 * time.Second
)

// Sent counts the start of a request with the prompt tokens that the upstream
// probably has to prefill, and returns the request for the later steps. unshared
// is the number of those that no other request can have made the upstream cache.
func (ep *Endpoint) Sent(tokens, unshared ident.Tokens, now time.Time) *Sent {
	ep.state.inFlight.Add(1)
	if ep.state.quietUntil.Load() != 0 {
		ep.state.trialAt.Store(ep.state.millis(now))
	}
	ep.state.sentSinceReport.Add(1)
	ep.state.prefilling.Add(1)
	ahead := ep.state.prefillTokens.Add(int64(tokens))
	if tokens > 0 {
		ep.profile.recordSent(tokens)
	}
	return &Sent{
		ep: ep, tokens: tokens, unshared: unshared, ahead: ident.Tokens(ahead), at: now,
		progress: ep.newProgress(tokens, now),
	}
}

// Sent is a request that was sent to an upstream. It is used by one goroutine.
type Sent struct {
	ep *Endpoint
	// tokens is the number of prompt tokens that the upstream probably has to prefill,
	// unshared the number of those that cannot be cached, and ahead the number of
	// tokens together with those of the requests that the router had sent before.
	tokens, unshared, ahead ident.Tokens

	at        time.Time
	prefilled bool
	progress
}

// FirstEvent counts the end of the prefill phase. Only the first call has an
// effect.
func (se *Sent) FirstEvent(now time.Time) {
	if se.prefilled {
		return
	}
	ep, took := se.ep, now.Sub(se.at)
	se.learnFirst(took, now)
	ep.profile.recordPrefill(float64(se.unshared), took, se.ahead > se.tokens || se.backlogMs > 0)
	se.endPrefill()
}

func (se *Sent) endPrefill() {
	se.prefilled = true
	se.ep.state.prefilling.Add(-1)
	se.ep.state.prefillTokens.Add(-int64(se.tokens))
}

// Done counts the end of the request. complete says that the response was
// complete.
func (se *Sent) Done(now time.Time, complete bool) {
	se.learnDone(now, complete)
	if !se.prefilled {
		se.endPrefill()
	}
	se.ep.state.inFlight.Add(-1)
	if complete {
		se.ep.profile.recordDone(now.Sub(se.at))
	}
}

// Received records that bytes arrived from the upstream, for any of its requests.
func (ep *Endpoint) Received(now time.Time) { ep.state.lastReceived.Store(ep.state.millis(now)) }

// SilentFor returns the time for which no byte has arrived, counted from since at
// the earliest.
func (ep *Endpoint) SilentFor(since, now time.Time) time.Duration {
	silent := now.Sub(since)
	if at := ep.state.lastReceived.Load(); at != 0 {
		silent = min(silent, time.Duration(ep.state.millis(now)-at)*time.Millisecond)
	}
	return silent
}

// Reported records the load that a response carried.
func (ep *Endpoint) Reported(running, waiting, slots int, now time.Time) {
	ep.profile.recordLoad(float64(running+waiting) / float64(max(1, slots)))
	others := max(0, waiting-int(ep.state.prefilling.Load()))
	ep.state.reported.Store(&report{occupied: running + waiting, slots: slots, waitingOthers: others, at: now})
	ep.state.sentSinceReport.Store(0)
}

// RefusedFull records that the upstream refused a request because all its slots
// are occupied.
func (ep *Endpoint) RefusedFull(now time.Time) {
	ep.state.reported.Store(&report{occupied: 2 * ep.capacity(), slots: ep.capacity(), at: now})
	ep.state.sentSinceReport.Store(0)
}

// Succeeded records a successful send: the upstream is no longer suspect.
func (ep *Endpoint) Succeeded() {
	if ep.state.failures.Load() != 0 {
		ep.state.failures.Store(0)
		ep.state.suspectUntil.Store(0)
	}
}

// Failed records a failed send and returns how long the upstream is avoided.
func (ep *Endpoint) Failed(now time.Time) time.Duration {
	times := min(ep.state.failures.Add(1), 4)
	pause := min(initialSuspectTime<<(times-1), maxSuspectTime)
	ep.state.suspectUntil.Store(ep.state.millis(now.Add(pause)))
	return pause
}

// Suspect reports whether the upstream is avoided after failed sends.
func (ep *Endpoint) Suspect(now time.Time) bool {
	return ep.state.millis(now) < ep.state.suspectUntil.Load()
}

// Quiet records that the upstream wants no request from this router until a time.
func (ep *Endpoint) Quiet(until time.Time) {
	ms := ep.state.millis(until)
	for old := ep.state.quietUntil.Load(); ms > old && !ep.state.quietUntil.CompareAndSwap(old, ms); old = ep.state.quietUntil.Load() {
	}
}

// Accepted records that the upstream has accepted a request that was sent at a time.
func (ep *Endpoint) Accepted(sent time.Time) {
	if until := ep.state.quietUntil.Load(); until != 0 && ep.state.millis(sent) >= until {
		ep.state.quietUntil.CompareAndSwap(until, 0)
	}
}

// Usable reports whether a request may be sent to the upstream: it is not leaving, its
// failure domain is not closed, it has not asked for quiet, and this router has capacity
// there if it is cold. After a quiet time, requests are sent one by one until one is
// accepted, so that not all that wait for it arrive at once.
func (ep *Endpoint) Usable(now time.Time) bool {
	if !ep.Accepting() {
		return false
	}
	until, ms := ep.state.quietUntil.Load(), ep.state.millis(now)
	if until != 0 && ms < max(until, ep.state.trialAt.Load()+trialInterval.Milliseconds()) {
		return false
	}
	wait, ok := ep.coldWait(now)
	return ok && wait == 0
}

// UsableAt returns the time at which the upstream probably accepts a request, and false
// if it does so now. Another router may have capacity earlier if the upstream is cold and
// this router has none.
func (ep *Endpoint) UsableAt(now time.Time) (time.Time, bool) {
	wait, ok := ep.coldWait(now)
	if !ok {
		wait = min(wait, otherRouterDelay)
	}
	if until := ep.state.quietUntil.Load(); until != 0 {
		wait = max(wait, time.Duration(until-ep.state.millis(now))*time.Millisecond)
	}
	return now.Add(wait), wait > 0
}

// InFlight returns the number of this router's requests at the upstream.
func (ep *Endpoint) InFlight() int { return int(ep.state.inFlight.Load()) }

// EstimatedRequests estimates the number of requests at the upstream from its
// last report and this router's requests since.
func (ep *Endpoint) EstimatedRequests(now time.Time) int {
	own := ep.InFlight()
	re := ep.state.reported.Load()
	if re == nil || now.Sub(re.at) > maxReportAge {
		return own
	}
	return max(own, re.occupied+int(ep.state.sentSinceReport.Load()))
}

// capacity returns the number of slots, as reported or else as configured.
func (ep *Endpoint) capacity() int {
	if re := ep.state.reported.Load(); re != nil && re.slots > 0 {
		return re.slots
	}
	return max(1, ep.Slots)
}

// PrefillTime returns the expected time to prefill so many tokens at the upstream
// after those that this router has sent.
func (ep *Endpoint) PrefillTime(tokens ident.Tokens) time.Duration {
	ahead := float64(int64(tokens) + ep.state.prefillTokens.Load())
	return time.Duration(ahead / ep.profile.PrefillRate() * float64(time.Millisecond))
}
