package link_test

import (
	"context"
	"net"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

var mealsBudget = ident.BudgetRef{Account: "sejin", Budget: "meals"}

// fixedHolder is a holder with 376 unused tokens of one budget.
type fixedHolder struct{}

func (fixedHolder) Incarnation() ident.Incarnation { return "i1" }

func (fixedHolder) Release(_ context.Context, rf ident.BudgetRef) (ident.Tokens, error) {
	if rf != mealsBudget {
		return 0, nil
	}
	return 376, nil
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ls
}

// TestRelease guards against a request for another incarnation at the same
// address that releases escrow, and against a server that does not stop.
func TestRelease(t *testing.T) {
	ls := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- link.ServeReleases(ctx, ls, fixedHolder{}) }()
	for in, want := range map[ident.Incarnation]ident.Tokens{"i1": 376, "i0": 0} {
		got, err := link.NewReleaser(dial).Release(t.Context(), ls.Addr().String(), in, mealsBudget)
		if err != nil || got != want {
			t.Errorf("%s released %d (%v), want %d", in, got, err, want)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestReleaseUnresponsiveRouter guards against a call that outlives its context
// because the other router accepts the connection and does not respond.
func TestReleaseUnresponsiveRouter(t *testing.T) {
	ls := listen(t)
	defer func() { _ = ls.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		// The connection stays open and unread until the test ends.
		nc, err := ls.Accept()
		cancel()
		if err == nil {
			<-t.Context().Done()
			_ = nc.Close()
		}
	}()
	if _, err := link.NewReleaser(dial).Release(ctx, ls.Addr().String(), "i1", mealsBudget); err == nil {
		t.Error("the call of a router that does not respond succeeded")
	}
}
