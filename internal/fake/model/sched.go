package model

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("the waiting queue is full")

// scheduler assigns slots to calls. Waiting calls are ordered by priority, then by
// arrival. A lower value is a higher priority.
type scheduler struct {
	mu         sync.Mutex
	slots      int
	queueLimit int
	running    int
	arrivals   uint64
	queue      tickets
}

type ticket struct {
	priority  int
	arrival   uint64
	heapIndex int
	granted   chan struct{}
}

func newScheduler(slots, queueLimit int) *scheduler {
	return &scheduler{slots: slots, queueLimit: queueLimit}
}

// acquire waits for a slot. It returns errQueueFull if too many calls wait already.
func (sc *scheduler) acquire(ctx context.Context, priority int) error {
	sc.mu.Lock()
	if sc.running < sc.slots {
		sc.running++
		sc.mu.Unlock()
		return nil
	}
	if len(sc.queue) >= sc.queueLimit {
		sc.mu.Unlock()
		return errQueueFull
	}
	sc.arrivals++
	ti := &ticket{priority: priority, arrival: sc.arrivals, granted: make(chan struct{})}
	heap.Push(&sc.queue, ti)
	sc.mu.Unlock()
	select {
	case <-ti.granted:
		return nil
	case <-ctx.Done():
		sc.abandon(ti)
		return ctx.Err()
	}
}

// abandon removes the ticket from the queue, or releases the slot that was granted
// in the meantime.
func (sc *scheduler) abandon(ti *ticket) {
	sc.mu.Lock()
	waiting := ti.heapIndex >= 0
	if waiting {
		heap.Remove(&sc.queue, ti.heapIndex)
	}
	sc.mu.Unlock()
	if !waiting {
		sc.release()
	}
}

// release passes the slot to the first waiting call, or frees it if none waits.
func (sc *scheduler) release() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if len(sc.queue) == 0 {
		sc.running--
		return
	}
	ti := heap.Pop(&sc.queue).(*ticket)
	close(ti.granted)
}

func (sc *scheduler) counts() (running, waiting int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.running, len(sc.queue)
}

// tickets implements heap.Interface. The heapIndex of a ticket outside the heap is
// -1.
type tickets []*ticket

func (tk tickets) Len() int { return len(tk) }

func (tk tickets) Less(le, ri int) bool {
	if tk[le].priority != tk[ri].priority {
		return tk[le].priority < tk[ri].priority
	}
	return tk[le].arrival < tk[ri].arrival
}

func (tk tickets) Swap(le, ri int) {
	tk[le], tk[ri] = tk[ri], tk[le]
	tk[le].heapIndex, tk[ri].heapIndex = le, ri
}

// Push implements heap.Interface.
func (tk *tickets) Push(val any) {
	ti := val.(*ticket)
	ti.heapIndex = len(*tk)
	*tk = append(*tk, ti)
}

// Pop implements heap.Interface.
func (tk *tickets) Pop() any {
	last := len(*tk) - 1
	ti := (*tk)[last]
	(*tk)[last] = nil
	*tk = (*tk)[:last]
	ti.heapIndex = -1
	return ti
}
