package pool_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// TestComment guards against taking an event with fields but without a number for a
// comment, which is dropped from a stream that was resumed.
func TestComment(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Type: text/event-stream\r\n\r\n" +
		": ping\n\n:\r\n: ping\r\n\r\n\n\ndata: x\n\n: ping\ndata: x\n\nid: 1\n\ndata\n\n"
	addr, _ := serveUnframed(t, stream, nil)
	at := proxy.Attempt{Upstream: proxy.Upstream{ID: "i", Address: addr}, Deadline: time.Now().Add(time.Minute), LastEvent: -1}
	rsp, err := pool.New(testHeaderNames()).Send(t.Context(), request("a1"), at)
	if err != nil {
		t.Fatal(err)
	}
	defer rsp.Close()
	var got []bool
	for ev, err := rsp.NextEvent(t.Context()); err == nil; ev, err = rsp.NextEvent(t.Context()) {
		got = append(got, ev.Comment)
	}
	if diff := cmp.Diff([]bool{true, true, true, false, false, false, false}, got); diff != "" {
		t.Errorf("comments (-want +got):\n%s", diff)
	}
}
