package pool_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/fake/script"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// serveUnframed responds to each request with the bytes and ends the connection. If
// reset is not nil, it resets the connection once the channel yields a value.
func serveUnframed(t *testing.T, response string, reset <-chan struct{}) (addr string, conns chan struct{}) {
	t.Helper()
	conns = make(chan struct{}, 8)
	sv, err := script.NewEarly(response, func(tc *net.TCPConn) {
		conns <- struct{}{}
		if reset == nil {
			return
		}
		select {
		case <-reset:
		case <-t.Context().Done():
		}
		script.Reset(tc)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sv.Close)
	return sv.Addr(), conns
}

// TestUnframed guards against taking a response with neither a length nor chunks for
// complete that was broken off, and the other way round, and against reusing its
// connection.
func TestUnframed(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\n"
	const stream = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, tc := range []struct {
		name, response string
		reset          bool
		want           []string
		end            error
	}{
		{"body", plain + "whole", false, []string{"whole"}, io.EOF},
		{"body that is reset", plain + "who", true, nil, proxy.ErrIncomplete},
		{"stream", stream + "id: 0\ndata: x\n\nid: 1\ndata: y\n\n", false, []string{"id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n"}, io.EOF},
		{"stream without events", stream, false, nil, io.EOF},
		{"stream that ends inside an event", stream + "id: 0\ndata: x\n\nid: 1\ndata", false, []string{"id: 0\ndata: x\n\n"}, proxy.ErrIncomplete},
		{"stream that ends before the blank line", stream + "id: 0\ndata: x\n\nid: 1\ndata: y\n", false, []string{"id: 0\ndata: x\n\n"}, proxy.ErrIncomplete},
		{"stream that is reset after an event", stream + "id: 0\ndata: x\n\n", true, []string{"id: 0\ndata: x\n\n"}, proxy.ErrIncomplete},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var reset chan struct{}
			if tc.reset {
				reset = make(chan struct{}, 2)
			}
			addr, conns := serveUnframed(t, tc.response, reset)
			po := pool.New(testHeaderNames())
			at := proxy.Attempt{Upstream: proxy.Upstream{ID: "i", Address: addr}, Deadline: time.Now().Add(time.Minute), LastEvent: -1}
			for range 2 {
				rsp, err := po.Send(t.Context(), request("a1"), at)
				if err != nil {
					t.Fatal(err)
				}
				got, err := readAll(t, rsp, reset)
				rsp.Close()
				if diff := cmp.Diff(tc.want, got); diff != "" || !errors.Is(err, tc.end) {
					t.Errorf("ended with %v, want %v (-want +got):\n%s", err, tc.end, diff)
				}
			}
			if len(conns) != 2 {
				t.Errorf("%d connections for two requests", len(conns))
			}
		})
	}
}

// readAll returns the body or the events of a response, and io.EOF if it is complete.
// It lets the connection be reset before it reads the body or after the first event.
func readAll(t *testing.T, rsp proxy.Response, reset chan<- struct{}) (parts []string, err error) {
	t.Helper()
	if !rsp.IsStream() {
		signal(reset)
		body, err := rsp.Body(t.Context())
		if err != nil {
			return nil, err
		}
		return []string{string(body)}, io.EOF
	}
	for {
		ev, err := rsp.NextEvent(t.Context())
		if err != nil {
			return parts, err
		}
		parts = append(parts, string(ev.Data))
		signal(reset)
	}
}

func signal(reset chan<- struct{}) {
	select {
	case reset <- struct{}{}:
	default:
	}
}
