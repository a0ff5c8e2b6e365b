package orders

import (
	"context"
	"sync"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// Gate is the sidecar's check of fencing numbers. It passes orders on one at a
// time, so that an engine that checks none never gets an older order after a
// newer one. Before the first order it reads the highest number from the table,
// because a sidecar that was restarted has seen none.
type Gate struct {
	rows Rows
	id   ident.Upstream
	pass func(context.Context, engine.Order) error
	turn chan struct{}

	mu    sync.Mutex
	high  ident.Fence
	floor bool
}

// NewGate returns a gate before the upstream that passes orders on with pass.
func NewGate(rs Rows, id ident.Upstream, pass func(context.Context, engine.Order) error) *Gate {
	return &Gate{rows: rs, id: id, pass: pass, turn: make(chan struct{}, 1)}
}

// Order passes the order on unless a newer one was seen.
func (ga *Gate) Order(ctx context.Context, or engine.Order) error {
	ga.see(or.Fence, false)
	select {
	case ga.turn <- struct{}{}:
	case <-ctx.Done():
		return refuse.New(refuse.Rejected, "order %d was given up while an earlier one ran", or.Fence)
	}
	defer func() { <-ga.turn }()
	if err := ga.readFloor(ctx); err != nil {
		return refuse.New(refuse.StoreUnavailable, "highest fencing number: %v", err)
	}
	if high, _ := ga.see(or.Fence, false); or.Fence < high {
		return refuse.New(refuse.Rejected, "fencing number %d is superseded by %d", or.Fence, high)
	}
	return ga.pass(ctx, or)
}

// see raises the highest number and returns it with whether it includes that
// of the table.
func (ga *Gate) see(fe ident.Fence, floor bool) (ident.Fence, bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.high, ga.floor = max(ga.high, fe), ga.floor || floor
	return ga.high, ga.floor
}

func (ga *Gate) readFloor(ctx context.Context) error {
	if _, has := ga.see(0, false); has {
		return nil
	}
	ro, _, err := ga.rows.Read(ctx, ga.id)
	if err == nil {
		ga.see(ro.Fence(), true)
	}
	return err
}
