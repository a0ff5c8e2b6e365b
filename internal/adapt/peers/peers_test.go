package peers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/peers"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/feed"
)

var ref = ident.BudgetRef{Account: "desk", Budget: "prepaid"}

// router serves other routers and records their requests.
type router struct {
	// full makes it take no statement.
	full       bool
	balance    ident.Tokens
	asked      []ident.Tokens
	short      bool
	statements []escrow.Statement
}

func (ro *router) start(t *testing.T) string {
	t.Helper()
	sv := httptest.NewServer(peers.Handler(peers.LocalRouter{
		Lend: func(_ context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens {
			ro.asked, ro.short = append(ro.asked, tokens), short
			got := min(tokens, ro.balance)
			if rf != ref {
				got = 0
			}
			ro.balance -= got
			return got
		},
		CurrentConfig: func() (feed.Row, ident.Revision) {
			return feed.Row{Key: "k", Value: []byte{0, 1}, Position: epoch.At(3, 5)}, 8
		},
		AddStatement: func(st escrow.Statement) bool {
			if !ro.full {
				ro.statements = append(ro.statements, st)
			}
			return !ro.full
		},
	}))
	t.Cleanup(sv.Close)
	return strings.TrimPrefix(sv.URL, "http://")
}

// TestBorrow guards against requesting more tokens than are still missing after
// some were lent, and against a failure because one router does not run.
func TestBorrow(t *testing.T) {
	one, two := &router{balance: 60}, &router{balance: 100}
	addrs := []string{one.start(t), two.start(t), "127.0.0.1:1"}
	cl := peers.NewClient(func() []string { return addrs })
	if got := cl.Borrow(t.Context(), ref, 120, true); got != 120 {
		t.Errorf("%d tokens borrowed, want 120", got)
	}
	if left := one.balance + two.balance; left != 40 || !one.short || !two.short {
		t.Errorf("%d tokens are left, want 40; short: %v %v", left, one.short, two.short)
	}
}

// TestFetchConfig guards against a configuration that is changed in transfer,
// or that is sent to a router that has it already.
func TestFetchConfig(t *testing.T) {
	addr := (&router{}).start(t)
	cl := peers.NewClient(nil)
	ro, ok, err := cl.FetchConfig(t.Context(), addr, 7)
	if diff := cmp.Diff(feed.Row{Key: "k", Value: []byte{0, 1}, Position: epoch.At(3, 5)}, ro); diff != "" || !ok || err != nil {
		t.Errorf("%v %v, row (-want +got):\n%s", ok, err, diff)
	}
	if _, ok, err := cl.FetchConfig(t.Context(), addr, 8); ok || err != nil {
		t.Errorf("a known configuration was sent: %v %v", ok, err)
	}
}

// TestStatement guards against a statement that is not stored although other
// routers run, or that is changed in transfer.
func TestStatement(t *testing.T) {
	one, two := &router{}, &router{}
	addrs := []string{"127.0.0.1:1", one.start(t), two.start(t)}
	cl := peers.NewClient(func() []string { return addrs })
	st := escrow.Statement{Incarnation: "r1", Used: []escrow.Use{{Account: "desk", Budget: "prepaid", Tokens: 7}}}
	if copies := cl.SendStatement(t.Context(), st); copies != 2 {
		t.Errorf("%d routers have stored the statement, want 2", copies)
	}
	if diff := cmp.Diff([][]escrow.Statement{{st}, {st}}, [][]escrow.Statement{one.statements, two.statements}); diff != "" {
		t.Errorf("statements (-want +got):\n%s", diff)
	}
}

// TestStatementNotTaken guards against a router that ends in the belief that others
// have its statement although they had no room for it.
func TestStatementNotTaken(t *testing.T) {
	full, free := &router{full: true}, &router{}
	addrs := []string{full.start(t), free.start(t)}
	cl := peers.NewClient(func() []string { return addrs })
	if copies := cl.SendStatement(t.Context(), escrow.Statement{Incarnation: "r1"}); copies != 1 {
		t.Errorf("%d routers have stored the statement, want 1", copies)
	}
}

// TestBadCalls guards against malformed input that lends tokens or stores a
// statement.
func TestBadCalls(t *testing.T) {
	ro := &router{balance: 10}
	base := "http://" + ro.start(t)
	for _, tc := range []struct{ path, body string }{
		{"/v1/lend", "{"}, {"/v1/lend", `{"tokens":-5}`}, {"/v1/lend", `{"tokens":0}`}, {"/v1/statement", "{}"},
	} {
		resp, err := http.Post(base+tc.path, "application/json", strings.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s %s: status %d, want 400", tc.path, tc.body, resp.StatusCode)
		}
	}
	if len(ro.asked) != 0 || len(ro.statements) != 0 {
		t.Error("a malformed call had an effect")
	}
}
