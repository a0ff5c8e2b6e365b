package link

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// Order passes an order to the sidecar and waits for its answer. An error
// other than a refusal leaves it unknown whether the order took effect.
func (cl *Client) Order(ctx context.Context, or engine.Order) error {
	se := cl.cur.Load()
	if se == nil {
		return refuse.New(refuse.Unreachable, "no connection to the sidecar")
	}
	id := string(ident.NewOp())
	ch := make(chan *wire.OrderDone, 1)
	cl.mu.Lock()
	cl.waiters[id] = ch
	cl.mu.Unlock()
	defer func() {
		cl.mu.Lock()
		delete(cl.waiters, id)
		cl.mu.Unlock()
	}()
	err := se.ctl.send(&wire.Frame{Body: &wire.Frame_Order{Order: &wire.Order{
		Id: id, Fence: uint64(or.Fence), Kind: string(or.Kind), Subject: or.Subject,
	}}})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-se.CloseChan():
		return errors.New("link: connection lost before the order was answered")
	case do := <-ch:
		if do.GetError() != "" {
			return refuse.New(refuse.Rejected, "%s", do.GetError())
		}
		return nil
	}
}

func (cl *Client) orderDone(do *wire.OrderDone) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if ch := cl.waiters[do.GetId()]; ch != nil {
		ch <- do
		delete(cl.waiters, do.GetId())
	}
}
