package hedge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamwood/balsamwood/internal/port/store"
)

// errUnreachable means that a call on behalf of another router was not made.
var errUnreachable = fmt.Errorf("%w: this router cannot reach the table", store.ErrUnavailable)

// directPath is the direct access path. Its results tell whether the table can be
// reached on it.
type directPath struct {
	store.Table
	tb *Table
}

// Get returns the row and whether it exists.
func (dp *directPath) Get(ctx context.Context, key string) (store.Item, bool, error) {
	start := dp.tb.clock.Now()
	it, ok, err := dp.Table.Get(ctx, key)
	dp.recordResult(ctx, start, err)
	return it, ok, err
}

// Scan returns rows with the prefix.
func (dp *directPath) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	start := dp.tb.clock.Now()
	its, err := dp.Table.Scan(ctx, prefix, after, limit)
	dp.recordResult(ctx, start, err)
	return its, err
}

// Commit applies all writes or none.
func (dp *directPath) Commit(ctx context.Context, writes ...store.Write) error {
	start := dp.tb.clock.Now()
	err := dp.Table.Commit(ctx, writes...)
	dp.recordResult(ctx, start, err)
	return err
}

// recordResult records the result, unless the call ended because its caller
// cancelled it.
func (dp *directPath) recordResult(ctx context.Context, start time.Time, err error) {
	if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(cause, errResponded) && !errors.Is(cause, errTimedOut) {
		return
	}
	dp.tb.recordResult(err, dp.tb.clock.Now().Sub(start))
}

// routerPath is an access path through another router. Later calls try the router
// through which the table last responded before the other routers.
type routerPath struct {
	store.Table
	tb   *Table
	addr string
}

// Get returns the row and whether it exists.
func (rp *routerPath) Get(ctx context.Context, key string) (store.Item, bool, error) {
	it, ok, err := rp.Table.Get(ctx, key)
	rp.recordResult(err)
	return it, ok, err
}

// Scan returns rows with the prefix.
func (rp *routerPath) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	its, err := rp.Table.Scan(ctx, prefix, after, limit)
	rp.recordResult(err)
	return its, err
}

// Commit applies all writes or none.
func (rp *routerPath) Commit(ctx context.Context, writes ...store.Write) error {
	err := rp.Table.Commit(ctx, writes...)
	rp.recordResult(err)
	return err
}

// recordResult records whether the table responded through this router.
func (rp *routerPath) recordResult(err error) {
	lastRouter := rp.tb.lastRouter.Load()
	switch isLast := lastRouter != nil && *lastRouter == rp.addr; {
	case !noResponse(err) && !isLast:
		rp.tb.lastRouter.Store(&rp.addr)
	case noResponse(err) && isLast:
		rp.tb.lastRouter.CompareAndSwap(lastRouter, nil)
	}
}

// direct makes calls on behalf of other routers, on the direct path only.
type direct struct{ tb *Table }

// Get returns the row and whether it exists.
func (di direct) Get(ctx context.Context, key string) (store.Item, bool, error) {
	if di.tb.unreachable.Load() {
		return store.Item{}, false, errUnreachable
	}
	return di.tb.direct.Get(ctx, key)
}

// Scan returns rows with the prefix.
func (di direct) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	if di.tb.unreachable.Load() {
		return nil, errUnreachable
	}
	return di.tb.direct.Scan(ctx, prefix, after, limit)
}

// Commit applies all writes or none.
func (di direct) Commit(ctx context.Context, writes ...store.Write) error {
	if di.tb.unreachable.Load() {
		return errUnreachable
	}
	return di.tb.direct.Commit(ctx, writes...)
}
