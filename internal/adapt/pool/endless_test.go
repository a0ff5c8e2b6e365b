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

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// endlessCap is the size after which the server of a test gives up. A router that
// reads so much for one request can run out of memory.
const endlessCap = 64 << 20

// serveEndless serves one request with the beginning of a response, followed by
// the part again and again until the client closes the connection. The channel
// receives the number of bytes that were written.
func serveEndless(t *testing.T, begin, part string) (string, <-chan int) {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ls.Close() })
	written := make(chan int, 1)
	go func() {
		nc, err := ls.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		if re, err := http.ReadRequest(bufio.NewReader(nc)); err != nil || re.ContentLength < 0 {
			return
		}
		sum, _ := io.WriteString(nc, begin)
		block := strings.Repeat(part, 1+(32<<10)/len(part))
		for err == nil && sum < endlessCap {
			var n int
			n, err = io.WriteString(nc, block)
			sum += n
		}
		written <- sum
	}()
	return ls.Addr().String(), written
}

// TestEndlessResponse guards against a router that reads bytes which are no
// response until its memory is exhausted or the deadline passes. An upstream in
// trouble may send them until the connection is closed.
func TestEndlessResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: e1\r\n"
	const stream = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for _, tc := range []struct {
		name, begin, part string
		want              error
	}{
		{"status line", "HTTP/1.1 200 ", "x", proxy.ErrIncomplete},
		{"bytes that are no header", "", "\x00\x01\x02\xff", proxy.ErrIncomplete},
		{"field", head + "X-Long: ", "y", proxy.ErrIncomplete},
		{"fields", head, "X-More: z\r\n", proxy.ErrIncomplete},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", proxy.ErrIncomplete},
		{"body up to the end of the connection", head + "\r\n", "b", proxy.ErrIncomplete},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", chunk(strings.Repeat("b", 1000)), proxy.ErrIncomplete},
		{"size of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n", "0", proxy.ErrIncomplete},
		{"event", stream, chunk(strings.Repeat("e", 1000)), proxy.ErrIncomplete},
		{"events without a number", stream, chunk(": nothing\n\n"), proxy.ErrIncomplete},
		{"body of a refusal", head + "Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("r"), proxy.ErrNotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, written := serveEndless(t, tc.begin, tc.part)
			at := proxy.Attempt{
				Upstream: proxy.Upstream{ID: ident.Upstream("i-1"), Address: addr}, Deadline: time.Now().Add(time.Hour), LastEvent: -1,
			}
			rsp, err := pool.New(testHeaderNames()).Send(t.Context(), request("e1"), at)
			if err == nil {
				err = drain(t, rsp)
				rsp.Close()
			}
			if !errors.Is(err, tc.want) {
				t.Errorf("error is %v, want %v", err, tc.want)
			}
			if got := <-written; got >= endlessCap {
				t.Errorf("%d bytes were read for one request", got)
			}
		})
	}
}

// drain reads the response to its end and returns the error that ended it.
func drain(t *testing.T, rsp proxy.Response) error {
	t.Helper()
	if !rsp.IsStream() {
		_, err := rsp.Body(t.Context())
		return err
	}
	for {
		if _, err := rsp.NextEvent(t.Context()); err != nil {
			return err
		}
	}
}

// TestLateSecondCopy guards against passing the second copy of an earlier response
// to the next caller, and against failing the next request because of it. The copy
// arrives when the connection is already in use again.
func TestLateSecondCopy(t *testing.T) {
	copyOf := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	for _, tc := range []struct {
		name, extra, body string
		want              error
	}{
		{"copy of the response before", copyOf("a1", "one"), "two", nil},
		{"two copies", copyOf("a1", "one") + copyOf("a1", "one"), "two", nil},
		{"response to a request of another connection", copyOf("zz", "one"), "", proxy.ErrIncomplete},
		{"copy without an end", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 999999999\r\n\r\none", "", proxy.ErrIncomplete},
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
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for _, text := range []string{copyOf("a1", "one"), tc.extra + copyOf("a2", "two")} {
					re, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, re.Body)
					_, _ = io.WriteString(nc, text)
				}
			}()
			po := pool.New(testHeaderNames())
			at := proxy.Attempt{
				Upstream: proxy.Upstream{ID: "i-1", Address: ls.Addr().String()}, Deadline: time.Now().Add(time.Hour), LastEvent: -1,
			}
			send := func(id string) (string, error) {
				rsp, err := po.Send(t.Context(), request(id), at)
				if err != nil {
					return "", err
				}
				defer rsp.Close()
				body, err := rsp.Body(t.Context())
				return string(body), err
			}
			if body, err := send("a1"); err != nil || body != "one" {
				t.Fatalf("the first request got %q, %v", body, err)
			}
			if body, err := send("a2"); !errors.Is(err, tc.want) || body != tc.body {
				t.Errorf("the second request got %q, %v, want %q, %v", body, err, tc.body, tc.want)
			}
		})
	}
}
