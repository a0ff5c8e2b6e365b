package budget

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/reach"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// watchedTable is the table as a holder reaches it. The results of its calls tell
// whether the table responds, and how long that usually takes.
type watchedTable struct {
	store.Table
	opts  options
	state *snap.Cell[reach.Table]
}

func newWatchedTable(table store.Table, opts options) *watchedTable {
	return &watchedTable{Table: table, opts: opts, state: snap.NewCell(reach.Table{})}
}

// Get returns the row and whether it exists.
func (wt *watchedTable) Get(ctx context.Context, key string) (store.Item, bool, error) {
	sent := wt.opts.clock.Now()
	it, ok, err := wt.Table.Get(ctx, key)
	wt.record(ctx, "read", key, sent, err)
	return it, ok, err
}

// Scan returns rows with the prefix.
func (wt *watchedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	sent := wt.opts.clock.Now()
	its, err := wt.Table.Scan(ctx, prefix, after, limit)
	wt.record(ctx, "scan", prefix, sent, err)
	return its, err
}

// Commit applies all writes or none.
func (wt *watchedTable) Commit(ctx context.Context, writes ...store.Write) error {
	sent := wt.opts.clock.Now()
	err := wt.Table.Commit(ctx, writes...)
	wt.record(ctx, "write", writes[0].Key, sent, err)
	return err
}

// down reports whether the table does not respond.
func (wt *watchedTable) down() bool { return wt.state.Load().Down() }

// usual returns the usual response time.
func (wt *watchedTable) usual() time.Duration { return wt.state.Load().Usual() }

// record records the result of a call. Its kind is the operation and the table of the
// first row.
func (wt *watchedTable) record(ctx context.Context, operation, key string, sent time.Time, err error) {
	table, _, _ := strings.Cut(key, "/")
	wt.opts.meter.Count("tableCalls", "kind", operation+"-"+table, 1)
	now := wt.opts.clock.Now()
	ca := reach.Call{Sent: sent, Ended: now, Result: resultOf(err), Cut: ctx.Err() != nil, Congested: wt.opts.congested(now)}
	wt.state.Update(func(old reach.Table) (reach.Table, bool) { return old.WithCall(ca), true })
}

// resultOf returns what the error of a call says about the table. An error of several
// access paths may contain more than one cause: a path that is throttled while no other one
// responds cannot be used.
func resultOf(err error) reach.Result {
	switch {
	case err == nil, errors.Is(err, store.ErrConflict):
		return reach.Responded
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled) && errors.Is(err, context.DeadlineExceeded):
		return reach.Rejected
	case errors.Is(err, store.ErrThrottled):
		return reach.Throttled
	default:
		return reach.Silent
	}
}
