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
	defaultLead     = 10 * time.Minute
	// pressing is the part of the lead time in which batch work ranks with
	// urgent work.
	pressing = 4
	classes  = 3
)

// Entry is a queued request.
type Entry[T any] struct {
	Item    T
	Account ident.Account
	Class   config.Class
	// Deadline is required.
	Deadline time.Time
	// LatestStart is the last time at which the request can start and still
	// meet its deadline. The zero value stands for the deadline itself.
	LatestStart time.Time
}

func (en Entry[T]) latest() time.Time {
	if en.LatestStart.IsZero() {
		return en.Deadline
	}
	return en.LatestStart
}

// share holds the entries of one account in one class, latest deadline first,
// so that the next entry is removed from the end.
type share[T any] struct {
	account ident.Account
	entries []Entry[T]
	served  int
}

func (sh *share[T]) head() Entry[T] { return sh.entries[len(sh.entries)-1] }

// lane holds the entries of one class.
type lane[T any] struct {
	shares []*share[T]
}

// Queue is a bounded priority queue. Classes run in order of rank; batch work
// gains rank as its latest start nears. Within a class the earliest deadline
// goes first, except that an account which was served more often than another
// waiting one by the quantum lets that one go first. Its methods may be called
// from several goroutines; they take a short lock.
type Queue[T any] struct {
	mu       sync.Mutex
	lanes    [classes]lane[T]
	size     int
	capacity int
	quantum  int
	lead     time.Duration
}

// QueueOption configures a Queue.
type QueueOption func(*queueSettings)

type queueSettings struct {
	capacity int
	quantum  int
	lead     time.Duration
}

// WithCapacity sets the number of entries. The default is 4096, the range is
// above 0.
func WithCapacity(entries int) QueueOption {
	return func(qs *queueSettings) { qs.capacity = max(1, entries) }
}

// WithQuantum sets how many more requests of one account than of another
// waiting one may be served. The default is 4, the range is above 0.
func WithQuantum(requests int) QueueOption {
	return func(qs *queueSettings) { qs.quantum = max(1, requests) }
}

// WithLead sets how long before its latest start batch work ranks with normal
// work; for the last quarter of that time it ranks with urgent work. The default
// is 10 minutes, the range is 0 or more.
func WithLead(lead time.Duration) QueueOption {
	return func(qs *queueSettings) { qs.lead = max(0, lead) }
}

// NewQueue returns an empty queue.
func NewQueue[T any](opts ...QueueOption) *Queue[T] {
	qs := queueSettings{capacity: defaultCapacity, quantum: defaultQuantum, lead: defaultLead}
	for _, opt := range opts {
		opt(&qs)
	}
	return &Queue[T]{capacity: qs.capacity, quantum: qs.quantum, lead: qs.lead}
}

// Len returns the number of entries.
func (qu *Queue[T]) Len() int {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.size
}

// Push adds the entry. A full queue displaces an entry of a lower class, or of
// the account that holds the most entries of the same class; the displaced
// entry is returned for refusal. Push reports false when the new entry itself
// has no place.
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
	qu.lanes[en.Class.Rank()].push(en)
	qu.size++
	return displaced, true
}

// Pop removes the next entry. It also removes and returns the entries whose
// latest start has passed, which are refused. The next entry carries the class in
// which it is served: batch work whose latest start is near is served as normal.
func (qu *Queue[T]) Pop(now time.Time) (next Entry[T], ok bool, expired []Entry[T]) {
	return qu.PopIf(now, func(Entry[T]) bool { return true })
}

// PopIf is Pop for callers that take the next entry only if it is ready, for
// example because an upstream has room for it. An entry that is not ready stays
// the next one. Ready runs under the queue's lock and must not use the queue.
func (qu *Queue[T]) PopIf(now time.Time, ready func(Entry[T]) bool) (next Entry[T], ok bool, expired []Entry[T]) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	expired = qu.expire(now)
	la, sh := qu.pick(now)
	if sh == nil {
		return next, false, expired
	}
	next = sh.head()
	if next.Class == config.Batch && qu.rank(next, now) < config.Batch.Rank() {
		next.Class = config.Normal
	}
	if !ready(next) {
		return Entry[T]{}, false, expired
	}
	sh.served++
	sh.entries = sh.entries[:len(sh.entries)-1]
	la.prune()
	qu.size--
	return next, true, expired
}

// pick returns the share with the next entry and its lane.
func (qu *Queue[T]) pick(now time.Time) (*lane[T], *share[T]) {
	var la *lane[T]
	var sh *share[T]
	low := 0
	for ix := range qu.lanes {
		cand := qu.lanes[ix].next(qu.quantum)
		if cand == nil {
			continue
		}
		rank := qu.rank(cand.head(), now)
		if sh == nil || rank < low || rank == low && cand.head().latest().Before(sh.head().latest()) {
			la, sh, low = &qu.lanes[ix], cand, rank
		}
	}
	return la, sh
}

func (qu *Queue[T]) rank(en Entry[T], now time.Time) int {
	rank := en.Class.Rank()
	if rank != config.Batch.Rank() {
		return rank
	}
	switch left := en.latest().Sub(now); {
	case left <= qu.lead/pressing:
		return config.Urgent.Rank()
	case left <= qu.lead:
		return config.Normal.Rank()
	default:
		return rank
	}
}

func (qu *Queue[T]) expire(now time.Time) []Entry[T] {
	var out []Entry[T]
	for ix := range qu.lanes {
		la := &qu.lanes[ix]
		for _, sh := range la.shares {
			for len(sh.entries) > 0 && sh.head().latest().Before(now) {
				out = append(out, sh.head())
				sh.entries = sh.entries[:len(sh.entries)-1]
			}
		}
		la.prune()
	}
	qu.size -= len(out)
	return out
}

// displace removes the entry that the new one may replace.
func (qu *Queue[T]) displace(en Entry[T]) (out Entry[T], ok bool) {
	for rank := classes - 1; rank >= en.Class.Rank(); rank-- {
		la := &qu.lanes[rank]
		sh := la.largest()
		if sh == nil {
			continue
		}
		if rank == en.Class.Rank() && !la.mayReplace(sh, en) {
			return out, false
		}
		out = sh.entries[0]
		sh.entries = slices.Delete(sh.entries, 0, 1)
		la.prune()
		qu.size--
		return out, true
	}
	return out, false
}
