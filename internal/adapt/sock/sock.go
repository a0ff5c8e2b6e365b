// Package sock tells the state of sockets and the way in which connections ended.
package sock

import (
	"errors"
	"net"
	"syscall"
)

// State is what is known about the input of a connection.
type State int

const (
	// Empty means that the connection is open and no byte waits.
	Empty State = iota
	// Readable means that at least one byte waits.
	Readable
	// Closed means that the other side has closed the connection, or that it failed.
	Closed
	// Unknown means that the connection is not a socket.
	Unknown
)

// StateOf returns the state of the connection. It neither blocks nor depends on the
// read deadline.
func StateOf(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	st := Closed
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			st = Readable
		case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK):
			st = Empty
		}
	})
	if err != nil {
		return Closed
	}
	return st
}
