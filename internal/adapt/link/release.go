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

// releaseTimeout bounds the handling of one request at the router that returns
// the escrow.
const releaseTimeout = time.Second

// maxReleases bounds the concurrent connections of other routers, so that they
// cannot exhaust the memory of this one.
const maxReleases = 64

// Releaser asks other routers to return unused escrow. It opens a connection
// for each request, because requests are rare: one round per shortage of a
// budget.
type Releaser struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)
}

// NewReleaser returns a releaser that opens connections with dial.
func NewReleaser(dial func(ctx context.Context, addr string) (net.Conn, error)) Releaser {
	return Releaser{dial: dial}
}

// Release asks the incarnation at the address to return the budget's unused
// escrow. It returns the number of tokens that were returned.
func (re Releaser) Release(ctx context.Context, addr string, in ident.Incarnation, rf ident.BudgetRef) (ident.Tokens, error) {
	nc, err := re.dial(ctx, addr)
	if err != nil {
		return 0, err
	}
	// Otherwise a router that accepts the connection and does not respond would
	// block the call beyond its context.
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

// EscrowHolder returns unused escrow.
type EscrowHolder interface {
	// Incarnation returns the incarnation of the router.
	Incarnation() ident.Incarnation
	// Release returns the budget's unused escrow to the table.
	Release(ctx context.Context, rf ident.BudgetRef) (ident.Tokens, error)
}

// ServeReleases serves the requests of other routers until ctx ends or the
// listener fails, and returns after every connection has ended.
func ServeReleases(ctx context.Context, ls net.Listener, ho EscrowHolder) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = ls.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	sem := make(chan struct{}, maxReleases)
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
		case sem <- struct{}{}:
			wg.Go(func() {
				defer func() { <-sem }()
				serveRelease(ctx, nc, ho)
			})
		default:
			_ = nc.Close()
		}
	}
}

// serveRelease serves the one request of a connection.
func serveRelease(ctx context.Context, nc net.Conn, ho EscrowHolder) {
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
	released := ident.Tokens(0)
	if re.GetIncarnation() == string(ho.Incarnation()) {
		// A release that failed has returned nothing.
		released, _ = ho.Release(ctx, ident.BudgetRef{Account: ident.Account(re.GetAccount()), Budget: ident.Budget(re.GetBudget())})
	}
	_ = fc.send(&wire.Frame{Body: &wire.Frame_Released{Released: &wire.Released{Tokens: int64(released)}}})
	// The peer closes the session after it has read the response.
	_, _ = fc.recv()
}
