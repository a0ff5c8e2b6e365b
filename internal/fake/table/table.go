// Package table is an in-memory stand-in for the platform's table with fault
// injection.
package table

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Table holds rows with versions. Its clients share the rows, and faults are
// injected per client.
type Table struct {
	mu     sync.Mutex
	rows   map[string]store.Item
	era    uint64
	writes int64
	reads  int64
}

// New returns an empty table.
func New() *Table { return &Table{rows: make(map[string]store.Item)} }

// Client returns a new client of the table without faults.
func (tb *Table) Client() *Client { return &Client{tb: tb} }

// Copy is the content of a Table at one moment.
type Copy struct{ rows map[string]store.Item }

// Copy returns a copy of the content.
func (tb *Table) Copy() Copy {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return Copy{maps.Clone(tb.rows)}
}

// Restore returns to the content of a copy and begins the next era. What was written
// since the copy is lost, and versions are given out again.
func (tb *Table) Restore(co Copy) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.rows = maps.Clone(co.rows)
	tb.era++
}

// Era returns how often the table has returned from a copy.
func (tb *Table) Era() uint64 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.era
}

// Writes returns the number of row writes that reached the table, including
// those of commits that failed a condition.
func (tb *Table) Writes() int64 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.writes
}

// Reads returns the number of Get and Scan calls that reached the table.
func (tb *Table) Reads() int64 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.reads
}

func (tb *Table) get(key string) (store.Item, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.reads++
	it, ok := tb.rows[key]
	return it, ok
}

func (tb *Table) scan(prefix, after string, limit int) []store.Item {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.reads++
	var found []store.Item
	for key, it := range tb.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(one, two store.Item) int { return strings.Compare(one.Key, two.Key) })
	return found[:min(limit, len(found))]
}

// conflict returns the error for writes whose conditions do not hold, with their
// current rows. The caller holds the lock.
func (tb *Table) conflict(writes []store.Write) error {
	co := &store.Conflict{}
	for _, wr := range writes {
		if it, ok := tb.rows[wr.Key]; ok {
			co.Items = append(co.Items, it)
		}
	}
	return co
}

func (tb *Table) commit(writes []store.Write) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.writes += int64(len(writes))
	for _, wr := range writes {
		if tb.rows[wr.Key].Version != wr.IfVersion {
			return tb.conflict(writes)
		}
	}
	for _, wr := range writes {
		switch wr.Mode {
		case store.Put:
			tb.rows[wr.Key] = store.Item{Key: wr.Key, Value: slices.Clone(wr.Value), Version: wr.IfVersion + 1}
		case store.Delete:
			delete(tb.rows, wr.Key)
		}
	}
	return nil
}

// Fault is an injected failure of one call.
type Fault int

const (
	// None injects no failure.
	None Fault = iota
	// Down fails the call with store.ErrUnavailable.
	Down
	// Throttled fails the call with store.ErrThrottled.
	Throttled
	// ResponseLost applies a commit and returns store.ErrUncertain, as if its
	// response were lost.
	ResponseLost
	// RequestLost does not apply a commit and returns store.ErrUncertain, as if its
	// request were lost.
	RequestLost
	// Delayed returns store.ErrUncertain and applies the commit when Deliver is
	// called.
	Delayed
)

// Client implements store.Table on a Table.
type Client struct {
	tb *Table

	mu       sync.Mutex
	down     bool
	faultFor func(commit bool) Fault
	pause    func(ctx context.Context) error
	delayed  [][]store.Write
}

// SetDown starts or ends an outage that only this client sees.
func (cl *Client) SetDown(down bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.down = down
}

// SetFaults installs a function that returns the fault of each call. Its argument
// is true for a commit and false for a read.
func (cl *Client) SetFaults(faultFor func(commit bool) Fault) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.faultFor = faultFor
}

// SetPause installs a function that runs before each call, to delay it. A call
// whose delay fails returns store.ErrUnavailable.
func (cl *Client) SetPause(pause func(ctx context.Context) error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.pause = pause
}

// FailCommits injects the faults into the next commits, in order.
func (cl *Client) FailCommits(faults ...Fault) {
	cl.SetFaults(func(commit bool) Fault {
		if !commit || len(faults) == 0 {
			return None
		}
		fa := faults[0]
		faults = faults[1:]
		return fa
	})
}

// Deliver applies the delayed commits whose conditions still hold and returns their
// number.
func (cl *Client) Deliver() int {
	cl.mu.Lock()
	delayed := cl.delayed
	cl.delayed = nil
	cl.mu.Unlock()
	applied := 0
	for _, writes := range delayed {
		if cl.tb.commit(writes) == nil {
			applied++
		}
	}
	return applied
}

// Get implements store.Table.
func (cl *Client) Get(ctx context.Context, key string) (store.Item, bool, error) {
	if _, err := cl.startCall(ctx, false); err != nil {
		return store.Item{}, false, err
	}
	it, ok := cl.tb.get(key)
	return it, ok, nil
}

// Scan implements store.Table.
func (cl *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	if _, err := cl.startCall(ctx, false); err != nil {
		return nil, err
	}
	return cl.tb.scan(prefix, after, limit), nil
}

// Commit implements store.Table.
func (cl *Client) Commit(ctx context.Context, writes ...store.Write) error {
	fa, err := cl.startCall(ctx, true)
	if err != nil {
		return err
	}
	switch fa {
	case ResponseLost:
		_ = cl.tb.commit(writes)
		return store.ErrUncertain
	case RequestLost:
		return store.ErrUncertain
	case Delayed:
		cl.mu.Lock()
		cl.delayed = append(cl.delayed, slices.Clone(writes))
		cl.mu.Unlock()
		return store.ErrUncertain
	}
	if len(writes) > store.MaxWrites {
		return store.ErrUnavailable
	}
	return cl.tb.commit(writes)
}

func (cl *Client) startCall(ctx context.Context, commit bool) (Fault, error) {
	cl.mu.Lock()
	down, pause, fa := cl.down, cl.pause, None
	if cl.faultFor != nil && !down {
		fa = cl.faultFor(commit)
	}
	cl.mu.Unlock()
	if pause != nil {
		if err := pause(ctx); err != nil {
			return fa, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
		}
	}
	switch {
	case down || fa == Down || ctx.Err() != nil:
		return fa, store.ErrUnavailable
	case fa == Throttled:
		return fa, store.ErrThrottled
	}
	return fa, nil
}
