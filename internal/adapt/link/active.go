package link

import (
	"context"
	"sync"
)

// activeStreams counts the open request streams.
type activeStreams struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count drops to zero.
	idle chan struct{}
}

func (ac *activeStreams) add() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.count == 0 {
		ac.idle = make(chan struct{})
	}
	ac.count++
}

func (ac *activeStreams) done() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.count--; ac.count == 0 {
		close(ac.idle)
	}
}

// wait blocks until no stream is open or ctx ends.
func (ac *activeStreams) wait(ctx context.Context) error {
	ac.mu.Lock()
	idle, none := ac.idle, ac.count == 0
	ac.mu.Unlock()
	if none {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
