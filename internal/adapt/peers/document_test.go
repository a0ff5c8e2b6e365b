package peers_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/adapt/peers"
	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/fake/pipes"
	"github.com/balsamwood/balsamwood/internal/port/feed"
)

// manyRoutes is as many routes as an operator adds at once.
const manyRoutes = 1800

// configOf returns the row of a configuration with so many routes.
func configOf(routes int) feed.Row {
	var sb strings.Builder
	for no := range routes {
		fmt.Fprintf(&sb, `{"Name":"r-%08x","Host":"host%d.example","Prefix":"/p%d/","Service":"s%d","TimeoutMs":15000},`, no*2654435761, no%40, no, no%3)
	}
	return feed.Row{Key: "config", Value: []byte(sb.String()), Position: epoch.At(1, 12)}
}

// fetch fetches the row from a router over the link, on virtual time. It reports
// whether the row is newer and how long the call took.
func fetch(t *testing.T, row feed.Row, link pipes.Link) (got feed.Row, ok bool, took time.Duration, err error) {
	t.Helper()
	dial, stop := pipes.Serve(peers.Handler(peers.LocalRouter{CurrentConfig: func() (feed.Row, ident.Revision) { return row, 9 }}), link)
	defer stop()
	cl := peers.NewClient(func() []string { return nil }, client.WithDial(dial), client.WithoutKeepAlives())
	start := time.Now()
	got, ok, err = cl.FetchConfig(t.Context(), "router", 8)
	return got, ok, time.Since(start), err
}

// TestFetchConfigSlowLink guards against a configuration that never arrives
// because its transfer takes longer than the time limit of a call: while the store
// refused a router, the router stayed on an old configuration. A transfer that
// stalls, or that never ends, is given up.
func TestFetchConfigSlowLink(t *testing.T) {
	row := configOf(manyRoutes)
	for _, tc := range []struct {
		name  string
		link  pipes.Link
		ok    bool
		after time.Duration
	}{
		{"fast link", pipes.Link{}, true, 0},
		{"slow link", pipes.Link{Chunk: 1024, Pause: 50 * time.Millisecond}, true, time.Second},
		{"link that stalls", pipes.Link{Chunk: 512, Pause: 50 * time.Millisecond, StopsAfter: 4096}, false, 300 * time.Millisecond},
		{"a byte now and then", pipes.Link{Chunk: 1, Pause: 250 * time.Millisecond}, false, 300 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, ok, took, err := fetch(t, row, tc.link)
				if ok != tc.ok || tc.ok != (err == nil) {
					t.Fatalf("FetchConfig: %v, newer %v after %v", err, ok, took)
				}
				if diff := cmp.Diff(row, got); tc.ok && diff != "" {
					t.Error(diff)
				}
				if took < tc.after || took > 4*time.Second {
					t.Errorf("the call took %v, want %v to 4s", took, tc.after)
				}
			})
		})
	}
}

// TestFetchConfigAnySize guards against a time limit on a whole transfer: however
// high it is, a document that is large enough never arrives on a narrow link.
func TestFetchConfigAnySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := configOf(20_000)
		got, ok, _, err := fetch(t, row, pipes.Link{Chunk: 1024, Pause: 50 * time.Millisecond})
		if err != nil || !ok {
			t.Fatalf("FetchConfig: %v, newer %v", err, ok)
		}
		if diff := cmp.Diff(row, got, cmp.Comparer(bytes.Equal)); diff != "" {
			t.Error(diff)
		}
	})
}

// TestFetchConfigCompressed guards against sending the same document uncompressed
// to every router that the store refuses: the links are as slow as 10 Mbit/s.
func TestFetchConfigCompressed(t *testing.T) {
	row := configOf(manyRoutes)
	rec := httptest.NewRecorder()
	re := httptest.NewRequest(http.MethodGet, "/v1/config?afterRevision=8", nil)
	re.Header.Set("Accept-Encoding", "gzip")
	peers.Handler(peers.LocalRouter{CurrentConfig: func() (feed.Row, ident.Revision) { return row, 9 }}).ServeHTTP(rec, re)
	if got := rec.Body.Len(); got > len(row.Value)/4 {
		t.Errorf("the response has %d bytes, want at most a quarter of %d", got, len(row.Value))
	}
}

// TestConfigOverFullLink guards against a router whose link callers have filled and that
// cannot ask other routers for the configuration and the closed failure domains: opening
// a connection and each response wait in the queue of the link.
func TestConfigOverFullLink(t *testing.T) {
	const wait = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		row, state := configOf(manyRoutes), follow.ClosureState{Position: epoch.At(1, 3), Closures: []follow.Closure{}}
		handler := peers.Handler(peers.LocalRouter{
			CurrentConfig: func() (feed.Row, ident.Revision) { return row, 9 },
			Closures:      func() (follow.ClosureState, bool) { return state, true },
		})
		dial, stop := pipes.Serve(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
			time.Sleep(wait)
			handler.ServeHTTP(wr, re)
		}), pipes.Link{})
		defer stop()
		li := shed.NewLink(10, time.Now())
		// Two seconds of the link.
		li.Sent(5<<20, shed.Others, time.Now())
		slow := func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(wait)
			return dial(ctx, network, addr)
		}
		cl := peers.NewClient(func() []string { return nil }, client.WithDial(slow), client.WithLink(li), client.WithoutKeepAlives())
		got, ok, err := cl.FetchConfig(t.Context(), "router", 8)
		if diff := cmp.Diff(row, got); diff != "" || !ok || err != nil {
			t.Errorf("configuration: newer %v, %v (-want +got):\n%s", ok, err, diff)
		}
		li.Sent(5<<20, shed.Others, time.Now())
		closed, ok, err := cl.FetchClosures(t.Context(), "router")
		if diff := cmp.Diff(state.Position, closed.Position); diff != "" || !ok || err != nil {
			t.Errorf("closures: known %v, %v (-want +got):\n%s", ok, err, diff)
		}
	})
}

// TestFetchConfigNotNewer guards against taking the missing body of a response
// without a document for an error.
func TestFetchConfigNotNewer(t *testing.T) {
	sv := httptest.NewServer(peers.Handler(peers.LocalRouter{CurrentConfig: func() (feed.Row, ident.Revision) { return configOf(manyRoutes), 9 }}))
	t.Cleanup(sv.Close)
	_, ok, err := peers.NewClient(func() []string { return nil }).FetchConfig(t.Context(), strings.TrimPrefix(sv.URL, "http://"), 9)
	if err != nil || ok {
		t.Errorf("FetchConfig: %v, newer %v", err, ok)
	}
}
