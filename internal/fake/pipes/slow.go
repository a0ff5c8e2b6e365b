package pipes

import (
	"context"
	"net"
	"net/http"
	"time"
)

// stopTime is the time after StopsAfter for which nothing is written.
const stopTime = time.Hour

// Link is how slowly a connection writes. The zero value does not slow it down.
type Link struct {
	// Chunk is the number of bytes that are written at a time, followed by the pause.
	Chunk int
	Pause time.Duration
	// Burst is the number of bytes of a connection that are written at once before
	// the link is slow.
	Burst int
	// StopsAfter is the number of bytes of one write after which nothing more is
	// written for stopTime. Zero means that the link never stops.
	StopsAfter int
}

// Serve serves HTTP over the link, on virtual time. It returns the function that opens
// a connection, whatever the address, and one that stops the server and lets all
// writes that are paused end.
func Serve(ha http.Handler, link Link) (dial func(ctx context.Context, network, addr string) (net.Conn, error), stop func()) {
	li := NewListener()
	sv := &http.Server{Handler: ha}
	go func() { _ = sv.Serve(&slowListener{Listener: li, link: link}) }()
	dial = func(ctx context.Context, _, _ string) (net.Conn, error) { return li.Dial(ctx) }
	return dial, func() {
		_ = sv.Close()
		time.Sleep(2 * stopTime)
	}
}

// slowListener accepts connections whose writes are slow.
type slowListener struct {
	net.Listener
	link Link
}

// Accept returns the next connection.
func (sl *slowListener) Accept() (net.Conn, error) {
	nc, err := sl.Listener.Accept()
	if err != nil || sl.link.Chunk == 0 {
		return nc, err
	}
	return &slowConn{Conn: nc, link: sl.link}, nil
}

type slowConn struct {
	net.Conn
	link Link
}

// Write writes the data a chunk at a time.
func (sc *slowConn) Write(data []byte) (int, error) {
	written := 0
	if burst := min(sc.link.Burst, len(data)); burst > 0 {
		sc.link.Burst -= burst
		n, err := sc.Conn.Write(data[:burst])
		if err != nil {
			return n, err
		}
		written, data = n, data[n:]
	}
	for len(data) > 0 {
		if sc.link.StopsAfter > 0 && written >= sc.link.StopsAfter {
			time.Sleep(stopTime)
		}
		n, err := sc.Conn.Write(data[:min(sc.link.Chunk, len(data))])
		if written += n; err != nil {
			return written, err
		}
		data = data[n:]
		time.Sleep(sc.link.Pause)
	}
	return written, nil
}
