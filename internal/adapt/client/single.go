package client

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/adapt/strict"
)

var (
	// errErrorRead means that a connection is not used again because of a response.
	errErrorRead = errors.New("client: a response that is invalid or has an error status was read on the connection")
	// errSecondError means that a response may belong to an earlier request.
	errSecondError = errors.New("client: a second response with an error status on one connection")
)

// WithoutReuseAfterErrors uses a connection for no other request once a response with
// a status of 400 or more was read on it. A late copy of the response would be read as
// the response to the next request, and responses name no request. By default, such
// connections are reused.
func WithoutReuseAfterErrors() Option { return func(se *settings) { se.noReuseAfterErrors = true } }

// errorConn is a connection that cannot be written to after an invalid response, or, with
// noReuse, after one with an error status.
type errorConn struct {
	net.Conn
	noReuse   bool
	errorRead atomic.Bool
}

// Write writes nothing after such a response. The transport then sends the request on
// another connection.
func (ec *errorConn) Write(data []byte) (int, error) {
	if ec.errorRead.Load() {
		return 0, errErrorRead
	}
	return ec.Conn.Write(data)
}

// checkResponse returns an error if the response is invalid, or if its connection has
// noReuse and this is not its first response with an error status. A request may be
// written just before the first one is recorded. The connection may be nil.
func checkResponse(used *net.Conn, resp *http.Response) error {
	err := strict.Check(resp)
	ec := errorConnOf(used)
	if ec == nil || err == nil && !(ec.noReuse && resp.StatusCode >= http.StatusBadRequest) {
		return err
	}
	if ec.errorRead.Swap(true) && err == nil {
		return errSecondError
	}
	return err
}

// errorConnOf returns the connection, also below TLS, or nil if it is none of New.
func errorConnOf(used *net.Conn) *errorConn {
	if used == nil {
		return nil
	}
	nc := *used
	if tc, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = tc.NetConn()
	}
	ec, _ := nc.(*errorConn)
	return ec
}
