package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// releaseTimeout bounds one release at the router that is asked.
const releaseTimeout = time.Second

// maxReleases bounds the connections of other routers, so that they cannot take
// the memory of this one.
const maxReleases = 64

// Releaser asks other routers to return unused escrow, over a connection per
// request. Requests are rare: one round per shortage of a budget.
type Releaser struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)
}

// NewReleaser returns a releaser that connects with dial.
func NewReleaser(dial func(ctx context.Context, addr string) (net.Conn, error)) Releaser {
	return Releaser{dial: dial}
}

// Release asks the incarnation at the address to return the budget's unused
// escrow, and returns how much it did.
func (re Releaser) Release(ctx context.Context, addr string, in ident.Incarnation, rf ident.BudgetRef) (ident.Tokens, error) {
	nc, err := re.dial(ctx, addr)
	if err != nil {
		return 0, err
	}
	// Without it, a router that accepts and does not answer would hold the call.
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	se, err := clientSession(nc)
	if err != nil {
		return 0, errors.Join(err, nc.Close())
	}
	defer func() { _ = se.Close() }()
	st, err := se.OpenStream()
	if err != nil {
		return 0, err
	}
	fc := newFrameConn(st)
	if err := fc.send(&wire.Frame{Body: &wire.Frame_Release{Release: &wire.Release{
		Incarnation: string(in), Account: string(rf.Account), Budget: string(rf.Budget),
	}}}); err != nil {
		return 0, err
	}
	fr, err := fc.recv()
	if err != nil {
		return 0, err
	}
	return ident.Tokens(fr.GetReleased().GetTokens()), nil
}

// Holder returns unused escrow.
type Holder interface {
	// Incarnation returns the incarnation of the router.
	Incarnation() ident.Incarnation
	// Release returns the budget's unused escrow to the table.
	Release(ctx context.Context, rf ident.BudgetRef) (ident.Tokens, error)
}

// ServeReleases answers other routers until ctx ends or the listener fails, and
// returns after every connection has ended.
func ServeReleases(ctx context.Context, ls net.Listener, ho Holder) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = ls.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	places := make(chan struct{}, maxReleases)
	for {
		nc, err := ls.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			cancel()
			return err
		}
		select {
		case places <- struct{}{}:
			wg.Go(func() {
				defer func() { <-places }()
				serveRelease(ctx, nc, ho)
			})
		default:
			_ = nc.Close()
		}
	}
}

// serveRelease answers the one request of a connection.
func serveRelease(ctx context.Context, nc net.Conn, ho Holder) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	se, err := serverSession(nc)
	if err != nil {
		_ = nc.Close()
		return
	}
	defer func() { _ = se.Close() }()
	st, err := se.AcceptStream()
	if err != nil {
		return
	}
	fc := newFrameConn(st)
	fr, err := fc.recv()
	if err != nil || fr.GetRelease() == nil {
		return
	}
	re := fr.GetRelease()
	got := ident.Tokens(0)
	if re.GetIncarnation() == string(ho.Incarnation()) {
		// A failed release has returned nothing.
		got, _ = ho.Release(ctx, ident.BudgetRef{Account: ident.Account(re.GetAccount()), Budget: ident.Budget(re.GetBudget())})
	}
	_ = fc.send(&wire.Frame{Body: &wire.Frame_Released{Released: &wire.Released{Tokens: int64(got)}}})
	// The peer closes the session after it has read the answer.
	_, _ = fc.recv()
}
