package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// fakeHandler records requests and returns a fixed refusal. If entered is set, it
// closes entered, waits until the context ends and closes cancelled.
type fakeHandler struct {
	mu        sync.Mutex
	requests  []proxy.RequestInfo
	re        *refuse.Refusal
	entered   chan struct{}
	cancelled chan struct{}
}

func (ha *fakeHandler) Serve(ctx context.Context, info proxy.RequestInfo, _ proxy.Sender, _ proxy.ResponseWriter) (bool, *refuse.Refusal) {
	ha.mu.Lock()
	ha.requests = append(ha.requests, info)
	ha.mu.Unlock()
	if ha.entered != nil {
		close(ha.entered)
		<-ctx.Done()
		close(ha.cancelled)
	}
	return false, ha.re
}

func startServer(t *testing.T, ha entry.Handler, limits intent.Limits) *entry.Server {
	t.Helper()
	return startServerWith(t, ha, func() intent.Limits { return limits })
}

// startServerWith starts a server whose limits may change.
func startServerWith(t *testing.T, ha entry.Handler, limits func() intent.Limits, opts ...entry.Option) *entry.Server {
	t.Helper()
	sv, err := entry.New("127.0.0.1:0", ha, pool.New(terms.Default()), terms.Default(), limits, opts...)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = sv.Serve() }()
	t.Cleanup(func() { _ = sv.Close() })
	return sv
}

// dialServer opens a connection to the server.
func dialServer(t *testing.T, sv *entry.Server) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", sv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	return nc
}

// sendRaw sends raw bytes on a new connection and returns the status codes of all
// responses until the connection ends.
func sendRaw(t *testing.T, addr, raw string) []int {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if _, err := io.WriteString(nc, raw); err != nil {
		t.Fatal(err)
	}
	_ = nc.(*net.TCPConn).CloseWrite()
	var got []int
	br := bufio.NewReader(nc)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return got
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		got = append(got, resp.StatusCode)
	}
}

const idField = "Balsamwood-Request: r1\r\n"

// TestBadInput guards against request smuggling and against input beyond the
// limits: each case gets exactly one response, and nothing is forwarded.
func TestBadInput(t *testing.T) {
	limits := intent.Limits{MaxHeaderBytes: 600, MaxBodyBytes: 50, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Second}
	hidden := "GET /hidden HTTP/1.1\r\nHost: h\r\n" + idField + "\r\n"
	for _, tc := range []struct {
		name, raw string
		want      int
	}{
		{"both framings", "POST / HTTP/1.1\r\nHost: h\r\n" + idField + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\n" + idField + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden, 400},
		{"signed length", "POST / HTTP/1.1\r\nHost: h\r\n" + idField + "Content-Length: +5\r\n\r\nhello" + hidden, 400},
		{"encoding before chunked", "POST / HTTP/1.1\r\nHost: h\r\n" + idField + "Transfer-Encoding: gzip, chunked\r\n\r\n" + hidden, 400},
		{"space before the colon", "POST / HTTP/1.1\r\nHost: h\r\n" + idField + "Content-Length : 5\r\n\r\nhello" + hidden, 400},
		{"folded line", "POST / HTTP/1.1\r\nHost: h\r\n" + idField + "X: a\r\n b: c\r\n\r\n" + hidden, 400},
		{"line without CR", "GET / HTTP/1.1\nHost: h\r\n" + idField + "\r\n" + hidden, 400},
		{"malformed chunk", "POST / HTTP/1.1\r\nHost: h\r\n" + idField + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden, 400},
		{"no host", "GET / HTTP/1.1\r\n" + idField + "\r\n", 400},
		{"two hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n" + idField + "\r\n", 400},
		{"no id", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"two ids", "GET / HTTP/1.1\r\nHost: h\r\n" + idField + idField + "\r\n", 400},
		{"malformed time", "GET / HTTP/1.1\r\nHost: h\r\n" + idField + "Balsamwood-Time-Left-Ms: soon\r\n\r\n", 400},
		{"malformed tokens", "GET / HTTP/1.1\r\nHost: h\r\n" + idField + "Balsamwood-Tokens: 12\r\n\r\n", 400},
		{"malformed parts", "GET / HTTP/1.1\r\nHost: h\r\n" + idField + "Balsamwood-Tokens: 1,2\r\nBalsamwood-Prompt-Parts: a\r\n\r\n", 400},
		{"long header", "GET / HTTP/1.1\r\nHost: h\r\n" + idField + "X: " + strings.Repeat("x", 600) + "\r\n\r\n", 431},
		{"long body", "POST / HTTP/1.1\r\nHost: h\r\n" + idField + "Content-Length: 51\r\n\r\n" + strings.Repeat("x", 51), 413},
		{"long body in chunks", "POST / HTTP/1.1\r\nHost: h\r\n" + idField + "Transfer-Encoding: chunked\r\n\r\n40\r\n" + strings.Repeat("x", 64) + "\r\n0\r\n\r\n", 413},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ha := &fakeHandler{re: refuse.New(refuse.NoUpstream, "none")}
			sv := startServer(t, ha, limits)
			if diff := cmp.Diff([]int{tc.want}, sendRaw(t, sv.Addr(), tc.raw)); diff != "" {
				t.Errorf("responses (-want +got):\n%s", diff)
			}
			if len(ha.requests) != 0 {
				t.Errorf("%d requests were forwarded", len(ha.requests))
			}
		})
	}
}

// TestHeaderInTime guards against a caller that keeps a connection open with an
// incomplete header.
func TestHeaderInTime(t *testing.T) {
	sv := startServer(t, &fakeHandler{}, intent.Limits{HeaderTimeout: 50 * time.Millisecond})
	nc, err := net.Dial("tcp", sv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_, _ = io.WriteString(nc, "GET / HT")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("response %v, %v, want 408", resp, err)
	}
}

// TestRequestInfo guards against percent-decoding the path, against misreading the
// request after a chunked body, and against mixing up two requests on one
// connection.
func TestRequestInfo(t *testing.T) {
	ha := &fakeHandler{re: refuse.New(refuse.NoUpstream, "none")}
	sv := startServer(t, ha, intent.Limits{})
	raw := "POST /a%2Fb/c?q=%20 HTTP/1.1\r\nHost: H.example\r\n" + idField +
		"Authorization: Bearer k1\r\nBalsamwood-Tokens: 100,20\r\nBalsamwood-Prompt-Parts: a:60,b:40\r\nLast-Event-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" +
		"GET /second HTTP/1.1\r\nHost: h\r\nBalsamwood-Request: r2\r\n\r\n"
	if diff := cmp.Diff([]int{503, 503}, sendRaw(t, sv.Addr(), raw)); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
	for ix := range ha.requests {
		ha.requests[ix].Arrived = time.Time{}
	}
	want := []proxy.RequestInfo{
		{ID: "r1", Host: "H.example", Path: "/a%2Fb/c", Key: "k1", LastEvent: 7, Prompt: &proxy.Prompt{
			Input: 100, MaxOutput: 20, Parts: []proxy.Part{{ID: "a", Tokens: 60}, {ID: "b", Tokens: 40}},
		}},
		{ID: "r2", Host: "h", Path: "/second", LastEvent: -1},
	}
	if diff := cmp.Diff(want, ha.requests); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

// TestStatus guards against a status code that guarantees more than the outcome
// allows, and against a Retry-After beyond a third of the time left.
func TestStatus(t *testing.T) {
	soon := time.Now().Add(time.Hour)
	for _, tc := range []struct {
		re     *refuse.Refusal
		status int
		wait   bool
	}{
		{refuse.New(refuse.NoUpstream, "x").WithRetryAt(soon), 503, true},
		{refuse.New(refuse.OverBudget, "x"), 402, false},
		{refuse.New(refuse.Unauthorized, "x"), 401, false},
		{refuse.New(refuse.UnknownService, "x"), 404, false},
		{refuse.New(refuse.TimedOut, "x"), 504, false},
		{refuse.New(refuse.UpstreamFailed, "x").WithRetryAt(soon), 502, false},
		{refuse.New(refuse.Cancelled, "x").WithOutcome(refuse.Unknown), 502, false},
	} {
		ha := &fakeHandler{re: tc.re}
		sv := startServer(t, ha, intent.Limits{})
		nc, err := net.Dial("tcp", sv.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n"+idField+"Balsamwood-Time-Left-Ms: 3000\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		var secs float64
		_, _ = fmt.Sscan(resp.Header.Get("Retry-After"), &secs)
		if resp.StatusCode != tc.status || (secs > 0) != tc.wait || secs > 1 {
			t.Errorf("%s: status %d, wait %v s; want %d, a wait: %v", tc.re.Reason, resp.StatusCode, secs, tc.status, tc.wait)
		}
		_ = nc.Close()
	}
}

// TestCallerLeaves guards against continuing a request whose caller has closed the
// connection while the upstream is silent.
func TestCallerLeaves(t *testing.T) {
	ha := &fakeHandler{re: refuse.New(refuse.Cancelled, "x"), entered: make(chan struct{}), cancelled: make(chan struct{})}
	sv := startServer(t, ha, intent.Limits{})
	nc, err := net.Dial("tcp", sv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n"+idField+"\r\n")
	<-ha.entered
	_ = nc.Close()
	<-ha.cancelled
}

// TestLeave guards against keeping a connection open after Leave without telling
// the caller.
func TestLeave(t *testing.T) {
	sv := startServer(t, &fakeHandler{re: refuse.New(refuse.Leaving, "x")}, intent.Limits{})
	sv.Leave()
	request := "GET / HTTP/1.1\r\nHost: h\r\n" + idField + "\r\n"
	if diff := cmp.Diff([]int{503}, sendRaw(t, sv.Addr(), request+request)); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
}
