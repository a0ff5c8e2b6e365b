package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// TestLongerIdleTimeout guards against closing an idle connection at the timeout of a
// configuration that a newer one has replaced: callers reuse it for as long as the
// newer one allows.
func TestLongerIdleTimeout(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(300 * time.Millisecond))
	hn := terms.Default()
	ha := &fakeHandler{re: refuse.New(refuse.NoUpstream, "none")}
	sv, err := entry.New("127.0.0.1:0", ha, pool.New(hn), hn, func() intent.Limits {
		return intent.Limits{IdleTimeout: time.Duration(idle.Load())}
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = sv.Serve() }()
	t.Cleanup(func() { _ = sv.Close() })
	nc, err := net.Dial("tcp", sv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	send := func() error {
		if _, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n"+idField+"\r\n"); err != nil {
			return err
		}
		rsp, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, rsp.Body)
		return err
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	idle.Store(int64(time.Minute))
	// Only the end of the connection ends this read early.
	_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := br.Peek(1); err == io.EOF {
		t.Fatal("the connection was closed at the idle timeout of the earlier configuration")
	}
	_ = nc.SetReadDeadline(time.Time{})
	if err := send(); err != nil {
		t.Errorf("request on the kept connection: %v", err)
	}
}

// TestHalfClosedRequest guards against closing the connection without a response when
// a caller has sent a complete request and closed its write side.
func TestHalfClosedRequest(t *testing.T) {
	hn := terms.Default()
	ph := pausingHandler{make(chan struct{}), make(chan struct{})}
	sv, err := entry.New("127.0.0.1:0", ph, pool.New(hn), hn, func() intent.Limits { return intent.Limits{} })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = sv.Serve() }()
	t.Cleanup(func() { _ = sv.Close() })
	nc, err := net.Dial("tcp", sv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_, _ = io.WriteString(nc, "GET /slow/ HTTP/1.1\r\nHost: h\r\n"+idField+"\r\n")
	<-ph.entered
	_ = nc.(*net.TCPConn).CloseWrite()
	time.AfterFunc(100*time.Millisecond, func() { close(ph.released) })
	if _, err := http.ReadResponse(bufio.NewReader(nc), nil); err != nil {
		t.Errorf("no response: %v", err)
	}
}
