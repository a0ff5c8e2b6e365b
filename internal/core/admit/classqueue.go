package admit

import (
	"slices"
)

// push adds the entry to the queue of its account. An account without entries
// starts with the served count of the least served account, so that it cannot
// accumulate credit while it is idle.
func (cq *classQueue[T]) push(en Entry[T]) {
	aq := cq.accountQueue(en)
	if aq == nil {
		aq = &accountQueue[T]{account: en.Account, served: cq.leastServed()}
		cq.accounts = append(cq.accounts, aq)
	}
	at, _ := slices.BinarySearchFunc(aq.entries, en, func(it, en Entry[T]) int {
		return en.Deadline.Compare(it.Deadline)
	})
	aq.entries = slices.Insert(aq.entries, at, en)
}

// next returns the account queue whose head has the earliest deadline, or nil.
// Accounts that were served more often than the least served one by the quantum
// are passed over.
func (cq *classQueue[T]) next(quantum int) *accountQueue[T] {
	var best *accountQueue[T]
	limit := cq.leastServed() + quantum
	for _, aq := range cq.accounts {
		if aq.served >= limit {
			continue
		}
		if best == nil || aq.head().Deadline.Before(best.head().Deadline) {
			best = aq
		}
	}
	return best
}

// mayDisplaceFrom reports whether the entry takes precedence over the last entry
// of the longest account queue of its own class.
func (cq *classQueue[T]) mayDisplaceFrom(longest *accountQueue[T], en Entry[T]) bool {
	if longest.account == en.Account {
		return en.Deadline.Before(longest.entries[0].Deadline)
	}
	own := 0
	if aq := cq.accountQueue(en); aq != nil {
		own = len(aq.entries)
	}
	return own+1 < len(longest.entries)
}

func (cq *classQueue[T]) accountQueue(en Entry[T]) *accountQueue[T] {
	for _, aq := range cq.accounts {
		if aq.account == en.Account {
			return aq
		}
	}
	return nil
}

func (cq *classQueue[T]) longest() *accountQueue[T] {
	var best *accountQueue[T]
	for _, aq := range cq.accounts {
		if best == nil || len(aq.entries) > len(best.entries) {
			best = aq
		}
	}
	return best
}

func (cq *classQueue[T]) leastServed() int {
	least := 0
	for ix, aq := range cq.accounts {
		if ix == 0 || aq.served < least {
			least = aq.served
		}
	}
	return least
}

func (cq *classQueue[T]) removeEmpty() {
	cq.accounts = slices.DeleteFunc(cq.accounts, func(aq *accountQueue[T]) bool { return len(aq.entries) == 0 })
}
