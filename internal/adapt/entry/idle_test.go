package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/google/go-cmp/cmp"
)

// TestLongerIdleTimeout guards against closing an idle connection at the timeout of a
// configuration that a newer one has replaced: callers reuse it for as long as the
// newer one allows.
func TestLongerIdleTimeout(t *testing.T) {
	// The first call after a request was handled is made when the connection becomes
	// idle, and the second one when that timeout has passed.
	var handled atomic.Bool
	var calls atomic.Int64
	expired := make(chan struct{})
	sv := startServerWith(t, recordingHandler{&handled}, func() intent.Limits {
		if !handled.Load() {
			return intent.Limits{}
		}
		switch calls.Add(1) {
		case 1:
			return intent.Limits{IdleTimeout: time.Millisecond}
		case 2:
			close(expired)
		}
		return intent.Limits{IdleTimeout: time.Hour}
	})
	nc := dialServer(t, sv)
	br := bufio.NewReader(nc)
	var got []int
	for no := range 2 {
		_, _ = fmt.Fprintf(nc, "GET / HTTP/1.1\r\nHost: h\r\nBalsamwood-Request: a%d\r\n\r\n", no)
		rsp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("request %d: %v", no, err)
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		got = append(got, rsp.StatusCode)
		if no == 0 {
			<-expired
		}
	}
	if diff := cmp.Diff([]int{503, 503}, got); diff != "" {
		t.Errorf("status codes (-want +got):\n%s", diff)
	}
}

// TestHalfClosedRequest guards against closing the connection without a response when
// a caller has sent a complete request and closed its write side.
func TestHalfClosedRequest(t *testing.T) {
	ph := pausingHandler{make(chan struct{}), make(chan struct{})}
	sv := startServer(t, ph, intent.Limits{})
	nc := dialServer(t, sv)
	_, _ = io.WriteString(nc, "GET /slow/ HTTP/1.1\r\nHost: h\r\n"+idField+"\r\n")
	<-ph.entered
	_ = nc.(*net.TCPConn).CloseWrite()
	time.AfterFunc(100*time.Millisecond, func() { close(ph.released) })
	if _, err := http.ReadResponse(bufio.NewReader(nc), nil); err != nil {
		t.Errorf("no response: %v", err)
	}
}
