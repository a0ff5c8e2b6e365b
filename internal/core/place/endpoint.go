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
	// Leaving upstreams finish their requests and accept no new ones.
	Leaving bool
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
	hash  uint64
	state *state
}

type state struct {
	// inFlight counts this router's requests, and prefillTokens the prompt tokens
	// of those that have not produced an event yet.
	inFlight      atomic.Int64
	prefillTokens atomic.Int64
	// reported is the load from the last response that carried one, and
	// sentSinceReport counts this router's requests since then.
	reported        atomic.Pointer[report]
	sentSinceReport atomic.Int64
	// suspectUntil is the time until which the upstream is avoided, and failures
	// counts consecutive failed sends.
	suspectUntil atomic.Int64
	failures     atomic.Int64
	// lastReceived is the time at which the last bytes arrived, or zero.
	lastReceived atomic.Int64
	// baseTime is the first time that was passed in. Other times are kept as
	// milliseconds of monotonic time since then, so that a step of the wall clock
	// has no effect.
	baseTime atomic.Pointer[time.Time]
}

// millis returns the time as it is kept in the other fields. Times from the base
// time on give at least 1, which tells them from an unset field.
func (st *state) millis(now time.Time) int64 {
	base := st.baseTime.Load()
	if base == nil {
		st.baseTime.CompareAndSwap(nil, &now)
		base = st.baseTime.Load()
	}
	return now.Sub(*base).Milliseconds() + 1
}

// report is a load report of the upstream.
type report struct {
	occupied int
	slots    int
	at       time.Time
}

// NewEndpoint returns an endpoint without requests in flight.
func NewEndpoint(up Upstream) *Endpoint {
	return &Endpoint{Upstream: up, hash: xxhash.Sum64String(string(up.ID)), state: &state{}}
}

// WithUpstream returns an endpoint with another description that shares the
// counters.
func (ep *Endpoint) WithUpstream(up Upstream) *Endpoint {
	return &Endpoint{Upstream: up, hash: ep.hash, state: ep.state}
}

const (
	// initialSuspectTime is how long an upstream is avoided after a failed send. It
	// doubles with each consecutive failure up to maxSuspectTime.
	initialSuspectTime = 400 * time.Millisecond
	maxSuspectTime     = 3200 * time.Millisecond
	// maxReportAge is the age above which a reported load is ignored.
	maxReportAge = 2 * time.Second
)

// Sent counts the start of a request with the prompt tokens that the upstream has
// to prefill.
func (ep *Endpoint) Sent(tokens ident.Tokens) {
	ep.state.inFlight.Add(1)
	ep.state.sentSinceReport.Add(1)
	ep.state.prefillTokens.Add(int64(tokens))
}

// Prefilled counts the end of the prefill phase of a request.
func (ep *Endpoint) Prefilled(tokens ident.Tokens) { ep.state.prefillTokens.Add(-int64(tokens)) }

// Done counts the end of a request.
func (ep *Endpoint) Done() { ep.state.inFlight.Add(-1) }

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
	ep.state.reported.Store(&report{occupied: running + waiting, slots: slots, at: now})
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
