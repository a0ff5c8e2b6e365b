package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/adapt/caller"
	"github.com/balsamwood/balsamwood/internal/adapt/serve"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// startBounded starts a front end with room for so many bytes and connections.
func startBounded(t *testing.T, bytes int64, conns int, maxBody int64) string {
	t.Helper()
	sn := config.Snapshot{}.WithRevision(1, "test").
		WithAccount(config.Account{ID: "a1", Keys: []config.KeyHash{config.HashAPIKey(apiKey)}, Budgets: []ident.Budget{"b1"}, Services: []ident.Service{"register"}}).
		WithService(config.Service{ID: "register", Routes: []config.Route{{Method: "POST", Path: "/vouchers", Cost: 1, Idempotent: true}}})
	bu := bound.NewBudgets(bytes, conns, meter.Nop{})
	fe := caller.New(&fakeServer{}, snap.NewCell(sn), caller.WithMaxBodyBytes(maxBody), caller.WithBudgets(bu))
	sv, err := serve.New("127.0.0.1:0", fe.Handler(), serve.WithBudgets(bu))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = sv.Serve() }()
	t.Cleanup(func() { _ = sv.Close() })
	return sv.Addr()
}

// sendBody sends a request with the body, which may be shorter than announced.
func sendBody(t *testing.T, addr string, length int, body string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_, _ = fmt.Fprintf(nc, "POST /v1/services/register/vouchers HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, length, body)
	return nc
}

// response returns the status, whether the connection is closed, and the reason.
func response(t *testing.T, nc net.Conn) string {
	t.Helper()
	rsp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(rsp.Body)
	_, reason, _ := strings.Cut(string(body), `"reason":"`)
	reason, _, _ = strings.Cut(reason, `"`)
	return fmt.Sprint(rsp.StatusCode, " ", rsp.Close, " ", reason)
}

// TestStalledBodyGivesWay guards against a body that is not completed and keeps the
// memory from others, and against one that is announced as too large and read.
func TestStalledBodyGivesWay(t *testing.T) {
	const size = 200 << 10
	addr := startBounded(t, 4*size, 0, size)
	const refused = "503 true overloaded"
	var stalled []net.Conn
	for range 4 {
		stalled = append(stalled, sendBody(t, addr, size, strings.Repeat("x", size-1)))
	}
	for got := refused; got == refused; {
		if got = response(t, sendBody(t, addr, size, strings.Repeat("x", size))); got != refused && got != "200 false " {
			t.Errorf("response %q", got)
		}
	}
	if diff := cmp.Diff(refused, response(t, stalled[0])); diff != "" {
		t.Errorf("response to the stalled request (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("413 true tooLarge", response(t, sendBody(t, addr, 100*size, "x"))); diff != "" {
		t.Errorf("response to the large request (-want +got):\n%s", diff)
	}
}

// TestMaxConns guards against idle connections and incomplete headers that keep others
// out.
func TestMaxConns(t *testing.T) {
	const conns = 4
	addr := startBounded(t, 0, conns, 1<<20)
	for no := range 3 * conns {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = nc.Close() })
		_, _ = io.WriteString(nc, "POST / HT"[:no%9])
		if diff := cmp.Diff("200 false ", response(t, sendBody(t, addr, 2, "ok"))); diff != "" {
			t.Errorf("response %d (-want +got):\n%s", no, diff)
		}
	}
}
