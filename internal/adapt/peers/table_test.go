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

// startRemoteTable returns the table accessed through another router, and that
// router's own client of it.
func startRemoteTable(t *testing.T) (store.Table, *table.Client) {
	t.Helper()
	cl := table.New().Client()
	sv := httptest.NewServer(peers.Handler(peers.LocalRouter{Table: cl}))
	t.Cleanup(sv.Close)
	return peers.NewClient(func() []string { return nil }).RemoteTable(strings.TrimPrefix(sv.URL, "http://")), cl
}

// TestTable guards against rows that are changed in transfer through another
// router.
func TestTable(t *testing.T) {
	ta, _ := startRemoteTable(t)
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
		t.Errorf("the deleted row still exists: %v, %v", ok, err)
	}
	items, err := ta.Scan(ctx, "a/", "", 10)
	if diff := cmp.Diff([]store.Item{it}, items); diff != "" || err != nil {
		t.Errorf("%v, rows (-want +got):\n%s", err, diff)
	}
}

// TestTableErrors guards against an error that means that nothing was written for
// a commit that may have taken effect, and the reverse.
func TestTableErrors(t *testing.T) {
	for fault, want := range map[table.Fault]error{
		table.Down: store.ErrUnavailable, table.Throttled: store.ErrThrottled, table.ResponseLost: store.ErrUncertain,
	} {
		ta, cl := startRemoteTable(t)
		cl.FailCommits(fault)
		if err := ta.Commit(t.Context(), store.Write{Key: "k"}); !errors.Is(err, want) {
			t.Errorf("fault %d: error is %v, want %v", fault, err, want)
		}
	}
	ta, _ := startRemoteTable(t)
	if err := ta.Commit(t.Context(), store.Write{Key: "k", IfVersion: 3}); !errors.Is(err, store.ErrConflict) {
		t.Errorf("error is %v, want a conflict", err)
	}
	gone := peers.NewClient(func() []string { return nil }).RemoteTable("127.0.0.1:1")
	if err := gone.Commit(t.Context(), store.Write{Key: "k"}); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("connection refused: error is %v, want unavailable", err)
	}
	remote, cl := startRemoteTable(t)
	cl.SetPause(func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	ctx, cancel := context.WithCancel(t.Context())
	cl.SetFaults(func(bool) table.Fault { cancel(); return table.None })
	if err := remote.Commit(ctx, store.Write{Key: "k"}); !errors.Is(err, store.ErrUncertain) {
		t.Errorf("no response to a commit: error is %v, want uncertain", err)
	}
	if _, _, err := remote.Get(ctx, "k"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("no response to a read: error is %v, want unavailable", err)
	}
}
