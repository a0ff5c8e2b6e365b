package pool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/origin"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// testHeaderNames returns the header fields that origin.Origin uses.
func testHeaderNames() terms.HeaderNames {
	return terms.HeaderNames{
		RequestID: "Attempt-Id", TimeLeft: "Deadline-Ms", LastEventID: "Last-Event-Id", Model: "Model",
		TokenCounts: "Token-Counts", PromptParts: "Prompt-Prefix", Account: "Tenant", Instance: "Expect-Instance",
		Urgency: "Request-Priority", NotRun: "Not-Executed", Load: "Instance-Load", Leaving: "Server-Leaving", Cold: "Cold-Ms", RouterOnly: []string{"Hold"},
	}
}

func startOrigin(t *testing.T) *origin.Origin {
	t.Helper()
	or, err := origin.New("i-1", 6, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(or.Close)
	return or
}

func attempt(or *origin.Origin) proxy.Attempt {
	return proxy.Attempt{
		Upstream: proxy.Upstream{ID: ident.Upstream(or.ID), Address: or.Addr()}, Deadline: time.Now().Add(time.Minute),
		Account: "desk", Urgency: 3, LastEvent: -1,
	}
}

func request(id string) pool.Request {
	return pool.Request{ID: id, Method: "POST", Target: "/a%2Fb/?q=1", Host: "h.example", Header: http.Header{
		"X-Own": {"kept"}, "Hold": {"x"}, "Authorization": {"Bearer secret"}, "Tenant": {"forged"},
	}, Body: []byte("body")}
}

// TestForwarded guards against requests that are modified on the way to the
// upstream, and against forwarding the caller's key or fields that only the router
// may set.
func TestForwarded(t *testing.T) {
	or, po := startOrigin(t), pool.New(testHeaderNames())
	rsp, err := po.Send(t.Context(), request("a1"), attempt(or))
	if err != nil {
		t.Fatal(err)
	}
	defer rsp.Close()
	body, err := rsp.Body(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	run := or.Runs()[0]
	got := []string{
		run.Method, run.Target, run.Body, run.Header.Get("X-Own"), run.Header.Get("Hold"), run.Header.Get("Authorization"),
		run.Header.Get("Tenant"), run.Header.Get("Expect-Instance"), string(body),
	}
	want := []string{"POST", "/a%2Fb/?q=1", "body", "kept", "", "", "desk", "i-1", "answer to a1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("request at the upstream (-want +got):\n%s", diff)
	}
	if ld, ok := rsp.Load(); !ok || ld != (proxy.Load{Running: 1, Slots: 8}) {
		t.Errorf("load is %+v (%v)", ld, ok)
	}
}

// TestFailures guards against errors that are wrong about whether the request
// ran, and against accepting responses that are incomplete or belong to another
// request. After each failure, the next request must get its own response.
func TestFailures(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault origin.Fault
		want  error
	}{
		{"refused because no slot is free", origin.Shed, proxy.ErrNotRun},
		{"closed without a response", origin.Reset, proxy.ErrIncomplete},
		{"truncated body", origin.Cut, proxy.ErrIncomplete},
		{"response to another request", origin.WrongAttemptID, proxy.ErrIncomplete},
		{"malformed response", origin.Garbage, proxy.ErrIncomplete},
		{"encoding that was not requested", origin.UnacceptedEncoding, proxy.ErrIncomplete},
		{"second response after the first", origin.ExtraResponse, nil},
		{"response before the body was read", origin.EarlyResponse, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			or, po := startOrigin(t), pool.New(testHeaderNames())
			or.SetFaults(func(id string) origin.Fault {
				if id == "bad" {
					return tc.fault
				}
				return origin.None
			})
			send := func(id string, size int) (string, error) {
				rq := request(id)
				rq.Body = []byte(strings.Repeat("b", size))
				rsp, err := po.Send(t.Context(), rq, attempt(or))
				if err != nil {
					return "", err
				}
				defer rsp.Close()
				body, err := rsp.Body(t.Context())
				return string(body), err
			}
			if _, err := send("first", 10); err != nil {
				t.Fatal(err)
			}
			if _, err := send("bad", 100_000); !errors.Is(err, tc.want) {
				t.Errorf("error is %v, want %v", err, tc.want)
			}
			if body, err := send("next", 10); err != nil || body != "answer to next" {
				t.Errorf("the next request got %q, %v", body, err)
			}
		})
	}
}

// TestNotSent guards against reporting that a request may have run although it was
// never written.
func TestNotSent(t *testing.T) {
	or, po := startOrigin(t), pool.New(testHeaderNames())
	at := attempt(or)
	or.Close()
	if _, err := po.Send(t.Context(), request("a1"), at); !errors.Is(err, proxy.ErrNotSent) {
		t.Errorf("error is %v, want ErrNotSent", err)
	}
}

// TestOtherInstance guards against running a request at an instance that took
// over the address of another one.
func TestOtherInstance(t *testing.T) {
	or, po := startOrigin(t), pool.New(testHeaderNames())
	at := attempt(or)
	at.Upstream.ID = "i-0"
	if _, err := po.Send(t.Context(), request("a1"), at); !errors.Is(err, proxy.ErrNotRun) || len(or.Runs()) != 0 {
		t.Errorf("error is %v with %d runs, want ErrNotRun and none", err, len(or.Runs()))
	}
}

// TestStaleConnection guards against sending a request on an idle connection that
// the upstream has closed.
func TestStaleConnection(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	closed := make(chan struct{}, 2)
	go func() {
		for {
			nc, err := ls.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			_, _ = nc.Read(buf)
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 2\r\n\r\nok")
			_ = nc.Close()
			closed <- struct{}{}
		}
	}()
	po := pool.New(testHeaderNames())
	at := proxy.Attempt{Upstream: proxy.Upstream{ID: "i", Address: ls.Addr().String()}, Deadline: time.Now().Add(time.Minute), LastEvent: -1}
	for range 3 {
		rsp, err := po.Send(t.Context(), request("a1"), at)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := rsp.Body(t.Context()); err != nil {
			t.Fatal(err)
		}
		<-closed
		rsp.Close()
	}
}

func streamRequest(id string) pool.Request {
	rq := request(id)
	rq.Header.Set("Token-Counts", "10,30")
	return rq
}

// TestStream guards against events that are truncated, joined or reordered, and
// against a broken stream that is reported as complete.
func TestStream(t *testing.T) {
	for _, tc := range []struct {
		name      string
		fault     origin.Fault
		lastEvent int64
		want      []int64
		end       error
	}{
		{"complete", origin.None, -1, []int64{0, 1, 2, 3, 4, 5}, io.EOF},
		{"resumed", origin.None, 3, []int64{4, 5}, io.EOF},
		{"broken in the middle of an event", origin.Cut, -1, []int64{0, 1, 2}, proxy.ErrIncomplete},
	} {
		t.Run(tc.name, func(t *testing.T) {
			or, po := startOrigin(t), pool.New(testHeaderNames())
			or.SetFaults(func(string) origin.Fault { return tc.fault })
			at := attempt(or)
			at.LastEvent = tc.lastEvent
			rsp, err := po.Send(t.Context(), streamRequest("s1"), at)
			if err != nil {
				t.Fatal(err)
			}
			defer rsp.Close()
			var got []int64
			for {
				ev, err := rsp.NextEvent(t.Context())
				if err != nil {
					if !errors.Is(err, tc.end) {
						t.Errorf("the stream ended with %v, want %v", err, tc.end)
					}
					break
				}
				if !strings.HasSuffix(string(ev.Data), "\n\n") {
					t.Errorf("event %q is not complete", ev.Data)
				}
				got = append(got, ev.Number)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCancel guards against an upstream that continues to work after the caller
// has left.
func TestCancel(t *testing.T) {
	or, po := startOrigin(t), pool.New(testHeaderNames())
	or.SetFaults(func(string) origin.Fault { return origin.Hang })
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for or.Arrived() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := po.Send(ctx, request("a1"), attempt(or)); !errors.Is(err, proxy.ErrIncomplete) {
		t.Errorf("error is %v, want ErrIncomplete", err)
	}
	if id := <-or.Aborted(); id != "a1" {
		t.Errorf("the upstream saw the connection of %q close, want a1", id)
	}
}

// TestUnusableAddress guards against an address out of range that ends the process, or
// after which a request counts as sent.
func TestUnusableAddress(t *testing.T) {
	po := pool.New(testHeaderNames())
	for _, addr := range []string{"", "127.0.0.1", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:99999999999999999999", "[::1:80", "127.0.0.1:80:80"} {
		up := proxy.Upstream{ID: "i", Address: addr}
		_, err := po.Send(t.Context(), pool.Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h"}, proxy.Attempt{Upstream: up, LastEvent: -1})
		if !errors.Is(err, proxy.ErrNotSent) {
			t.Errorf("%q: %v, want ErrNotSent", addr, err)
		}
		if pool.Refuses(t.Context(), up) {
			t.Errorf("%q counts as the address of a process that has ended", addr)
		}
	}
}
