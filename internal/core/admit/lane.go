package admit

import (
	"slices"
)

// push adds the entry to the share of its account. An account without entries
// starts level with the least served one, so that it cannot save up turns.
func (la *lane[T]) push(en Entry[T]) {
	sh := la.share(en)
	if sh == nil {
		sh = &share[T]{account: en.Account, served: la.leastServed()}
		la.shares = append(la.shares, sh)
	}
	at, _ := slices.BinarySearchFunc(sh.entries, en, func(it, en Entry[T]) int {
		return en.Deadline.Compare(it.Deadline)
	})
	sh.entries = slices.Insert(sh.entries, at, en)
}

// next returns the share whose head has the earliest deadline among those that
// were not served too often, or nil.
func (la *lane[T]) next(quantum int) *share[T] {
	var best *share[T]
	limit := la.leastServed() + quantum
	for _, sh := range la.shares {
		if sh.served >= limit {
			continue
		}
		if best == nil || sh.head().Deadline.Before(best.head().Deadline) {
			best = sh
		}
	}
	return best
}

// mayReplace reports whether the entry has a better claim to a place than the
// last entry of the largest share of its own class.
func (la *lane[T]) mayReplace(largest *share[T], en Entry[T]) bool {
	if largest.account == en.Account {
		return en.Deadline.Before(largest.entries[0].Deadline)
	}
	own := 0
	if sh := la.share(en); sh != nil {
		own = len(sh.entries)
	}
	return own+1 < len(largest.entries)
}

func (la *lane[T]) share(en Entry[T]) *share[T] {
	for _, sh := range la.shares {
		if sh.account == en.Account {
			return sh
		}
	}
	return nil
}

func (la *lane[T]) largest() *share[T] {
	var best *share[T]
	for _, sh := range la.shares {
		if best == nil || len(sh.entries) > len(best.entries) {
			best = sh
		}
	}
	return best
}

func (la *lane[T]) leastServed() int {
	low := 0
	for ix, sh := range la.shares {
		if ix == 0 || sh.served < low {
			low = sh.served
		}
	}
	return low
}

func (la *lane[T]) prune() {
	la.shares = slices.DeleteFunc(la.shares, func(sh *share[T]) bool { return len(sh.entries) == 0 })
}
