package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// pausingHandler refuses requests, those for /slow/ only when it is released.
type pausingHandler struct{ entered, released chan struct{} }

func (ph pausingHandler) Serve(_ context.Context, info proxy.RequestInfo, _ proxy.Sender, _ proxy.ResponseWriter) (bool, *refuse.Refusal) {
	if info.Path == "/slow/" {
		close(ph.entered)
		<-ph.released
	}
	return false, refuse.New(refuse.NoUpstream, "none")
}

// TestDrain guards against a planned stop that cuts off a request which has just
// been accepted, and against one that waits for callers without a request.
func TestDrain(t *testing.T) {
	ph := pausingHandler{make(chan struct{}), make(chan struct{})}
	hn := terms.Default()
	sv := startServer(t, ph, intent.Limits{})
	open := func(path string) (net.Conn, *bufio.Reader) {
		nc := dialServer(t, sv)
		_, _ = io.WriteString(nc, "GET "+path+" HTTP/1.1\r\nHost: h\r\n"+hn.RequestID+": a1\r\n\r\n")
		return nc, bufio.NewReader(nc)
	}
	response := func(br *bufio.Reader) int {
		rsp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Error(err)
			return 0
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		return rsp.StatusCode
	}
	_, idle := open("/fast/")
	got := []int{response(idle)}
	_, busy := open("/slow/")
	<-ph.entered
	drained := make(chan struct{})
	go func() {
		sv.Drain(time.Now().Add(time.Hour))
		close(drained)
	}()
	if _, err := idle.ReadByte(); err == nil {
		t.Error("the idle connection stays open")
	}
	close(ph.released)
	got = append(got, response(busy))
	<-drained
	if diff := cmp.Diff([]int{503, 503}, got); diff != "" {
		t.Errorf("status codes (-want +got):\n%s", diff)
	}
}

// endingHandler refuses requests when their context ends.
type endingHandler struct{ entered chan struct{} }

func (eh endingHandler) Serve(ctx context.Context, _ proxy.RequestInfo, _ proxy.Sender, _ proxy.ResponseWriter) (bool, *refuse.Refusal) {
	close(eh.entered)
	<-ctx.Done()
	return false, refuse.New(refuse.Leaving, "%v", context.Cause(ctx))
}

// TestStopRefusesInProgress guards against a planned stop that closes the connection of
// a request in progress without a refusal.
func TestStopRefusesInProgress(t *testing.T) {
	eh := endingHandler{make(chan struct{})}
	hn := terms.Default()
	sv := startServer(t, eh, intent.Limits{})
	nc := dialServer(t, sv)
	_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n"+hn.RequestID+": a1\r\n\r\n")
	<-eh.entered
	sv.Drain(time.Now())
	_ = sv.Close()
	rsp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if rsp.StatusCode != http.StatusServiceUnavailable || !rsp.Close {
		t.Errorf("status %d, connection closed: %v; want 503 and a close", rsp.StatusCode, rsp.Close)
	}
}

// recordingHandler refuses requests and records that it has handled one.
type recordingHandler struct{ handled *atomic.Bool }

func (rh recordingHandler) Serve(_ context.Context, info proxy.RequestInfo, _ proxy.Sender, _ proxy.ResponseWriter) (bool, *refuse.Refusal) {
	rh.handled.Store(info.ID == "a0")
	return false, refuse.New(refuse.NoUpstream, "none")
}

// TestStopAnswersArrived guards against a planned stop that closes an idle connection on
// which a whole request has arrived.
func TestStopAnswersArrived(t *testing.T) {
	// The first call of limits after a request was handled is made by the connection
	// that waits for its second request, before it reads.
	var handled atomic.Bool
	waiting, goOn := make(chan struct{}), make(chan struct{})
	limits := func() intent.Limits {
		if handled.CompareAndSwap(true, false) {
			close(waiting)
			<-goOn
		}
		return intent.Limits{}
	}
	hn := terms.Default()
	sv := startServerWith(t, recordingHandler{&handled}, limits)
	nc := dialServer(t, sv)
	br := bufio.NewReader(nc)
	var got []int
	for no := range 2 {
		_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n"+hn.RequestID+fmt.Sprintf(": a%d\r\n\r\n", no))
		if no == 1 {
			sv.Drain(time.Now())
			close(goOn)
			defer func() { _ = sv.Close() }()
		}
		rsp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Errorf("request %d: no response: %v", no, err)
			break
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		got = append(got, rsp.StatusCode)
		if no == 0 {
			<-waiting
		}
	}
	if diff := cmp.Diff([]int{503, 503}, got); diff != "" {
		t.Errorf("status codes (-want +got):\n%s", diff)
	}
}
