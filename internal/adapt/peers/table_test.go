package peers_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/peers"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// through returns the table as another router reaches it, and that router's
// own way to it.
func through(t *testing.T) (store.Table, *table.Client) {
	t.Helper()
	cl := table.New().Client()
	sv := httptest.NewServer(peers.Handler(peers.Answers{Table: cl}))
	t.Cleanup(sv.Close)
	return peers.NewClient(func() []string { return nil }).Through(strings.TrimPrefix(sv.URL, "http://")), cl
}

// TestTable guards against rows that change on the way through another router.
func TestTable(t *testing.T) {
	ta, _ := through(t)
	ctx := t.Context()
	writes := []store.Write{
		{Key: "a/1", Value: []byte{0, 1, 0xff}, IfVersion: store.Absent},
		{Key: "a/2", Value: []byte("two"), IfVersion: store.Absent},
		{Key: "b/1", Value: nil, IfVersion: store.Absent, Mode: store.Check},
	}
	if err := ta.Commit(ctx, writes...); err != nil {
		t.Fatal(err)
	}
	if err := ta.Commit(ctx, store.Write{Key: "a/2", IfVersion: 1, Mode: store.Delete}); err != nil {
		t.Fatal(err)
	}
	it, ok, err := ta.Get(ctx, "a/1")
	if diff := cmp.Diff(store.Item{Key: "a/1", Value: []byte{0, 1, 0xff}, Version: 1}, it); diff != "" || !ok || err != nil {
		t.Errorf("%v, %v, row (-want +got):\n%s", ok, err, diff)
	}
	if _, ok, err := ta.Get(ctx, "a/2"); ok || err != nil {
		t.Errorf("the deleted row is there: %v, %v", ok, err)
	}
	its, err := ta.Scan(ctx, "a/", "", 10)
	if diff := cmp.Diff([]store.Item{it}, its); diff != "" || err != nil {
		t.Errorf("%v, rows (-want +got):\n%s", err, diff)
	}
}

// TestTableErrors guards against an error that says "nothing was written" for a
// commit that may have been, and the reverse.
func TestTableErrors(t *testing.T) {
	for fault, want := range map[table.Fault]error{
		table.Down: store.ErrUnavailable, table.Throttled: store.ErrThrottled, table.Lost: store.ErrUncertain,
	} {
		ta, cl := through(t)
		cl.FailCommits(fault)
		if err := ta.Commit(t.Context(), store.Write{Key: "k"}); !errors.Is(err, want) {
			t.Errorf("fault %d: error is %v, want %v", fault, err, want)
		}
	}
	ta, _ := through(t)
	if err := ta.Commit(t.Context(), store.Write{Key: "k", IfVersion: 3}); !errors.Is(err, store.ErrConflict) {
		t.Errorf("error is %v, want a conflict", err)
	}
	gone := peers.NewClient(func() []string { return nil }).Through("127.0.0.1:1")
	if err := gone.Commit(t.Context(), store.Write{Key: "k"}); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("nobody listens: error is %v", err)
	}
	slow, cl := through(t)
	cl.SetPause(func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	ctx, cancel := context.WithCancel(t.Context())
	cl.SetFaults(func(bool) table.Fault { cancel(); return table.None })
	if err := slow.Commit(ctx, store.Write{Key: "k"}); !errors.Is(err, store.ErrUncertain) {
		t.Errorf("no answer: error is %v, want uncertain", err)
	}
	if _, _, err := slow.Get(ctx, "k"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("no answer to a read: error is %v", err)
	}
}
