// Package script holds stand-ins for servers that write fixed bytes, whatever they are
// asked.
package script

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Server accepts one connection for each list of replies.
type Server struct {
	ls    net.Listener
	conns chan struct{}
	done  sync.WaitGroup
}

// New starts a server on loopback. It writes replies[c][n] when it has read request n of
// connection c, and then waits for the next request. Further connections are refused.
func New(replies ...[]string) (*Server, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sv := &Server{ls: ls, conns: make(chan struct{}, len(replies))}
	sv.done.Go(func() {
		defer func() { _ = ls.Close() }()
		for _, texts := range replies {
			nc, err := ls.Accept()
			if err != nil {
				return
			}
			sv.conns <- struct{}{}
			go reply(nc, texts)
		}
	})
	return sv, nil
}

// Addr returns IP:PORT.
func (sv *Server) Addr() string { return sv.ls.Addr().String() }

// Conns receives each connection that was accepted.
func (sv *Server) Conns() <-chan struct{} { return sv.conns }

// Close stops accepting connections.
func (sv *Server) Close() {
	_ = sv.ls.Close()
	sv.done.Wait()
}

// reply writes one text after each request, and waits until the connection is closed.
func reply(nc net.Conn, texts []string) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for _, text := range texts {
		re, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, re.Body)
		_, _ = io.WriteString(nc, text)
	}
	_, _ = br.Peek(1)
}
