package pool_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/fake/script"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// rawOK returns a response to the request that was run.
func rawOK(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// rawRefusal returns a response that says that the request was not run.
func rawRefusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 0.25\r\nAttempt-Id: %s\r\nContent-Length: 4\r\n\r\nfull", id)
}

// unnamedRefusal is a refusal that names no request.
const unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"

// serveRaw starts a server with the replies and returns its address and a channel that
// receives each connection.
func serveRaw(t *testing.T, replies [][]string) (addr string, conns <-chan struct{}) {
	t.Helper()
	sv, err := script.New(replies...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sv.Close)
	return sv.Addr(), sv.Conns()
}

// sendRaw sends a request and returns the body of the response, or what the error says
// about the request.
func sendRaw(t *testing.T, po *pool.Pool, addr string, rq pool.Request) string {
	t.Helper()
	at := proxy.Attempt{Upstream: proxy.Upstream{ID: "i-1", Address: addr}, Deadline: time.Now().Add(time.Hour), LastEvent: -1}
	rsp, err := po.Send(t.Context(), rq, at)
	if err == nil {
		defer rsp.Close()
		var body []byte
		if body, err = rsp.Body(t.Context()); err == nil {
			return string(body)
		}
	}
	for text, kind := range map[string]error{"not sent": proxy.ErrNotSent, "not run": proxy.ErrNotRun, "unknown": proxy.ErrIncomplete} {
		if errors.Is(err, kind) {
			return text
		}
	}
	return err.Error()
}

// TestSecondCopyOfRefusal guards against taking the copy of an earlier refusal for the
// response to a request that the upstream runs. The copy arrives when the connection
// is already in use again.
func TestSecondCopyOfRefusal(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\nAttempt-Id: a2\r\n\r\n"
	for _, tc := range []struct {
		name    string
		replies [][]string
		ids     []string
		want    []string
		conns   int
	}{
		{"no copy", [][]string{{rawRefusal("a1"), rawOK("a2", "two")}}, []string{"a1", "a2"}, []string{"not run", "two"}, 1},
		{"with its id", [][]string{{rawRefusal("a1"), rawRefusal("a1") + rawOK("a2", "two")}}, []string{"a1", "a2"}, []string{"not run", "two"}, 1},
		{"of the request before the last", [][]string{{rawRefusal("a1"), rawOK("a2", "two"), rawRefusal("a1") + rawOK("a3", "three")}}, []string{"a1", "a2", "a3"}, []string{"not run", "two", "three"}, 1},
		{"of a refusal that named no request", [][]string{{unnamedRefusal, rawRefusal("a1") + rawOK("a2", "two")}}, []string{"a1", "a2"}, []string{"not run", "two"}, 1},
		{"without an id", [][]string{{rawRefusal("a1"), unnamedRefusal + rawOK("a2", "two")}}, []string{"a1", "a2"}, []string{"not run", "unknown"}, 1},
		{"of a refusal without an id", [][]string{{unnamedRefusal, unnamedRefusal + rawOK("a2", "two")}}, []string{"a1", "a2"}, []string{"not run", "unknown"}, 1},
		{"status 421", [][]string{{rawOK("a1", "one"), "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" + rawOK("a2", "two")}}, []string{"a1", "a2"}, []string{"one", "unknown"}, 1},
		{"without a length", [][]string{{rawRefusal("a1"), "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: a1\r\n\r\n" + strings.Repeat("x", 70_000)}}, []string{"a1", "a2"}, []string{"not run", "unknown"}, 1},
		{"as an interim response", [][]string{{rawRefusal("a1"), interim + rawOK("a2", "two")}}, []string{"a1", "a2"}, []string{"not run", "two"}, 1},
		{"begun before the next request", [][]string{{rawRefusal("a1") + rawRefusal("a1")[:20], rawRefusal("a1")[20:]}, {rawOK("a2", "two")}}, []string{"a1", "a2"}, []string{"not run", "two"}, 2},
		{"before a refusal", [][]string{{rawRefusal("a1"), rawRefusal("a1") + rawRefusal("a2")}, {rawOK("a3", "three")}}, []string{"a1", "a2", "a3"}, []string{"not run", "not run", "three"}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, conns := serveRaw(t, tc.replies)
			po := pool.New(testHeaderNames())
			var got []string
			for _, id := range tc.ids {
				got = append(got, sendRaw(t, po, addr, request(id)))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" || len(conns) != tc.conns {
				t.Errorf("%d connections, want %d (-want +got):\n%s", len(conns), tc.conns, diff)
			}
		})
	}
}

// TestCopyOfResponseWithoutBody guards against a refusal that is read from within the
// response after the copy of one that has no body.
func TestCopyOfResponseWithoutBody(t *testing.T) {
	for _, tc := range []struct{ name, method, first, want string }{
		{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 9\r\n\r\n", "unknown"},
		{"status 204", http.MethodPost, "HTTP/1.1 204 No Content\r\nAttempt-Id: a1\r\n\r\n", "two"},
		{"status 304", http.MethodPost, "HTTP/1.1 304 Not Modified\r\nAttempt-Id: a1\r\nContent-Length: 9\r\n\r\n", "two"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, _ := serveRaw(t, [][]string{{tc.first, tc.first + rawOK("a2", "two")}})
			po, rq := pool.New(testHeaderNames()), request("a1")
			rq.Method = tc.method
			got := []string{sendRaw(t, po, addr, rq), sendRaw(t, po, addr, request("a2"))}
			if diff := cmp.Diff([]string{"", tc.want}, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefusalBeforeBody guards against reusing a connection on which the upstream has
// refused a request before it has read its body, and against taking the copy of an
// earlier refusal that arrives meanwhile for the response.
func TestRefusalBeforeBody(t *testing.T) {
	for _, tc := range []struct{ name, reply, want string }{
		{"refusal", rawRefusal("a2"), "not run"},
		{"copy of an earlier one", rawRefusal("a1"), "unknown"},
		{"copy without an id", unnamedRefusal, "unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ls, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ls.Close() })
			go func() {
				nc, err := ls.Accept()
				if err != nil {
					return
				}
				br := bufio.NewReader(nc)
				re, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, re.Body)
				_, _ = io.WriteString(nc, rawRefusal("a1"))
				// The body of the second request is not read.
				if _, err := http.ReadRequest(br); err == nil {
					_, _ = io.WriteString(nc, tc.reply)
					_ = nc.(*net.TCPConn).CloseWrite()
				}
				if nc, err = ls.Accept(); err == nil {
					if _, err = http.ReadRequest(bufio.NewReader(nc)); err == nil {
						_, _ = io.WriteString(nc, rawOK("a3", "three"))
					}
				}
			}()
			po, addr, large := pool.New(testHeaderNames()), ls.Addr().String(), request("a2")
			large.Body = make([]byte, 16<<20)
			got := []string{sendRaw(t, po, addr, request("a1")), sendRaw(t, po, addr, large), sendRaw(t, po, addr, request("a3"))}
			if diff := cmp.Diff([]string{"not run", tc.want, "three"}, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestSameIDOnConnection guards against taking the copy of a refusal for the response
// to the same request, which is sent again and runs.
func TestSameIDOnConnection(t *testing.T) {
	for _, tc := range []struct {
		name    string
		replies [][]string
		ids     []string
		want    []string
	}{
		{"refusal", [][]string{{rawRefusal("a1"), rawRefusal("a1") + rawOK("a1", "one")}, {rawOK("a1", "one")}},
			[]string{"a1", "a1"}, []string{"not run", "one"}},
		{"refusal before another request", [][]string{{rawRefusal("a1"), rawOK("a2", "two"), rawRefusal("a1") + rawOK("a1", "one")}, {rawOK("a1", "one")}},
			[]string{"a1", "a2", "a1"}, []string{"not run", "two", "one"}},
		{"refusal without an id", [][]string{{unnamedRefusal, rawRefusal("a1") + rawOK("a1", "one")}, {rawOK("a1", "one")}},
			[]string{"a1", "a1"}, []string{"not run", "one"}},
		{"success", [][]string{{rawOK("a1", "first"), rawOK("a1", "first") + rawOK("a1", "one")}, {rawOK("a1", "one")}},
			[]string{"a1", "a1"}, []string{"first", "one"}},
		{"the connection serves other requests", [][]string{{rawRefusal("a1"), rawOK("a2", "again")}, {rawOK("a1", "one"), rawOK("a2", "two")}},
			[]string{"a1", "a1", "a2", "a2"}, []string{"not run", "one", "two", "again"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, conns := serveRaw(t, tc.replies)
			po := pool.New(testHeaderNames())
			var got []string
			for _, id := range tc.ids {
				got = append(got, sendRaw(t, po, addr, request(id)))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" || len(conns) != 2 {
				t.Errorf("%d connections, want 2 (-want +got):\n%s", len(conns), diff)
			}
		})
	}
}

// TestBoundRequests guards against a connection whose list of ids grows without end, and
// against a new connection for each request.
func TestBoundRequests(t *testing.T) {
	const requests, requestsPerConn = 2000, 1024
	var texts []string
	for num := range requests {
		texts = append(texts, rawOK(fmt.Sprint("a", num), "x"))
	}
	addr, conns := serveRaw(t, [][]string{texts[:requestsPerConn], texts[requestsPerConn:]})
	po := pool.New(testHeaderNames())
	for num := range requests {
		if got := sendRaw(t, po, addr, request(fmt.Sprint("a", num))); got != "x" {
			t.Fatalf("request %d: %s", num, got)
		}
	}
	if len(conns) != 2 {
		t.Errorf("%d connections for %d requests, want 2", len(conns), requests)
	}
}

// TestJoinedHeads guards against a refusal that is read from the beginning of a copy and
// the rest of the response that follows it, and likewise against a joined success.
func TestJoinedHeads(t *testing.T) {
	refusal, misdirected := rawRefusal("a1"), "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: a1\r\n"
	for _, tc := range []struct{ name, cut string }{
		{"inside a field", refusal[:strings.Index(refusal, "25\r\n")]},
		{"inside the name of a field", refusal[:strings.Index(refusal, "y-After")]},
		{"inside the id", refusal[:strings.Index(refusal, "\r\nContent-Length")]},
		{"inside the field after the id", refusal[:strings.Index(refusal, "4\r\n\r\n")]},
		{"inside the status line", misdirected[:strings.Index(misdirected, "Request")]},
		{"after the status code", misdirected[:strings.Index(misdirected, " Misdirected")]},
		{"inside the status code", misdirected[:strings.Index(misdirected, "1 Misdirected")]},
		{"success inside a field", "HTTP/1.1 200 OK\r\nServer-Stamp: s"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, _ := serveRaw(t, [][]string{{refusal, tc.cut + rawOK("a2", "two")}})
			po := pool.New(testHeaderNames())
			got := []string{sendRaw(t, po, addr, request("a1")), sendRaw(t, po, addr, request("a2"))}
			if diff := cmp.Diff([]string{"not run", "unknown"}, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
