package sock

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only if the other side has closed the
// connection in good order.
//
// The kernel reports the error of a connection, such as a reset, to one call. If a
// concurrent Write receives it, reads return io.EOF from then on, which is the mark of a
// complete response without a length. Read returns the error of the Write in its place.
//
// The other side may close the connection while a Write is in progress. Read then ends
// the Write with os.ErrDeadlineExceeded.
type Conn struct {
	net.Conn
	// mu is held by each Write, and writeErr is the first error of one.
	mu       sync.Mutex
	writeErr error
}

// NewConn returns the connection as a Conn.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// NetConn returns the underlying connection.
func (co *Conn) NetConn() net.Conn { return co.Conn }

// Write writes to the connection.
func (co *Conn) Write(data []byte) (int, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	n, err := co.Conn.Write(data)
	if co.writeErr == nil {
		co.writeErr = err
	}
	return n, err
}

// Read reads from the connection.
func (co *Conn) Read(buf []byte) (int, error) {
	n, err := co.Conn.Read(buf)
	if errors.Is(err, io.EOF) {
		err = co.end()
	}
	return n, err
}

// end returns the error of the connection that a Write received, or io.EOF. A write that
// follows the close of the other side fails with EPIPE, which says nothing about the
// bytes that were read before the close.
func (co *Conn) end() error {
	// A Write in progress returns the error that it received, and otherwise a timeout.
	_ = co.SetWriteDeadline(time.Unix(1, 0))
	co.mu.Lock()
	defer co.mu.Unlock()
	var errno syscall.Errno
	if errors.As(co.writeErr, &errno) && errno != syscall.EPIPE {
		return co.writeErr
	}
	return io.EOF
}
