package relay

import (
	"container/heap"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/port/clock"
)

// scheduler runs short functions at given times in a single goroutine.
type scheduler struct {
	clk   clock.Clock
	mu    sync.Mutex
	queue entries
	wake  chan struct{}
}

type entry struct {
	at time.Time
	fn func()
}

// entries is a heap ordered by time.
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

func newScheduler(clk clock.Clock) *scheduler {
	return &scheduler{clk: clk, wake: make(chan struct{}, 1)}
}

// add schedules fn to run at the given time. fn must not block.
func (sch *scheduler) add(at time.Time, fn func()) {
	sch.mu.Lock()
	heap.Push(&sch.queue, entry{at: at, fn: fn})
	first := sch.queue[0].at.Equal(at)
	sch.mu.Unlock()
	if first {
		select {
		case sch.wake <- struct{}{}:
		default:
		}
	}
}

// run executes the scheduled functions until done is closed.
func (sch *scheduler) run(done <-chan struct{}) {
	tm := time.NewTimer(0)
	defer tm.Stop()
	for {
		if next, ok := sch.runDue(); ok {
			tm.Reset(next)
		}
		select {
		case <-tm.C:
		case <-sch.wake:
		case <-done:
			return
		}
	}
}

// runDue runs the functions that are due. It returns the time until the next
// entry, and whether there is one.
func (sch *scheduler) runDue() (time.Duration, bool) {
	for {
		sch.mu.Lock()
		if len(sch.queue) == 0 {
			sch.mu.Unlock()
			return 0, false
		}
		if wait := sch.queue[0].at.Sub(sch.clk.Now()); wait > 0 {
			sch.mu.Unlock()
			return wait, true
		}
		en := heap.Pop(&sch.queue).(entry)
		sch.mu.Unlock()
		en.fn()
	}
}
