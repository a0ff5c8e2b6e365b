package place

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Terms are the parts of the cost of a placement, in milliseconds of expected delay.
type Terms struct {
	// Work is the part of the request itself, Requests that of the other requests at the
	// upstream, and OverLimit that of those above its limit, all at the usual speed.
	Work, Requests, OverLimit float64
	// Slowness is the learned duration of work relative to the usual one. It multiplies
	// the terms above.
	Slowness float64
	// SlowDecoding is the cost of decoding at another speed than the usual one.
	SlowDecoding float64
	// Saving is the expected gain from prefixes that other routers sent there.
	Saving float64
	// Remote is the cost of another failure domain.
	Remote float64
	// Suspect is the cost of recent failures, which exceeds any other.
	Suspect float64
}

// Total returns the cost.
func (te Terms) Total() float64 {
	return (te.Work+te.Requests+te.OverLimit)*te.Slowness + te.SlowDecoding - te.Saving + te.Remote + te.Suspect
}

// Exclusion is why an upstream is not a candidate, or empty.
type Exclusion string

// The reasons for which an upstream is excluded.
const (
	Tried        Exclusion = "tried"
	OtherRelease Exclusion = "otherRelease"
	Leaving      Exclusion = "leaving"
	Quiet        Exclusion = "quiet"
	Closed       Exclusion = "domainClosed"
	Cold         Exclusion = "cold"
)

// exclusionOf returns why the demand cannot be placed at the endpoint.
func exclusionOf(ep *Endpoint, de Demand, now time.Time) Exclusion {
	switch {
	case de.wasTried(ep):
		return Tried
	case de.excludes(ep):
		return OtherRelease
	case ep.Usable(now):
		return ""
	case ep.Leaving:
		return Leaving
	case !ep.Accepting():
		return Closed
	case ep.IsCold(now):
		return Cold
	default:
		return Quiet
	}
}

// Candidate is an upstream as a placement sees it.
type Candidate struct {
	Upstream ident.Upstream
	// Excluded says why the upstream cannot be chosen, or is empty.
	Excluded Exclusion
	Terms    Terms
	// Cached is the number of prompt tokens that the upstream probably caches.
	Cached ident.Tokens
	// Requests is the expected number of requests there, Limit the learned limit.
	Requests, Limit float64
}

// Explanation says why a demand is placed where it is.
type Explanation struct {
	Candidates []Candidate
	// Choice is the candidate with the lowest cost, or empty if all are excluded. Without
	// the random variation of costs, a policy chooses it.
	Choice ident.Upstream
}

// Explainable is a policy whose choices can be explained.
type Explainable interface {
	// candidate returns the endpoint as the policy sees it.
	candidate(ep *Endpoint, list []*Endpoint, de Demand, now time.Time) Candidate
}

// Explain returns why a policy places a demand where it does. It changes nothing.
func Explain(po Explainable, list []*Endpoint, de Demand, now time.Time) Explanation {
	var out Explanation
	lowest := 0.0
	for _, ep := range list {
		ca := po.candidate(ep, list, de, now)
		ca.Upstream, ca.Excluded, ca.Limit = ep.ID, exclusionOf(ep, de, now), ep.Limit(now)
		if ep.Suspect(now) {
			ca.Terms.Suspect = suspectPenaltyMs
		}
		if cost := ca.Terms.Total(); ca.Excluded == "" && (out.Choice == "" || cost < lowest) {
			out.Choice, lowest = ep.ID, cost
		}
		out.Candidates = append(out.Candidates, ca)
	}
	return out
}
