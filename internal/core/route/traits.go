package route

import "time"

// CandidateTraits returns the traits of candidates, with this router's requests as
// counted by the tracker.
func CandidateTraits(tr *Tracker) Traits[*Candidate] {
	return Traits[*Candidate]{
		Fit: fitOf,
		Load: func(ca *Candidate) float64 {
			ow := tr.OwnLoad(ca.id)
			requests := max(ca.load.Running+ca.load.Waiting+ow.UnreportedRequests, ow.Requests)
			return float64(requests) / float64(max(1, ca.load.Slots))
		},
		Finish: func(ca *Candidate, de Demand, now time.Time) time.Time {
			return EstimateAt(ca.WithOwnLoad(tr.OwnLoad(ca.id)), de, now).Finish
		},
	}
}

func fitOf(ca *Candidate, de Demand, now time.Time) Fit {
	switch {
	case !ca.Usable(now) || de.Tried.Upstream(ca.id):
		return Unfit
	case de.Tried.Domain(ca.domain):
		return Fallback
	default:
		return Preferred
	}
}
