package link

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// Order passes an order to the sidecar and waits for the response. After any
// error but a refusal with the outcome notRun, the order may have taken effect.
func (cl *Client) Order(ctx context.Context, or engine.Order) error {
	se := cl.cur.Load()
	if se == nil {
		return refuse.New(refuse.Unreachable, "no connection to the sidecar")
	}
	id := string(ident.NewOp())
	ch := make(chan *wire.OrderDone, 1)
	cl.mu.Lock()
	cl.orderWaiters[id] = ch
	cl.mu.Unlock()
	defer func() {
		cl.mu.Lock()
		delete(cl.orderWaiters, id)
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
		return errors.New("link: connection lost before the response to the order")
	case do := <-ch:
		if do.GetError() != "" {
			return parseRefusal(do.GetError())
		}
		return nil
	}
}

// parseRefusal is the inverse of Refusal.Error. Any other text becomes an
// internal error with an unknown outcome, because it proves nothing about the
// order.
func parseRefusal(text string) *refuse.Refusal {
	head, detail, _ := strings.Cut(text, ": ")
	reason, rest, _ := strings.Cut(head, " (")
	ou := refuse.Outcome(strings.TrimSuffix(rest, ")"))
	if !slices.Contains(refuse.All(), refuse.Reason(reason)) || ou != refuse.NotRun && ou != refuse.Unknown {
		return refuse.New(refuse.Internal, "%s", text)
	}
	return refuse.New(refuse.Reason(reason), "%s", detail).WithOutcome(ou)
}

// orderDone passes the response to the call of Order that waits for it.
func (cl *Client) orderDone(do *wire.OrderDone) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if ch := cl.orderWaiters[do.GetId()]; ch != nil {
		ch <- do
		delete(cl.orderWaiters, do.GetId())
	}
}
