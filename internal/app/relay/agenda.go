package relay

import (
	"container/heap"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/port/clock"
)

// agenda runs short functions at given times in one goroutine.
type agenda struct {
	clk  clock.Clock
	mu   sync.Mutex
	due  entries
	wake chan struct{}
}

type entry struct {
	at time.Time
	fn func()
}

type entries []entry

func (en entries) Len() int           { return len(en) }
func (en entries) Less(i, j int) bool { return en[i].at.Before(en[j].at) }
func (en entries) Swap(i, j int)      { en[i], en[j] = en[j], en[i] }

// Push appends an entry for package heap.
func (en *entries) Push(it any) { *en = append(*en, it.(entry)) }

// Pop removes the last entry for package heap.
func (en *entries) Pop() any {
	old := *en
	it := old[len(old)-1]
	old[len(old)-1] = entry{}
	*en = old[:len(old)-1]
	return it
}

func newAgenda(clk clock.Clock) *agenda {
	return &agenda{clk: clk, wake: make(chan struct{}, 1)}
}

// add runs fn at the given time. fn must not block.
func (ag *agenda) add(at time.Time, fn func()) {
	ag.mu.Lock()
	heap.Push(&ag.due, entry{at: at, fn: fn})
	first := ag.due[0].at.Equal(at)
	ag.mu.Unlock()
	if first {
		select {
		case ag.wake <- struct{}{}:
		default:
		}
	}
}

// run serves the agenda until done is closed.
func (ag *agenda) run(done <-chan struct{}) {
	tm := time.NewTimer(0)
	defer tm.Stop()
	for {
		if next, ok := ag.serve(); ok {
			tm.Reset(next)
		}
		select {
		case <-tm.C:
		case <-ag.wake:
		case <-done:
			return
		}
	}
}

// serve runs what is due and returns the time until the next entry.
func (ag *agenda) serve() (time.Duration, bool) {
	for {
		ag.mu.Lock()
		if len(ag.due) == 0 {
			ag.mu.Unlock()
			return 0, false
		}
		if wait := ag.due[0].at.Sub(ag.clk.Now()); wait > 0 {
			ag.mu.Unlock()
			return wait, true
		}
		en := heap.Pop(&ag.due).(entry)
		ag.mu.Unlock()
		en.fn()
	}
}
