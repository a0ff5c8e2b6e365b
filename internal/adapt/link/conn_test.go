package link_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is one end of a connection whose writes can be held back, delayed, or
// cut off after a number of bytes. Writes that are held back are delivered when
// the conn is released, as on a path that works again.
type conn struct {
	net.Conn
	mu    sync.Mutex
	buf   [][]byte
	held  bool
	delay time.Duration
	left  int
	wake  chan struct{}
	done  chan struct{}
	once  sync.Once
}

func newConn(nc net.Conn) *conn {
	co := &conn{Conn: nc, left: -1, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go co.deliver()
	return co
}

func (co *conn) Write(buf []byte) (int, error) {
	select {
	case <-co.done:
		return 0, net.ErrClosed
	default:
	}
	co.change(func() { co.buf = append(co.buf, append([]byte(nil), buf...)) })
	return len(buf), nil
}

func (co *conn) change(fn func()) {
	co.mu.Lock()
	fn()
	co.mu.Unlock()
	select {
	case co.wake <- struct{}{}:
	default:
	}
}

func (co *conn) hold()          { co.change(func() { co.held = true }) }
func (co *conn) release()       { co.change(func() { co.held = false }) }
func (co *conn) truncate(n int) { co.change(func() { co.left = n }) }

func (co *conn) take() ([]byte, time.Duration, bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.held || len(co.buf) == 0 {
		return nil, 0, false
	}
	out := co.buf[0]
	co.buf = co.buf[1:]
	last := false
	if co.left >= 0 {
		last = len(out) >= co.left
		out = out[:min(co.left, len(out))]
		co.left -= len(out)
	}
	return out, co.delay, last
}

func (co *conn) deliver() {
	for {
		out, delay, last := co.take()
		if out == nil {
			select {
			case <-co.wake:
				continue
			case <-co.done:
				return
			}
		}
		time.Sleep(delay)
		if _, err := co.Conn.Write(out); err != nil || last {
			_ = co.Close()
			return
		}
	}
}

func (co *conn) Close() error {
	co.once.Do(func() { close(co.done) })
	return co.Conn.Close()
}

// pair is a connection with its two ends.
type pair struct{ router, sidecar *conn }

func (pa pair) hold(router, sidecar bool) {
	if router {
		pa.router.hold()
	}
	if sidecar {
		pa.sidecar.hold()
	}
}

func (pa pair) closed() bool {
	select {
	case <-pa.sidecar.done:
		return true
	default:
		return false
	}
}

// network makes connections that stay under the test's control.
type network struct {
	mu    sync.Mutex
	pairs []pair
	queue chan net.Conn
	down  atomic.Bool
}

func newNetwork() *network { return &network{queue: make(chan net.Conn, 64)} }

func (nw *network) dial(ctx context.Context) (net.Conn, error) {
	if nw.down.Load() || ctx.Err() != nil {
		return nil, errors.New("connection refused")
	}
	le, ri := net.Pipe()
	pa := pair{router: newConn(le), sidecar: newConn(ri)}
	nw.mu.Lock()
	nw.pairs = append(nw.pairs, pa)
	nw.mu.Unlock()
	nw.queue <- pa.sidecar
	return pa.router, nil
}

// all returns the connections in the order in which they were opened.
func (nw *network) all() []pair {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return append([]pair(nil), nw.pairs...)
}

func (nw *network) open() int {
	count := 0
	for _, pa := range nw.all() {
		if !pa.closed() {
			count++
		}
	}
	return count
}

func (nw *network) cut() {
	for _, pa := range nw.all() {
		_ = pa.router.Close()
		_ = pa.sidecar.Close()
	}
}

// listener accepts the connections of a network.
type listener struct {
	nw   *network
	done chan struct{}
	once sync.Once
}

func (nw *network) listen() *listener { return &listener{nw: nw, done: make(chan struct{})} }

// Accept implements net.Listener.
func (ls *listener) Accept() (net.Conn, error) {
	select {
	case nc := <-ls.nw.queue:
		return nc, nil
	case <-ls.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (ls *listener) Close() error {
	ls.once.Do(func() { close(ls.done) })
	return nil
}

// Addr implements net.Listener.
func (ls *listener) Addr() net.Addr { return &net.TCPAddr{} }
