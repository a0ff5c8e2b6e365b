// Package serve runs HTTP servers that shut down gracefully.
package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds the time in which a client must send its header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
)

// Server is an HTTP server on one listener.
type Server struct {
	ls  net.Listener
	srv *http.Server
}

// Option configures a Server.
type Option func(*Server)

// WithTLS sets the TLS configuration. The default is plain TCP.
func WithTLS(tc *tls.Config) Option {
	return func(sv *Server) {
		if tc != nil {
			sv.ls = tls.NewListener(sv.ls, tc)
		}
	}
}

// WithMaxHeaderBytes sets the maximum size of the header in bytes. The default is
// 16 KiB.
func WithMaxHeaderBytes(size int) Option {
	return func(sv *Server) { sv.srv.MaxHeaderBytes = size }
}

// New returns a server that listens at the address. It accepts connections once
// Serve is called.
func New(addr string, ha http.Handler, opts ...Option) (*Server, error) {
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	sv := &Server{ls: ls, srv: &http.Server{
		Handler: ha, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
	}}
	for _, op := range opts {
		op(sv)
	}
	return sv, nil
}

// Addr returns the listener's address.
func (sv *Server) Addr() string { return sv.ls.Addr().String() }

// Serve serves requests until Shutdown or Close.
func (sv *Server) Serve() error {
	if err := sv.srv.Serve(sv.ls); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown accepts no new connection and waits for requests in flight until
// ctx ends.
func (sv *Server) Shutdown(ctx context.Context) error { return sv.srv.Shutdown(ctx) }

// Close closes all connections immediately.
func (sv *Server) Close() error { return sv.srv.Close() }
