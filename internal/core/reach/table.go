// Package reach decides whether a table counts as responding, from the results of
// the calls to it.
package reach

import "time"

// Result is what a call shows about the table.
type Result int

const (
	// Responded means that the table responded.
	Responded Result = iota
	// Throttled means that the table refused the call by its rate limit, which says
	// nothing about other calls.
	Throttled
	// Rejected means that the call was not sent or was refused.
	Rejected
	// Silent means that the call was sent and no response arrived.
	Silent
)

const (
	// patienceFactor is the multiple of the usual response time after which a call
	// counts as unanswered, within the bounds. The users' store responds in 4 ms, and in
	// about 340 ms while it is slow.
	patienceFactor = 3
	minPatience    = 400 * time.Millisecond
	maxPatience    = time.Second
	// minTimeout is the shortest time after which a failed call counts as timed out. The
	// shortest time-out of an access path is 60 ms.
	minTimeout = 50 * time.Millisecond
	// maxSilence is the time without any response after which the table counts as down,
	// although each call failed quickly.
	maxSilence = time.Second
	// fallWeight is the weight of a new response in the usual response time as it falls.
	// A rise takes effect at once.
	fallWeight = 0.3
)

// Call is a call that has ended.
type Call struct {
	Sent, Ended time.Time
	Result      Result
	// Cut means that the deadline of the caller ended the call.
	Cut bool
	// Congested means that the own link is congested.
	Congested bool
}

func (ca Call) elapsed() time.Duration { return ca.Ended.Sub(ca.Sent) }

// timedOut reports whether the call ended because no response came in time.
func (ca Call) timedOut() bool {
	return ca.Result == Silent || ca.Cut || ca.elapsed() >= minTimeout
}

// Table is what the calls to a table have shown so far. It is immutable. The zero
// Table counts as responding.
type Table struct {
	usual       time.Duration
	respondedAt time.Time
	// silentSince is when the first call without a response was sent since the last
	// response.
	silentSince time.Time
	down        bool
}

// Down reports whether the table counts as not responding.
func (ta Table) Down() bool { return ta.down }

// Usual returns the usual response time.
func (ta Table) Usual() time.Duration { return ta.usual }

// patience returns how long a call may take before it counts as unanswered.
func (ta Table) patience() time.Duration {
	return min(max(patienceFactor*ta.usual, minPatience), maxPatience)
}

// WithCall returns a copy that includes the call.
func (ta Table) WithCall(ca Call) Table {
	switch ca.Result {
	case Responded:
		elapsed := ca.elapsed()
		ta.usual = max(elapsed, ta.usual+time.Duration(fallWeight*float64(elapsed-ta.usual)))
		if ca.Ended.After(ta.respondedAt) {
			ta.respondedAt = ca.Ended
		}
		ta.silentSince, ta.down = time.Time{}, false
	case Rejected, Silent:
		if !ta.isEvidence(ca) {
			return ta
		}
		if ta.silentSince.IsZero() {
			ta.silentSince = ca.Sent
		}
		ta.down = ta.down || ca.Result == Rejected || ca.elapsed() >= ta.patience() || ca.Ended.Sub(ta.silentSince) >= maxSilence
	}
	return ta
}

// isEvidence reports whether a call without a response says anything about the table.
// It does not if another call was answered since it was sent, if its caller did not
// wait for the usual time, or if it may have been waiting for the own link.
func (ta Table) isEvidence(ca Call) bool {
	switch {
	case ta.respondedAt.After(ca.Sent):
		return false
	case ca.Cut && ca.elapsed() < ta.patience():
		return false
	default:
		return !ca.Congested || !ca.timedOut()
	}
}
