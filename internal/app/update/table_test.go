package update_test

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/port/store"
)

// memory is an in-memory table and object store. Each node accesses it through
// a port of its own, which can simulate faults.
type memory struct {
	mu      sync.Mutex
	rows    map[string]store.Item
	objects map[string][]byte
}

func newMemory() *memory {
	return &memory{rows: map[string]store.Item{}, objects: map[string][]byte{}}
}

// snapshot returns a copy of the rows, as a backup.
func (me *memory) snapshot() map[string]store.Item {
	me.mu.Lock()
	defer me.mu.Unlock()
	cp := map[string]store.Item{}
	for key, it := range me.rows {
		cp[key] = it
	}
	return cp
}

// fault is what happens to a commit.
type fault int

const (
	none fault = iota
	// lostAfter applies the commit and loses the response.
	lostAfter
	// lostBefore loses the commit.
	lostBefore
	// lostLate loses the response and applies the commit a second later.
	lostLate
)

// port is the access of one node to the memory, with simulated faults: an outage,
// a delay, rows of an older state, and the faults of the next commits.
type port struct {
	*memory
	mu    sync.Mutex
	down  bool
	delay time.Duration
	stale map[string]store.Item
	fault []fault
}

func (po *port) set(change func(po *port)) {
	po.mu.Lock()
	defer po.mu.Unlock()
	change(po)
}

// applyFaults simulates the delay and the outage.
func (po *port) applyFaults(ctx context.Context) error {
	po.mu.Lock()
	down, delay := po.down, po.delay
	po.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if down {
		return store.ErrUnavailable
	}
	return nil
}

func (po *port) Get(ctx context.Context, key string) (store.Item, bool, error) {
	if err := po.applyFaults(ctx); err != nil {
		return store.Item{}, false, err
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.stale != nil {
		it, ok := po.stale[key]
		return it, ok, nil
	}
	po.memory.mu.Lock()
	defer po.memory.mu.Unlock()
	it, ok := po.rows[key]
	return it, ok, nil
}

func (po *port) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	if err := po.applyFaults(ctx); err != nil {
		return nil, err
	}
	var out []store.Item
	for key, it := range po.snapshot() {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(ix, jx int) bool { return out[ix].Key < out[jx].Key })
	return out[:min(limit, len(out))], nil
}

func (po *port) Commit(ctx context.Context, writes ...store.Write) error {
	if err := po.applyFaults(ctx); err != nil {
		if errors.Is(err, store.ErrUnavailable) {
			return err
		}
		return store.ErrUncertain
	}
	po.mu.Lock()
	fa := none
	if len(po.fault) > 0 {
		fa, po.fault = po.fault[0], po.fault[1:]
	}
	po.mu.Unlock()
	switch fa {
	case lostAfter:
		_ = po.commit(writes)
		return store.ErrUncertain
	case lostBefore:
		return store.ErrUncertain
	case lostLate:
		time.AfterFunc(time.Second, func() { _ = po.commit(writes) })
		return store.ErrUncertain
	}
	return po.commit(writes)
}

func (me *memory) commit(writes []store.Write) error {
	me.mu.Lock()
	defer me.mu.Unlock()
	for _, wr := range writes {
		if me.rows[wr.Key].Version != wr.IfVersion {
			return store.ErrConflict
		}
	}
	for _, wr := range writes {
		switch wr.Mode {
		case store.Put:
			me.rows[wr.Key] = store.Item{Key: wr.Key, Value: wr.Value, Version: wr.IfVersion + 1}
		case store.Delete:
			delete(me.rows, wr.Key)
		}
	}
	return nil
}

// bucket is the access of one node to the object store.
type bucket struct{ *port }

func (bu bucket) Get(ctx context.Context, name string) ([]byte, bool, error) {
	if err := bu.applyFaults(ctx); err != nil {
		return nil, false, err
	}
	bu.memory.mu.Lock()
	defer bu.memory.mu.Unlock()
	data, ok := bu.objects[name]
	return data, ok, nil
}

func (bu bucket) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	if err := bu.applyFaults(ctx); err != nil {
		return err
	}
	bu.memory.mu.Lock()
	defer bu.memory.mu.Unlock()
	if _, ok := bu.objects[name]; ok {
		return store.ErrConflict
	}
	bu.objects[name] = data
	return nil
}
