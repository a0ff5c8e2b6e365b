package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/origin"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// forwardingHandler forwards requests to an upstream.
type forwardingHandler struct{ up proxy.Upstream }

func (fh forwardingHandler) Serve(ctx context.Context, _ proxy.RequestInfo, sender proxy.Sender, _ proxy.ResponseWriter) (bool, *refuse.Refusal) {
	rsp, err := sender.Send(ctx, proxy.Attempt{Upstream: fh.up, Deadline: time.Now().Add(time.Minute), LastEvent: -1})
	if err != nil {
		return false, refuse.New(refuse.UpstreamFailed, "%v", err)
	}
	rsp.Close()
	return false, refuse.New(refuse.NoUpstream, "forwarded")
}

// chunked encodes a body in chunks of a size.
func chunked(body string, size int) string {
	var sb strings.Builder
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		_, _ = fmt.Fprintf(&sb, "%x\r\n%s\r\n", len(part), part)
	}
	return sb.String() + "0\r\n\r\n"
}

// TestBodyUnchanged guards against a body that is forwarded with parts missing, repeated
// or out of order.
func TestBodyUnchanged(t *testing.T) {
	up, err := origin.New("i", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(up.Close)
	fh := forwardingHandler{proxy.Upstream{ID: ident.Upstream(up.ID), Address: up.Addr()}}
	sv := startServerWith(t, fh, func() intent.Limits { return intent.Limits{} }, entry.WithBodyMemory(16<<20))
	var want []string
	for _, size := range []int{1, 4095, 4096, 4097, 8192, 8193, 100_000, 256 << 10} {
		var sb strings.Builder
		for no := 0; sb.Len() < size; no++ {
			_, _ = fmt.Fprintf(&sb, "%d,", no)
		}
		body := sb.String()[:size]
		for _, framing := range []string{
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body),
			"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 1),
			"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 70_000),
		} {
			want = append(want, body)
			nc := dialServer(t, sv)
			// Field names of the stand-in, which identifies the response by them.
			_, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\nBalsamwood-Request: r\r\nExpect-Instance: i\r\nAttempt-Id: r\r\n"+framing)
			if _, err := http.ReadResponse(bufio.NewReader(nc), nil); err != nil {
				t.Fatal(err)
			}
			_ = nc.Close()
		}
	}
	var got []string
	for _, run := range up.Runs() {
		got = append(got, run.Body)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("bodies differ in %d bytes of output", len(diff))
	}
}

// TestStalledBodyGivesWay guards against a body that is not completed and keeps the
// memory from others, and against one that is ended without a true refusal.
func TestStalledBodyGivesWay(t *testing.T) {
	const memory, size = 1 << 20, 700 << 10
	ha := &fakeHandler{re: refuse.New(refuse.NoUpstream, "served")}
	sv := startServerWith(t, ha, func() intent.Limits { return intent.Limits{} }, entry.WithBodyMemory(memory))
	post := func(body string) net.Conn {
		nc := dialServer(t, sv)
		_, _ = fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", idField, size, body)
		return nc
	}
	reason := func(nc net.Conn) string {
		rsp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(rsp.Body)
		_, rest, _ := strings.Cut(string(body), `"outcome":`)
		return fmt.Sprint(rsp.StatusCode, " ", rsp.Close, " ", rsp.Header.Get("Retry-After") != "", " ", rest)
	}
	const served, refused = `503 false false "notRun","reason":"noUpstream"}`, `503 true true "notRun","reason":"overloaded"}`
	stalled := post(strings.Repeat("x", size-1))
	for got := refused; got == refused; {
		if got = reason(post(strings.Repeat("x", size))); got != served && got != refused {
			t.Errorf("response %s", got)
		}
	}
	if diff := cmp.Diff(refused, reason(stalled)); diff != "" {
		t.Errorf("response to the stalled request (-want +got):\n%s", diff)
	}
}

// TestMaxConns guards against idle connections and incomplete headers that keep others
// out, and against a request in progress that is ended for them.
func TestMaxConns(t *testing.T) {
	const conns = 4
	ph := pausingHandler{make(chan struct{}), make(chan struct{})}
	sv := startServerWith(t, ph, func() intent.Limits { return intent.Limits{} }, entry.WithMaxConns(conns))
	slow := dialServer(t, sv)
	_, _ = io.WriteString(slow, "GET /slow/ HTTP/1.1\r\nHost: h\r\n"+idField+"\r\n")
	<-ph.entered
	var got []bool
	for no := range 3 * conns {
		_, _ = io.WriteString(dialServer(t, sv), "GET / HT"[:no%8])
		nc := dialServer(t, sv)
		_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n"+idField+"\r\n")
		rsp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(rsp.Body)
		got = append(got, strings.Contains(string(body), string(refuse.NoUpstream)))
	}
	close(ph.released)
	if rsp, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil || rsp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the request in progress: %v, %v", rsp, err)
	}
	if slices.Contains(got, false) {
		t.Errorf("requests that reached the handler: %v", got)
	}
}
