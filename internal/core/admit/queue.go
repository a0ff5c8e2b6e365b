// Package admit decides whether a request is admitted, queued or refused. Its
// decisions are pure: time is a parameter.
package admit

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	defaultCapacity = 4096
	defaultQuantum  = 4
	defaultLeadTime = 10 * time.Minute
	// A batch entry ranks with urgent ones in the last 1/urgentLeadDivisor of the
	// lead time.
	urgentLeadDivisor = 4
	classCount        = 3
)

// Entry is a queued request.
type Entry[T any] struct {
	Item    T
	Account ident.Account
	Class   config.Class
	// Deadline is required.
	Deadline time.Time
	// LatestStart is the last time at which the request can start and still
	// meet its deadline. The zero value means the deadline itself.
	LatestStart time.Time
}

func (en Entry[T]) latestStart() time.Time {
	if en.LatestStart.IsZero() {
		return en.Deadline
	}
	return en.LatestStart
}

// accountQueue holds the entries of one account in one class, latest deadline
// first, so that the next entry is removed from the end of the slice.
type accountQueue[T any] struct {
	account ident.Account
	entries []Entry[T]
	served  int
}

func (aq *accountQueue[T]) head() Entry[T] { return aq.entries[len(aq.entries)-1] }

// classQueue holds the entries of one class.
type classQueue[T any] struct {
	accounts []*accountQueue[T]
}

// Queue is a bounded priority queue. Classes are served in order of rank; a batch
// entry gains rank as its latest start approaches. Within a class the earliest
// deadline is served first, except that an account that was served more often
// than another waiting account by the quantum is passed over. Methods are safe
// for concurrent use and hold a lock briefly.
type Queue[T any] struct {
	mu       sync.Mutex
	classes  [classCount]classQueue[T]
	size     int
	capacity int
	quantum  int
	leadTime time.Duration
}

// QueueOption configures a Queue.
type QueueOption func(*queueSettings)

type queueSettings struct {
	capacity int
	quantum  int
	leadTime time.Duration
}

// WithCapacity sets the maximum number of entries. The default is 4096, the range
// is above 0.
func WithCapacity(entries int) QueueOption {
	return func(qs *queueSettings) { qs.capacity = max(1, entries) }
}

// WithQuantum sets how many more requests of one account may be served than of
// another waiting account. The default is 4, the range is above 0.
func WithQuantum(requests int) QueueOption {
	return func(qs *queueSettings) { qs.quantum = max(1, requests) }
}

// WithLeadTime sets the lead time: how long before its latest start a batch entry
// ranks with normal ones. In the last quarter of the lead time it ranks with
// urgent ones. The default is 10 minutes, the range is 0 or more.
func WithLeadTime(lead time.Duration) QueueOption {
	return func(qs *queueSettings) { qs.leadTime = max(0, lead) }
}

// NewQueue returns an empty queue.
func NewQueue[T any](opts ...QueueOption) *Queue[T] {
	qs := queueSettings{capacity: defaultCapacity, quantum: defaultQuantum, leadTime: defaultLeadTime}
	for _, opt := range opts {
		opt(&qs)
	}
	return &Queue[T]{capacity: qs.capacity, quantum: qs.quantum, leadTime: qs.leadTime}
}

// Len returns the number of entries.
func (qu *Queue[T]) Len() int {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.size
}

// Push adds the entry. A full queue displaces an entry of a lower class, or of
// the account that has the most entries in the same class; the displaced entry
// is returned for refusal. Push reports false if the new entry itself is not
// accepted.
func (qu *Queue[T]) Push(en Entry[T]) (displaced []Entry[T], ok bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.size >= qu.capacity {
		out, ok := qu.displace(en)
		if !ok {
			return nil, false
		}
		displaced = append(displaced, out)
	}
	qu.classes[en.Class.Rank()].push(en)
	qu.size++
	return displaced, true
}

// Pop removes the next entry. It also removes and returns entries whose latest
// start has passed, for refusal; an expired entry behind a later-starting one of
// its account is found once it becomes the head. The class of the next entry is
// the one in which it is served: a batch entry near its latest start is served as
// normal.
func (qu *Queue[T]) Pop(now time.Time) (next Entry[T], ok bool, expired []Entry[T]) {
	return qu.PopIf(now, func(Entry[T]) bool { return true })
}

// PopIf is like Pop, but removes the next entry only if ready reports true, for
// example because an upstream has a free slot for it. An entry that is not ready
// remains in the queue. ready is called with the queue's lock held and must not
// use the queue.
func (qu *Queue[T]) PopIf(now time.Time, ready func(Entry[T]) bool) (next Entry[T], ok bool, expired []Entry[T]) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	expired = qu.removeExpired(now)
	cq, aq := qu.selectNext(now)
	if aq == nil {
		return next, false, expired
	}
	next = aq.head()
	if next.Class == config.Batch && qu.rank(next, now) < config.Batch.Rank() {
		next.Class = config.Normal
	}
	if !ready(next) {
		return Entry[T]{}, false, expired
	}
	aq.served++
	aq.entries = aq.entries[:len(aq.entries)-1]
	cq.removeEmpty()
	qu.size--
	return next, true, expired
}

// selectNext returns the account queue that holds the next entry and its class
// queue.
func (qu *Queue[T]) selectNext(now time.Time) (*classQueue[T], *accountQueue[T]) {
	var cq *classQueue[T]
	var aq *accountQueue[T]
	bestRank := 0
	for ix := range qu.classes {
		cand := qu.classes[ix].next(qu.quantum)
		if cand == nil {
			continue
		}
		rank := qu.rank(cand.head(), now)
		if aq == nil || rank < bestRank || rank == bestRank && cand.head().latestStart().Before(aq.head().latestStart()) {
			cq, aq, bestRank = &qu.classes[ix], cand, rank
		}
	}
	return cq, aq
}

// rank returns the rank of the entry's class, raised for a batch entry near its
// latest start.
func (qu *Queue[T]) rank(en Entry[T], now time.Time) int {
	rank := en.Class.Rank()
	if rank != config.Batch.Rank() {
		return rank
	}
	switch left := en.latestStart().Sub(now); {
	case left <= qu.leadTime/urgentLeadDivisor:
		return config.Urgent.Rank()
	case left <= qu.leadTime:
		return config.Normal.Rank()
	default:
		return rank
	}
}

// removeExpired removes the entries whose latest start has passed from the heads
// of the account queues.
func (qu *Queue[T]) removeExpired(now time.Time) []Entry[T] {
	var out []Entry[T]
	for ix := range qu.classes {
		cq := &qu.classes[ix]
		for _, aq := range cq.accounts {
			for len(aq.entries) > 0 && aq.head().latestStart().Before(now) {
				out = append(out, aq.head())
				aq.entries = aq.entries[:len(aq.entries)-1]
			}
		}
		cq.removeEmpty()
	}
	qu.size -= len(out)
	return out
}

// displace removes the entry that the new one displaces, and reports false if
// there is none.
func (qu *Queue[T]) displace(en Entry[T]) (out Entry[T], ok bool) {
	for rank := classCount - 1; rank >= en.Class.Rank(); rank-- {
		cq := &qu.classes[rank]
		aq := cq.longest()
		if aq == nil {
			continue
		}
		if rank == en.Class.Rank() && !cq.mayDisplaceFrom(aq, en) {
			return out, false
		}
		out = aq.entries[0]
		aq.entries = slices.Delete(aq.entries, 0, 1)
		cq.removeEmpty()
		qu.size--
		return out, true
	}
	return out, false
}
