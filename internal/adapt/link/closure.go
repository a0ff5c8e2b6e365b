package link

import (
	"context"
	"errors"
	"slices"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Errors of CloseIncarnation and CloseIncarnationAt. The sidecar may have closed
// the incarnation nevertheless.
var (
	errNoSidecar      = errors.New("link: no connection to the sidecar")
	errConnectionLost = errors.New("link: connection lost before the closure was confirmed")
)

// closureKey identifies the response to a closure. It includes the session,
// because a restarted sidecar does not respond for its predecessor.
type closureKey struct {
	se     *session
	router ident.Incarnation
}

// Peer returns the VM and the incarnation of the connected sidecar.
func (cl *Client) Peer() (ident.VM, ident.Incarnation, bool) {
	se := cl.cur.Load()
	if se == nil {
		return "", "", false
	}
	return ident.VM(se.hello.GetVm()), ident.Incarnation(se.hello.GetIncarnation()), true
}

// SidecarIncarnation returns the incarnation of the connected sidecar.
func (cl *Client) SidecarIncarnation() (ident.Incarnation, bool) {
	_, in, ok := cl.Peer()
	return in, ok
}

// CloseIncarnation tells the sidecar to forward no more work of the router
// incarnation and returns what that incarnation used there.
func (cl *Client) CloseIncarnation(ctx context.Context, in ident.Incarnation) ([]BudgetUsage, error) {
	return cl.closeOn(ctx, cl.cur.Load(), in)
}

// CloseIncarnationAt is CloseIncarnation for one incarnation of the sidecar. It
// fails when another incarnation is connected.
func (cl *Client) CloseIncarnationAt(ctx context.Context, sidecar, in ident.Incarnation) ([]BudgetUsage, error) {
	se := cl.cur.Load()
	if se != nil && ident.Incarnation(se.hello.GetIncarnation()) != sidecar {
		return nil, errNoSidecar
	}
	return cl.closeOn(ctx, se, in)
}

func (cl *Client) closeOn(ctx context.Context, se *session, in ident.Incarnation) ([]BudgetUsage, error) {
	if se == nil {
		return nil, errNoSidecar
	}
	id, ch := closureKey{se: se, router: in}, make(chan []BudgetUsage, 1)
	cl.mu.Lock()
	cl.closeWaiters[id] = append(cl.closeWaiters[id], ch)
	cl.mu.Unlock()
	defer cl.removeCloseWaiter(id, ch)
	err := se.ctl.send(&wire.Frame{Body: &wire.Frame_CloseIncarnation{CloseIncarnation: &wire.CloseIncarnation{
		Incarnation: string(in),
	}}})
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-se.CloseChan():
		return nil, errConnectionLost
	case used := <-ch:
		return used, nil
	}
}

// closedIncarnation passes the reported usage to all calls that wait for it.
func (cl *Client) closedIncarnation(se *session, ci *wire.ClosedIncarnation) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	id := closureKey{se: se, router: ident.Incarnation(ci.GetIncarnation())}
	for _, ch := range cl.closeWaiters[id] {
		ch <- toBudgetUsage(ci)
	}
	delete(cl.closeWaiters, id)
}

// removeCloseWaiter removes a call that received no response.
func (cl *Client) removeCloseWaiter(id closureKey, ch chan []BudgetUsage) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	rest := slices.DeleteFunc(cl.closeWaiters[id], func(it chan []BudgetUsage) bool { return it == ch })
	if len(rest) == 0 {
		delete(cl.closeWaiters, id)
		return
	}
	cl.closeWaiters[id] = rest
}
