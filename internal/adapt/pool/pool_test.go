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
	"github.com/balsamwood/balsamwood/internal/port/hop"
)

// names are the header fields that the stand-in uses.
func names() terms.Terms {
	return terms.Terms{
		RequestID: "Attempt-Id", TimeLeft: "Deadline-Ms", After: "Last-Event-Id", Model: "Model",
		TokenCounts: "Token-Counts", PromptParts: "Prompt-Prefix", Account: "Tenant", Instance: "Expect-Instance",
		Urgency: "Request-Priority", NotRun: "Not-Executed", Load: "Instance-Load", Private: []string{"Hold"},
	}
}

func start(t *testing.T) *origin.Origin {
	t.Helper()
	or, err := origin.New("i-1", 6, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(or.Close)
	return or
}

func attempt(or *origin.Origin) hop.Attempt {
	return hop.Attempt{
		Upstream: hop.Upstream{ID: ident.Upstream(or.ID), Address: or.Addr()}, Deadline: time.Now().Add(time.Minute),
		Account: "desk", Urgency: 3, After: -1,
	}
}

func request(id string) pool.Request {
	return pool.Request{ID: id, Method: "POST", Target: "/a%2Fb/?q=1", Host: "h.example", Header: http.Header{
		"X-Own": {"kept"}, "Hold": {"x"}, "Authorization": {"Bearer secret"}, "Tenant": {"forged"},
	}, Body: []byte("body")}
}

// TestForwarded guards against a request that reaches the upstream changed,
// with the caller's key, or with fields that only the router may set.
func TestForwarded(t *testing.T) {
	or, po := start(t), pool.New(names())
	an, err := po.Send(t.Context(), request("a1"), attempt(or))
	if err != nil {
		t.Fatal(err)
	}
	defer an.Close()
	body, err := an.Body(t.Context())
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
	if ld, ok := an.Load(); !ok || ld != (hop.Load{Running: 1, Slots: 8}) {
		t.Errorf("load is %+v (%v)", ld, ok)
	}
}

// TestFailures guards against wrong claims about what ran and against answers
// that are taken for whole or for another request's. After each failure the
// next request must get its own answer.
func TestFailures(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault origin.Fault
		want  error
	}{
		{"refused for lack of a place", origin.Shed, hop.ErrNotRun},
		{"closed without an answer", origin.Reset, hop.ErrBroken},
		{"truncated body", origin.Cut, hop.ErrBroken},
		{"answer of another request", origin.Other, hop.ErrBroken},
		{"bytes that are no answer", origin.Garbage, hop.ErrBroken},
		{"encoding that was not asked for", origin.Encoded, hop.ErrBroken},
		{"second answer after the first", origin.Extra, nil},
		{"answer before the body was read", origin.Early, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			or, po := start(t), pool.New(names())
			or.Fail(func(id string) origin.Fault {
				if id == "bad" {
					return tc.fault
				}
				return origin.None
			})
			send := func(id string, size int) (string, error) {
				rq := request(id)
				rq.Body = []byte(strings.Repeat("b", size))
				an, err := po.Send(t.Context(), rq, attempt(or))
				if err != nil {
					return "", err
				}
				defer an.Close()
				body, err := an.Body(t.Context())
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

// TestNotSent guards against taking a request for run that was never written.
func TestNotSent(t *testing.T) {
	or, po := start(t), pool.New(names())
	at := attempt(or)
	or.Close()
	if _, err := po.Send(t.Context(), request("a1"), at); !errors.Is(err, hop.ErrNotSent) {
		t.Errorf("error is %v, want ErrNotSent", err)
	}
}

// TestOtherInstance guards against running a request at an upstream that took
// over the address of another one.
func TestOtherInstance(t *testing.T) {
	or, po := start(t), pool.New(names())
	at := attempt(or)
	at.Upstream.ID = "i-0"
	if _, err := po.Send(t.Context(), request("a1"), at); !errors.Is(err, hop.ErrNotRun) || len(or.Runs()) != 0 {
		t.Errorf("error is %v with %d runs, want ErrNotRun and none", err, len(or.Runs()))
	}
}

// TestStaleConnection guards against a request that is lost on a connection
// which the upstream has closed meanwhile.
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
	po := pool.New(names())
	at := hop.Attempt{Upstream: hop.Upstream{ID: "i", Address: ls.Addr().String()}, Deadline: time.Now().Add(time.Minute), After: -1}
	for range 3 {
		an, err := po.Send(t.Context(), request("a1"), at)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := an.Body(t.Context()); err != nil {
			t.Fatal(err)
		}
		<-closed
		an.Close()
	}
}

func streamRequest(id string) pool.Request {
	rq := request(id)
	rq.Header.Set("Token-Counts", "10,30")
	return rq
}

// TestStream guards against events that are cut, joined or reordered, and
// against a stream that seems complete though its upstream broke off.
func TestStream(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault origin.Fault
		after int64
		want  []int64
		end   error
	}{
		{"whole", origin.None, -1, []int64{0, 1, 2, 3, 4, 5}, io.EOF},
		{"resumed", origin.None, 3, []int64{4, 5}, io.EOF},
		{"broken in the middle of an event", origin.Cut, -1, []int64{0, 1, 2}, hop.ErrBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			or, po := start(t), pool.New(names())
			or.Fail(func(string) origin.Fault { return tc.fault })
			at := attempt(or)
			at.After = tc.after
			an, err := po.Send(t.Context(), streamRequest("s1"), at)
			if err != nil {
				t.Fatal(err)
			}
			defer an.Close()
			var got []int64
			for {
				ev, err := an.Next(t.Context())
				if err != nil {
					if !errors.Is(err, tc.end) {
						t.Errorf("the stream ended with %v, want %v", err, tc.end)
					}
					break
				}
				if !strings.HasSuffix(string(ev.Data), "\n\n") {
					t.Errorf("event %q is not whole", ev.Data)
				}
				got = append(got, ev.Number)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCancel guards against an upstream that goes on working after the caller
// has left.
func TestCancel(t *testing.T) {
	or, po := start(t), pool.New(names())
	or.Fail(func(string) origin.Fault { return origin.Hang })
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for or.Arrived() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := po.Send(ctx, request("a1"), attempt(or)); !errors.Is(err, hop.ErrBroken) {
		t.Errorf("error is %v, want ErrBroken", err)
	}
	if id := <-or.Broken(); id != "a1" {
		t.Errorf("the upstream saw the end of %q", id)
	}
}
