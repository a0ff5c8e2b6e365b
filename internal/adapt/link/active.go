package link

import (
	"context"
	"sync"
)

// active counts the request streams that are open.
type active struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count falls to zero.
	idle chan struct{}
}

func (ac *active) enter() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.count == 0 {
		ac.idle = make(chan struct{})
	}
	ac.count++
}

func (ac *active) leave() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.count--; ac.count == 0 {
		close(ac.idle)
	}
}

func (ac *active) wait(ctx context.Context) error {
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
