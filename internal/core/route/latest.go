package route

import "time"

// LatestStart returns the last time at which the demand can start at an idle
// upstream with the token rate of the load and still finish by the deadline. If
// the rate is not known, it returns the deadline.
func LatestStart(ld Load, de Demand, deadline time.Time) time.Time {
	if ld.TokensPerSecond <= 0 || ld.Slots <= 0 {
		return deadline
	}
	prefill := float64(de.Prompt) / (prefillSpeedup * ld.TokensPerSecond)
	return deadline.Add(-seconds(prefill) - seconds(float64(de.Output)*float64(ld.Slots)/ld.TokensPerSecond))
}
