package pool_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

func attemptAt(addr string) proxy.Attempt {
	return proxy.Attempt{Upstream: proxy.Upstream{ID: "i-1", Address: addr}, Deadline: time.Now().Add(time.Minute), LastEvent: -1}
}

// TestCancelDiscardsBody guards against bytes of a request that was given up and that
// reach the upstream later, because they waited in a send buffer.
func TestCancelDiscardsBody(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	for _, size := range []int{64 << 10, 16 << 20} {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			rq := request("a1")
			rq.Body = make([]byte, size)
			_, err := pool.New(testHeaderNames()).Send(ctx, rq, attemptAt(ls.Addr().String()))
			done <- err
		}()
		nc, err := ls.Accept()
		if err != nil {
			t.Fatal(err)
		}
		// The request has begun to arrive and is not read further.
		_, _ = io.ReadFull(nc, make([]byte, 100))
		cancel()
		if err := <-done; !errors.Is(err, proxy.ErrIncomplete) {
			t.Errorf("%d bytes: error is %v", size, err)
		}
		if _, err := io.Copy(io.Discard, nc); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%d bytes: the connection ended with %v", size, err)
		}
		_ = nc.Close()
	}
}

// TestBodiesAtRate guards against bodies that fill the link, so that other calls wait
// behind them, and against bodies that are changed when they are written in parts.
func TestBodiesAtRate(t *testing.T) {
	or := startOrigin(t)
	po := pool.New(testHeaderNames(), pool.WithLink(shed.NewLink(10, time.Now())))
	rq := request("a1")
	rq.Body = bytes.Repeat([]byte("0123456789"), 20_000)
	start := time.Now()
	rsp, err := po.Send(t.Context(), rq, attempt(or))
	if err != nil {
		t.Fatal(err)
	}
	defer rsp.Close()
	if _, err := rsp.Body(t.Context()); err != nil {
		t.Fatal(err)
	}
	// The link carries the body in 160 ms, and the last 40 ms are not awaited.
	if took := time.Since(start); took < 100*time.Millisecond {
		t.Errorf("a body of 200 kB was written in %s", took)
	}
	if or.Runs()[0].Body != string(rq.Body) {
		t.Error("the body was changed")
	}
}

// TestCancelQueuedBody guards against a request that is sent although its caller has left
// while it waited for the link.
func TestCancelQueuedBody(t *testing.T) {
	or, li := startOrigin(t), shed.NewLink(10, time.Now())
	// What is sent in the future stays ahead of the body until the caller leaves.
	li.Sent(1<<20, shed.Others, time.Now().Add(time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	rq := request("a1")
	rq.Body = make([]byte, 9000)
	if _, err := pool.New(testHeaderNames(), pool.WithLink(li)).Send(ctx, rq, attempt(or)); !errors.Is(err, proxy.ErrNotSent) {
		t.Errorf("error is %v", err)
	}
	if got := or.Runs(); len(got) != 0 {
		t.Errorf("the upstream got %d requests", len(got))
	}
}

// TestNoConnection guards against a dial that timed out and that looks like any other
// failure to send.
func TestNoConnection(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}).String()
	// Connections that are not accepted fill the queue of the listener.
	for range 2 {
		if nc, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			defer func() { _ = nc.Close() }()
		}
	}
	if _, err := pool.New(testHeaderNames()).Send(t.Context(), request("a1"), attemptAt(addr)); !errors.Is(err, proxy.ErrNoConnection) || !errors.Is(err, proxy.ErrNotSent) {
		t.Errorf("error is %v", err)
	}
}
