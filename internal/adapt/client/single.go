package client

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
)

var (
	// errErrorRead means that a connection is not used again after an error status.
	errErrorRead = errors.New("client: a response with an error status was read on the connection")
	// errSecondError means that a response may belong to an earlier request.
	errSecondError = errors.New("client: a second response with an error status on one connection")
)

// WithoutReuseAfterErrors uses a connection for no other request once a response with
// a status of 400 or more was read on it. A late copy of the response would be read as
// the response to the next request, and responses name no request. By default, such
// connections are reused.
func WithoutReuseAfterErrors() Option { return func(se *settings) { se.noReuseAfterErrors = true } }

// errorConn is a connection that cannot be written to after a response with an error
// status.
type errorConn struct {
	net.Conn
	errorRead atomic.Bool
}

// Write writes nothing after a response with an error status. The transport then sends
// the request on another connection.
func (ec *errorConn) Write(data []byte) (int, error) {
	if ec.errorRead.Load() {
		return 0, errErrorRead
	}
	return ec.Conn.Write(data)
}

// checkStatus returns an error if the response has an error status and is not the first
// such response on its connection. A request may be written just before the first one
// is recorded.
func checkStatus(nc net.Conn, resp *http.Response) error {
	if tc, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = tc.NetConn()
	}
	ec, ok := nc.(*errorConn)
	if !ok || resp.StatusCode < http.StatusBadRequest || !ec.errorRead.Swap(true) {
		return nil
	}
	return errSecondError
}
