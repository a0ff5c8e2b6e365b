package link_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faultyConn is one end of a connection whose writes can be held back, delayed,
// or cut off after a number of bytes. Writes that are held back are delivered
// when the connection is released, as on a network path that has recovered.
type faultyConn struct {
	net.Conn
	mu    sync.Mutex
	buf   [][]byte
	held  bool
	delay time.Duration
	// bytesLeft is the number of bytes until the connection is cut off, or
	// negative if it is not.
	bytesLeft int
	wake      chan struct{}
	done      chan struct{}
	once      sync.Once
}

func newFaultyConn(nc net.Conn) *faultyConn {
	fc := &faultyConn{Conn: nc, bytesLeft: -1, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go fc.deliver()
	return fc
}

func (fc *faultyConn) Write(buf []byte) (int, error) {
	select {
	case <-fc.done:
		return 0, net.ErrClosed
	default:
	}
	fc.update(func() { fc.buf = append(fc.buf, append([]byte(nil), buf...)) })
	return len(buf), nil
}

func (fc *faultyConn) update(fn func()) {
	fc.mu.Lock()
	fn()
	fc.mu.Unlock()
	select {
	case fc.wake <- struct{}{}:
	default:
	}
}

func (fc *faultyConn) hold()          { fc.update(func() { fc.held = true }) }
func (fc *faultyConn) release()       { fc.update(func() { fc.held = false }) }
func (fc *faultyConn) truncate(n int) { fc.update(func() { fc.bytesLeft = n }) }

func (fc *faultyConn) nextWrite() ([]byte, time.Duration, bool) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if fc.held || len(fc.buf) == 0 {
		return nil, 0, false
	}
	out := fc.buf[0]
	fc.buf = fc.buf[1:]
	last := false
	if fc.bytesLeft >= 0 {
		last = len(out) >= fc.bytesLeft
		out = out[:min(fc.bytesLeft, len(out))]
		fc.bytesLeft -= len(out)
	}
	return out, fc.delay, last
}

func (fc *faultyConn) deliver() {
	for {
		out, delay, last := fc.nextWrite()
		if out == nil {
			select {
			case <-fc.wake:
				continue
			case <-fc.done:
				return
			}
		}
		time.Sleep(delay)
		if _, err := fc.Conn.Write(out); err != nil || last {
			_ = fc.Close()
			return
		}
	}
}

func (fc *faultyConn) Close() error {
	fc.once.Do(func() { close(fc.done) })
	return fc.Conn.Close()
}

// pair holds the two ends of a connection.
type pair struct{ router, sidecar *faultyConn }

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

// network opens connections whose faults the test controls.
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
	near, far := net.Pipe()
	pa := pair{router: newFaultyConn(near), sidecar: newFaultyConn(far)}
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

func (nw *network) openCount() int {
	count := 0
	for _, pa := range nw.all() {
		if !pa.closed() {
			count++
		}
	}
	return count
}

func (nw *network) closeAll() {
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
