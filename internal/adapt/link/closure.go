package link

import (
	"context"
	"errors"
	"slices"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Errors of a closure. The incarnation may be closed at the sidecar.
var (
	errNoSidecar = errors.New("link: no connection to the sidecar")
	errCut       = errors.New("link: connection lost before the closure was confirmed")
)

// closing identifies the answer to a closure. It includes the session, because
// a restarted sidecar does not answer for the one before it.
type closing struct {
	se     *session
	router ident.Incarnation
}

// Peer names the connected sidecar.
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

// CloseIncarnation asks the sidecar to forward no more work of the incarnation
// and returns what it used there.
func (cl *Client) CloseIncarnation(ctx context.Context, in ident.Incarnation) ([]Used, error) {
	return cl.closeOn(ctx, cl.cur.Load(), in)
}

// CloseAt is CloseIncarnation for one start of the sidecar. It fails when
// another one is connected.
func (cl *Client) CloseAt(ctx context.Context, side, in ident.Incarnation) ([]Used, error) {
	se := cl.cur.Load()
	if se != nil && ident.Incarnation(se.hello.GetIncarnation()) != side {
		return nil, errNoSidecar
	}
	return cl.closeOn(ctx, se, in)
}

func (cl *Client) closeOn(ctx context.Context, se *session, in ident.Incarnation) ([]Used, error) {
	if se == nil {
		return nil, errNoSidecar
	}
	id, ch := closing{se: se, router: in}, make(chan []Used, 1)
	cl.mu.Lock()
	cl.closers[id] = append(cl.closers[id], ch)
	cl.mu.Unlock()
	defer cl.forget(id, ch)
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
		return nil, errCut
	case used := <-ch:
		return used, nil
	}
}

func (cl *Client) closedIncarnation(se *session, ci *wire.ClosedIncarnation) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	id := closing{se: se, router: ident.Incarnation(ci.GetIncarnation())}
	for _, ch := range cl.closers[id] {
		ch <- toUsed(ci)
	}
	delete(cl.closers, id)
}

// forget removes a waiter that had no answer.
func (cl *Client) forget(id closing, ch chan []Used) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	rest := slices.DeleteFunc(cl.closers[id], func(it chan []Used) bool { return it == ch })
	if len(rest) == 0 {
		delete(cl.closers, id)
		return
	}
	cl.closers[id] = rest
}
