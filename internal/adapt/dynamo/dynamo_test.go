package dynamo_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

func startTable(t *testing.T, opts ...cloud.Option) (*cloud.Cloud, *dynamo.Table) {
	t.Helper()
	cl := cloud.New(opts...)
	srv := httptest.NewServer(cl)
	t.Cleanup(srv.Close)
	return cl, dynamo.New(srv.URL)
}

func row(key, val string, vers uint64) store.Item {
	return store.Item{Key: key, Value: []byte(val), Version: vers}
}

// TestCommit guards against a commit that applies only some of its writes, that
// ignores a version, or that does not report a failed condition as a conflict.
func TestCommit(t *testing.T) {
	tests := []struct {
		name   string
		writes []store.Write
		want   error
		rows   []store.Item
	}{
		{"insert", []store.Write{{Key: "a/2", Value: []byte("x")}}, nil,
			[]store.Item{row("a/1", "one", 1), row("a/2", "x", 1)}},
		{"insert of an existing row", []store.Write{{Key: "a/1", Value: []byte("x")}}, store.ErrConflict,
			[]store.Item{row("a/1", "one", 1)}},
		{"update", []store.Write{{Key: "a/1", Value: []byte("x"), IfVersion: 1}}, nil,
			[]store.Item{row("a/1", "x", 2)}},
		{"update of an old version", []store.Write{{Key: "a/1", IfVersion: 7}}, store.ErrConflict,
			[]store.Item{row("a/1", "one", 1)}},
		{"all or none", []store.Write{{Key: "a/2"}, {Key: "a/1", IfVersion: 7}}, store.ErrConflict,
			[]store.Item{row("a/1", "one", 1)}},
		{"check fails", []store.Write{{Key: "a/2"}, {Key: "a/1", Mode: store.Check}}, store.ErrConflict,
			[]store.Item{row("a/1", "one", 1)}},
		{"check holds", []store.Write{{Key: "a/2", Value: []byte("x")}, {Key: "a/1", IfVersion: 1, Mode: store.Check}}, nil,
			[]store.Item{row("a/1", "one", 1), row("a/2", "x", 1)}},
		{"delete", []store.Write{{Key: "a/1", IfVersion: 1, Mode: store.Delete}}, nil, nil},
		{"same row twice", []store.Write{{Key: "a/2"}, {Key: "a/2"}}, store.ErrUnavailable,
			[]store.Item{row("a/1", "one", 1)}},
		{"no sort key", []store.Write{{Key: "a"}}, store.ErrUnavailable, []store.Item{row("a/1", "one", 1)}},
		{"too many", make([]store.Write, store.MaxWrites+1), store.ErrUnavailable, []store.Item{row("a/1", "one", 1)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, ta := startTable(t)
			if err := ta.Commit(t.Context(), store.Write{Key: "a/1", Value: []byte("one")}); err != nil {
				t.Fatal(err)
			}
			if err := ta.Commit(t.Context(), tt.writes...); !errors.Is(err, tt.want) {
				t.Errorf("Commit = %v, want %v", err, tt.want)
			}
			rows, err := ta.Scan(t.Context(), "a/", "", 0)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.rows, rows); diff != "" {
				t.Errorf("rows (-want +got):\n%s", diff)
			}
		})
	}
}

// TestScan guards against a scan that stops at the end of a page, returns rows
// without its prefix, or returns the row after which it continues.
func TestScan(t *testing.T) {
	_, ta := startTable(t, cloud.WithPageSize(2))
	for _, key := range []string{"a/x/1", "a/x/2", "a/x/3", "a/x/4", "a/x/5", "a/y/1", "b/x/1"} {
		if err := ta.Commit(t.Context(), store.Write{Key: key}); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		prefix, after string
		limit         int
		want          []string
	}{
		{"a/x/", "", 0, []string{"a/x/1", "a/x/2", "a/x/3", "a/x/4", "a/x/5"}},
		{"a/x/", "", 3, []string{"a/x/1", "a/x/2", "a/x/3"}},
		{"a/x/", "a/x/3", 3, []string{"a/x/4", "a/x/5"}},
		{"a/x/", "a/x/5", 3, nil},
		{"a/x/", "a/y", 3, nil},
		{"a/y/", "a/x/3", 3, []string{"a/y/1"}},
		{"b/", "", 1, []string{"b/x/1"}},
		{"c/", "", 1, nil},
	}
	for _, tt := range tests {
		items, err := ta.Scan(t.Context(), tt.prefix, tt.after, tt.limit)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, it := range items {
			got = append(got, it.Key)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("Scan(%q, %q, %d) (-want +got):\n%s", tt.prefix, tt.after, tt.limit, diff)
		}
	}
}

// TestLostResponse guards against a commit that is repeated or reported as not
// written when only its response was lost. The connection is reused, because
// net/http repeats requests on a reused connection if it considers them idempotent.
func TestLostResponse(t *testing.T) {
	cl, ta := startTable(t)
	if _, _, err := ta.Get(t.Context(), "a/1"); err != nil {
		t.Fatal(err)
	}
	cl.Faults().Set(fault.Setting{}.WithLoseNext(1))
	if err := ta.Commit(t.Context(), store.Write{Key: "a/1", Value: []byte("x")}); !errors.Is(err, store.ErrUncertain) {
		t.Errorf("Commit = %v, want %v", err, store.ErrUncertain)
	}
	it, ok, err := ta.Get(t.Context(), "a/1")
	if diff := cmp.Diff(row("a/1", "x", 1), it); diff != "" || !ok || err != nil {
		t.Errorf("read back %v, %v (-want +got):\n%s", ok, err, diff)
	}
	if co := cl.Counts(); co.Commits != 1 || co.Lost != 1 {
		t.Errorf("commits %d, lost %d, want 1 and 1", co.Commits, co.Lost)
	}
}

// TestOutage guards against a throttled call or an outage that is reported as a
// conflict or a success, and against an uncertain write that is reported as not
// written.
func TestOutage(t *testing.T) {
	status := func(code int, body string) http.Handler {
		return http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			wr.WriteHeader(code)
			_, _ = wr.Write([]byte(body))
		})
	}
	limited := cloud.New(cloud.WithLimits(cloud.Limits{ReadsPerSecond: 1e-9, WritesPerSecond: 1e-9}))
	down := cloud.New()
	down.Faults().Set(fault.Setting{}.WithDown(true))
	cancelled := func(code string) http.Handler {
		return status(400, `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"None"},{"Code":"`+code+`"}]}`)
	}
	tests := []struct {
		name        string
		handler     http.Handler
		read, write error
	}{
		{"throttled", limited, store.ErrThrottled, store.ErrThrottled},
		{"down", down, store.ErrUnavailable, store.ErrUncertain},
		{"server error", status(500, `{"__type":"x#InternalServerError"}`), store.ErrUnavailable, store.ErrUncertain},
		{"not a DynamoDB response", status(400, "<html>"), store.ErrUnavailable, store.ErrUncertain},
		{"throttled in a transaction", cancelled("ThrottlingError"), store.ErrThrottled, store.ErrThrottled},
		{"concurrent transaction", cancelled("TransactionConflict"), store.ErrThrottled, store.ErrThrottled},
		{"redirect", http.RedirectHandler("/other", http.StatusTemporaryRedirect), store.ErrUnavailable, store.ErrUncertain},
		{"connection refused", nil, store.ErrUnavailable, store.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(tt.handler)
			defer srv.Close()
			if tt.handler == nil {
				srv.Close()
			}
			ta := dynamo.New(srv.URL)
			// The first call of each kind uses up the burst of its rate limit.
			_, _, _ = ta.Get(t.Context(), "a/1")
			_ = ta.Commit(t.Context(), store.Write{Key: "a/1"})
			if _, _, err := ta.Get(t.Context(), "a/1"); !errors.Is(err, tt.read) {
				t.Errorf("Get = %v, want %v", err, tt.read)
			}
			if err := ta.Commit(t.Context(), store.Write{Key: "a/1"}); !errors.Is(err, tt.write) {
				t.Errorf("Commit = %v, want %v", err, tt.write)
			}
		})
	}
}

// TestCancelled guards against a call that was never sent and is reported as
// uncertain, and against a call to a store that does not respond which continues
// after its context has ended.
func TestCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cl := cloud.New()
	cl.Faults().Set(fault.Setting{}.WithSilent(true))
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		cancel()
		cl.ServeHTTP(wr, re)
	}))
	defer srv.Close()
	ta := dynamo.New(srv.URL)
	for _, want := range []error{store.ErrUncertain, store.ErrUnavailable} {
		if err := ta.Commit(ctx, store.Write{Key: "a/1"}); !errors.Is(err, want) {
			t.Errorf("Commit = %v, want %v", err, want)
		}
	}
}

// TestConcurrentIncrements guards against lost updates of concurrent writers that
// compare and set the version.
func TestConcurrentIncrements(t *testing.T) {
	cl, ta := startTable(t)
	const writers, each = 4, 10
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for done := 0; done < each; {
				it, _, err := ta.Get(t.Context(), "a/1")
				if err != nil {
					t.Error(err)
					return
				}
				err = ta.Commit(t.Context(), store.Write{Key: "a/1", IfVersion: it.Version})
				switch {
				case err == nil:
					done++
				case !errors.Is(err, store.ErrConflict):
					t.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	if got := cl.Rows()[0].Version; got != writers*each {
		t.Errorf("version %d, want %d", got, writers*each)
	}
}
