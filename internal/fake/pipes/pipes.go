// Package pipes provides a listener whose connections are pipes in memory, for
// tests on virtual time.
package pipes

import (
	"context"
	"net"
	"sync"
)

// Listener accepts the far ends of the connections that Dial opens. It is safe for
// concurrent use.
type Listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// NewListener returns an open listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial opens a connection. It waits until the other end is accepted, the listener is
// closed, or ctx ends.
func (li *Listener) Dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case li.conns <- far:
		return near, nil
	case <-li.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the far end of the next connection.
func (li *Listener) Accept() (net.Conn, error) {
	select {
	case nc := <-li.conns:
		return nc, nil
	case <-li.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (li *Listener) Close() error {
	li.once.Do(func() { close(li.done) })
	return nil
}

// Addr returns an address without a value.
func (*Listener) Addr() net.Addr { return &net.TCPAddr{} }
