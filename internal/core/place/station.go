// Package place chooses the upstream of a request that a router sends without
// a sidecar. Its decisions are pure: time is a parameter.
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
	// Leaving upstreams finish their work and take no new one.
	Leaving bool
}

// WithLeaving returns a copy that is or is not leaving.
func (up Upstream) WithLeaving(leaving bool) Upstream {
	up.Leaving = leaving
	return up
}

// Station is an upstream with what this router knows of its load. The counters
// outlive changes of the description. All methods are safe for concurrent use.
type Station struct {
	Upstream
	hash  uint64
	state *state
}

type state struct {
	// inFlight counts own requests, and prefill the prompt tokens of those that
	// have not produced an event.
	inFlight atomic.Int64
	prefill  atomic.Int64
	// reported is the last load from an answer, sent the own requests since.
	reported atomic.Pointer[report]
	sent     atomic.Int64
	// suspect is the time until which the upstream is avoided, and failures
	// counts failed sends without a success in between.
	suspect  atomic.Int64
	failures atomic.Int64
	// heard is when the last byte arrived.
	heard atomic.Int64
	// base is the first time that was seen. Other times are kept as
	// milliseconds since then, so that a step of the time of day has no effect.
	base atomic.Pointer[time.Time]
}

// millis returns the time as kept in the other fields, which is never zero.
func (st *state) millis(now time.Time) int64 {
	base := st.base.Load()
	if base == nil {
		st.base.CompareAndSwap(nil, &now)
		base = st.base.Load()
	}
	return now.Sub(*base).Milliseconds() + 1
}

type report struct {
	occupied int
	slots    int
	at       time.Time
}

// NewStation returns a station without own work.
func NewStation(up Upstream) *Station {
	return &Station{Upstream: up, hash: xxhash.Sum64String(string(up.ID)), state: &state{}}
}

// With returns a station with another description and the same counters.
func (st *Station) With(up Upstream) *Station {
	return &Station{Upstream: up, hash: st.hash, state: st.state}
}

const (
	// suspectFor is how long an upstream is avoided after a failed send; it
	// doubles with each further one up to maxSuspect.
	suspectFor = 400 * time.Millisecond
	maxSuspect = 3200 * time.Millisecond
	// reportAge is the age at which a reported load says nothing any more.
	reportAge = 2 * time.Second
)

// Sent counts a request with the prompt tokens that the upstream has to read.
func (st *Station) Sent(tokens ident.Tokens) {
	st.state.inFlight.Add(1)
	st.state.sent.Add(1)
	st.state.prefill.Add(int64(tokens))
}

// Prefilled ends the prompt phase of a request.
func (st *Station) Prefilled(tokens ident.Tokens) { st.state.prefill.Add(-int64(tokens)) }

// Done ends a request.
func (st *Station) Done() { st.state.inFlight.Add(-1) }

// Heard records that bytes arrived from the upstream.
func (st *Station) Heard(now time.Time) { st.state.heard.Store(st.state.millis(now)) }

// Silent returns how long no byte has arrived since the given time.
func (st *Station) Silent(since, now time.Time) time.Duration {
	silent := now.Sub(since)
	if at := st.state.heard.Load(); at != 0 {
		silent = min(silent, time.Duration(st.state.millis(now)-at)*time.Millisecond)
	}
	return silent
}

// Reported records the load that an answer told.
func (st *Station) Reported(running, waiting, slots int, now time.Time) {
	st.state.reported.Store(&report{occupied: running + waiting, slots: slots, at: now})
	st.state.sent.Store(0)
}

// Full records that the upstream refused a request for lack of a place.
func (st *Station) Full(now time.Time) {
	st.state.reported.Store(&report{occupied: 2 * st.capacity(), slots: st.capacity(), at: now})
	st.state.sent.Store(0)
}

// Succeeded ends the suspicion against the upstream.
func (st *Station) Succeeded() {
	if st.state.failures.Load() != 0 {
		st.state.failures.Store(0)
		st.state.suspect.Store(0)
	}
}

// Failed makes the upstream avoided for some time, which it returns.
func (st *Station) Failed(now time.Time) time.Duration {
	times := min(st.state.failures.Add(1), 4)
	pause := min(suspectFor<<(times-1), maxSuspect)
	st.state.suspect.Store(st.state.millis(now.Add(pause)))
	return pause
}

// Suspect reports whether the upstream is avoided.
func (st *Station) Suspect(now time.Time) bool { return st.state.millis(now) < st.state.suspect.Load() }

// InFlight returns the own requests at the upstream.
func (st *Station) InFlight() int { return int(st.state.inFlight.Load()) }

// Occupied estimates the requests at the upstream from its last report and the
// own requests since.
func (st *Station) Occupied(now time.Time) int {
	own := st.InFlight()
	re := st.state.reported.Load()
	if re == nil || now.Sub(re.at) > reportAge {
		return own
	}
	return max(own, re.occupied+int(st.state.sent.Load()))
}

// capacity returns the number of requests that the upstream serves at a time.
func (st *Station) capacity() int {
	if re := st.state.reported.Load(); re != nil && re.slots > 0 {
		return re.slots
	}
	return max(1, st.Slots)
}
