package retry

import "sync/atomic"

const (
	defaultRatio = 0.1
	// defaultReserve covers the loss of one of three failure domains, which
	// affects a third of the roughly 110 requests in flight at a router.
	defaultReserve = 50
	// retryCost is the fixed-point credit for one retry.
	retryCost = 1 << 16
)

// Budget bounds retries to a ratio of first attempts, so that a fault cannot
// multiply the load. It uses atomics only.
type Budget struct {
	credit  atomic.Int64
	deposit int64
	limit   int64
}

// BudgetOption configures a Budget.
type BudgetOption func(*budgetSettings)

type budgetSettings struct {
	ratio   float64
	reserve int
}

// WithRatio sets the retries per first attempt. The default is 0.1, the range
// is 0 to 1.
func WithRatio(ratio float64) BudgetOption {
	return func(bs *budgetSettings) { bs.ratio = min(1, max(0, ratio)) }
}

// WithReserve sets the largest number of retries that can accumulate, which is
// also the number available at the start. The default is 50, the range is 0 or
// more.
func WithReserve(retries int) BudgetOption {
	return func(bs *budgetSettings) { bs.reserve = max(0, retries) }
}

// NewBudget returns a budget with a full reserve.
func NewBudget(opts ...BudgetOption) *Budget {
	bs := budgetSettings{ratio: defaultRatio, reserve: defaultReserve}
	for _, opt := range opts {
		opt(&bs)
	}
	bu := &Budget{deposit: int64(bs.ratio * retryCost), limit: int64(bs.reserve) * retryCost}
	bu.credit.Store(bu.limit)
	return bu
}

// RecordFirst adds the credit for one first attempt, up to the reserve.
func (bu *Budget) RecordFirst() {
	for {
		old := bu.credit.Load()
		next := min(bu.limit, old+bu.deposit)
		if next == old || bu.credit.CompareAndSwap(old, next) {
			return
		}
	}
}

// Take spends the credit for one retry and reports whether there was enough.
func (bu *Budget) Take() bool {
	for {
		old := bu.credit.Load()
		if old < retryCost {
			return false
		}
		if bu.credit.CompareAndSwap(old, old-retryCost) {
			return true
		}
	}
}
