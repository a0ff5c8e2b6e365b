package quota

import "time"

// Standing is a claim among others.
type Standing struct {
	Claim
	// Share is what all claims of the owner hold together.
	Share int64
}

// Order decides which claims give way first.
type Order interface {
	// Before reports whether one gives way before two.
	Before(one, two Standing, now time.Time) bool
	// MayUseReserve reports whether a fixed claim may use the reserve of a budget.
	MayUseReserve(cl Claim) bool
}

// ByProgress is the order of transfers with an end. Those that have not advanced for
// StallTime give way first, the longest stalled one before the others. Then come the
// claims of the owner that holds the most, and among these the ones with the most left.
// Claims of at most Small in total count as stalled later, give way last, and may use
// the reserve.
type ByProgress struct {
	StallTime time.Duration
	Small     int64
}

// Before implements Order.
func (bp ByProgress) Before(one, two Standing, now time.Time) bool {
	stalledOne, stalledTwo := bp.stalled(one.Claim, now), bp.stalled(two.Claim, now)
	smallOne, smallTwo := bp.MayUseReserve(one.Claim), bp.MayUseReserve(two.Claim)
	switch {
	case stalledOne != stalledTwo:
		return stalledOne
	case stalledOne && !one.AdvancedAt.Equal(two.AdvancedAt):
		return one.AdvancedAt.Before(two.AdvancedAt)
	case one.Share != two.Share:
		return one.Share > two.Share
	case smallOne != smallTwo:
		return smallTwo
	case one.Left != two.Left:
		return one.Left > two.Left
	default:
		return one.StartedAt.After(two.StartedAt)
	}
}

// MayUseReserve implements Order.
func (bp ByProgress) MayUseReserve(cl Claim) bool { return cl.Held+cl.Left <= bp.Small }

// smallStallFactor multiplies the stall time of small claims, which free little.
const smallStallFactor = 4

func (bp ByProgress) stalled(cl Claim, now time.Time) bool {
	stallTime := bp.StallTime
	if bp.MayUseReserve(cl) {
		stallTime *= smallStallFactor
	}
	return now.Sub(cl.AdvancedAt) >= stallTime
}

// ByRank is the order of claims without an end: by rank, then by the share of the
// owner, then by the time without progress. A claim that has not advanced for StallTime
// counts with the rank below its own.
type ByRank struct{ StallTime time.Duration }

// Before implements Order.
func (br ByRank) Before(one, two Standing, now time.Time) bool {
	rankOne, rankTwo := br.rank(one.Claim, now), br.rank(two.Claim, now)
	switch {
	case rankOne != rankTwo:
		return rankOne < rankTwo
	case one.Share != two.Share:
		return one.Share > two.Share
	default:
		return one.AdvancedAt.Before(two.AdvancedAt)
	}
}

func (br ByRank) rank(cl Claim, now time.Time) int {
	if now.Sub(cl.AdvancedAt) >= br.StallTime {
		return max(0, cl.Rank-1)
	}
	return cl.Rank
}

// MayUseReserve implements Order.
func (ByRank) MayUseReserve(Claim) bool { return true }
