package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/adapt/pool"
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
	sv, err := entry.New("127.0.0.1:0", ph, pool.New(hn), hn, func() intent.Limits { return intent.Limits{} })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = sv.Serve() }()
	t.Cleanup(func() { _ = sv.Close() })
	open := func(path string) (net.Conn, *bufio.Reader) {
		nc, err := net.Dial("tcp", sv.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = nc.Close() })
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
