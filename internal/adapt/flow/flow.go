// Package flow counts the bytes that connections carry over the router's link.
package flow

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/shed"
)

// reader counts what is read.
type reader struct {
	io.Reader
	link   *shed.Link
	source shed.Source
}

// NewReader returns a reader that counts what it reads. Without a link it returns src.
func NewReader(src io.Reader, li *shed.Link, so shed.Source) io.Reader {
	if li == nil {
		return src
	}
	return &reader{src, li, so}
}

// Read reads and counts.
func (rd *reader) Read(buf []byte) (int, error) {
	n, err := rd.Reader.Read(buf)
	if n > 0 {
		rd.link.Received(n, rd.source, time.Now())
	}
	return n, err
}

// writer counts what is written.
type writer struct {
	io.Writer
	link   *shed.Link
	source shed.Source
}

// NewWriter returns a writer that counts what it writes. Without a link it returns dst.
func NewWriter(dst io.Writer, li *shed.Link, so shed.Source) io.Writer {
	if li == nil {
		return dst
	}
	return &writer{dst, li, so}
}

// Write writes and counts.
func (wr *writer) Write(data []byte) (int, error) {
	n, err := wr.Writer.Write(data)
	if n > 0 {
		wr.link.Sent(n, wr.source, time.Now())
	}
	return n, err
}

// conn counts what is read and written.
type conn struct {
	net.Conn
	rd io.Reader
	wr io.Writer
}

// Read reads and counts.
func (co *conn) Read(buf []byte) (int, error) { return co.rd.Read(buf) }

// Write writes and counts.
func (co *conn) Write(data []byte) (int, error) { return co.wr.Write(data) }

// Dial is a function that opens connections.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// With returns the function with wrapped connections.
func (di Dial) With(wrap func(net.Conn) net.Conn) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := di(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return wrap(nc), nil
	}
}

// CountingDial returns the function with connections whose bytes are counted as other
// than those of bodies. Without a link it returns dial.
func CountingDial(dial Dial, li *shed.Link) Dial {
	if li == nil {
		return dial
	}
	return dial.With(func(nc net.Conn) net.Conn {
		return &conn{nc, NewReader(nc, li, shed.Others), NewWriter(nc, li, shed.Others)}
	})
}
