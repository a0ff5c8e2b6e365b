package orders

import (
	"context"
	"sync"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// FenceGate checks fencing numbers at the sidecar. It forwards orders one at a
// time, so that an engine that does not check fencing numbers never gets an
// older order after a newer one. Before the first order it reads the highest
// number from the table, because a sidecar that was restarted has seen none.
type FenceGate struct {
	rows    Rows
	id      ident.Upstream
	forward func(context.Context, engine.Order) error
	// sem admits one order at a time.
	sem chan struct{}

	// mu guards the fields below. highest includes the number in the table once
	// tableRead is set.
	mu        sync.Mutex
	highest   ident.Fence
	tableRead bool
}

// NewFenceGate returns a fence gate that forwards the orders for the upstream
// with forward.
func NewFenceGate(rs Rows, id ident.Upstream, forward func(context.Context, engine.Order) error) *FenceGate {
	return &FenceGate{rows: rs, id: id, forward: forward, sem: make(chan struct{}, 1)}
}

// Order forwards the order unless a newer one is known.
func (fg *FenceGate) Order(ctx context.Context, or engine.Order) error {
	fg.observe(or.Fence, false)
	select {
	case fg.sem <- struct{}{}:
	case <-ctx.Done():
		return refuse.New(refuse.Rejected, "order %d was cancelled while it waited for another order", or.Fence)
	}
	defer func() { <-fg.sem }()
	if err := fg.readTable(ctx); err != nil {
		return refuse.New(refuse.StoreUnavailable, "read the highest fencing number: %v", err)
	}
	if highest, _ := fg.observe(or.Fence, false); or.Fence < highest {
		return refuse.New(refuse.Rejected, "fencing number %d is superseded by %d", or.Fence, highest)
	}
	return fg.forward(ctx, or)
}

// observe raises the highest known number to at least fe. It returns that number
// and whether the number in the table has been read.
func (fg *FenceGate) observe(fe ident.Fence, tableRead bool) (ident.Fence, bool) {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	fg.highest, fg.tableRead = max(fg.highest, fe), fg.tableRead || tableRead
	return fg.highest, fg.tableRead
}

// readTable reads the highest number from the table unless that has succeeded
// before.
func (fg *FenceGate) readTable(ctx context.Context) error {
	if _, has := fg.observe(0, false); has {
		return nil
	}
	ro, _, err := fg.rows.Read(ctx, fg.id)
	if err == nil {
		fg.observe(ro.Fence(), true)
	}
	return err
}
