package script

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Early is a server that responds before it reads the body of a request.
type Early struct {
	ls   net.Listener
	done sync.WaitGroup
}

// NewEarly starts a server on loopback. On each connection it reads the header of one
// request, writes the response, calls end and closes the connection.
func NewEarly(response string, end func(*net.TCPConn)) (*Early, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ea := &Early{ls: ls}
	ea.done.Go(func() {
		for {
			nc, err := ls.Accept()
			if err != nil {
				return
			}
			ea.done.Go(func() { respondEarly(nc.(*net.TCPConn), response, end) })
		}
	})
	return ea, nil
}

// Addr returns IP:PORT.
func (ea *Early) Addr() string { return ea.ls.Addr().String() }

// Close stops accepting connections and waits for those in progress.
func (ea *Early) Close() {
	_ = ea.ls.Close()
	ea.done.Wait()
}

func respondEarly(tc *net.TCPConn, response string, end func(*net.TCPConn)) {
	defer func() { _ = tc.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(tc)); err != nil {
		return
	}
	if _, err := io.WriteString(tc, response); err == nil {
		end(tc)
	}
}

// Reset makes the close of the connection reset it.
func Reset(tc *net.TCPConn) { _ = tc.SetLinger(0) }
