package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection. Upstreams are less than a
	// millisecond away and accept within 1 ms.
	dialTimeout = 300 * time.Millisecond
	// keepAlive probes find a connection that went silent within 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// userTimeout bounds how long written bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12
	// idleFor is how long an idle connection is kept if the upstream names no
	// time, and idleMargin how much earlier than named it is given up.
	idleFor    = 4 * time.Second
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 32
	readBuf = 4 << 10
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	br *bufio.Reader
	// until is when the connection is too old for another request.
	until time.Time
	// fresh is set until the first answer was read.
	fresh bool
}

func dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	di := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	nc, err := di.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuf), fresh: true}, nil
}

// quiet reports whether the connection is open and nothing has arrived on it
// since the last answer. Bytes that nobody asked for belong to no request.
func (co *conn) quiet() bool {
	if co.br.Buffered() > 0 {
		return false
	}
	sc, ok := co.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// host keeps the idle connections to one upstream, the last used one first.
type host struct {
	mu   sync.Mutex
	idle []*conn
}

func (ho *host) take(now time.Time) *conn {
	for {
		ho.mu.Lock()
		n := len(ho.idle)
		if n == 0 {
			ho.mu.Unlock()
			return nil
		}
		co := ho.idle[n-1]
		ho.idle = ho.idle[:n-1]
		ho.mu.Unlock()
		if now.Before(co.until) && co.quiet() {
			return co
		}
		_ = co.Close()
	}
}

func (ho *host) put(co *conn) {
	ho.mu.Lock()
	var old *conn
	if len(ho.idle) >= maxIdle {
		old = ho.idle[0]
		ho.idle = append(ho.idle[:0], ho.idle[1:]...)
	}
	ho.idle = append(ho.idle, co)
	ho.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

// sweep closes the connections that are too old.
func (ho *host) sweep(now time.Time) (left int) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	kept := ho.idle[:0]
	for _, co := range ho.idle {
		if now.Before(co.until) {
			kept = append(kept, co)
		} else {
			_ = co.Close()
		}
	}
	clear(ho.idle[len(kept):])
	ho.idle = kept
	return len(kept)
}

// idleTime returns how long the upstream keeps an idle connection.
func idleTime(hd http.Header) time.Duration {
	for name := range strings.SplitSeq(hd.Get("Keep-Alive"), ",") {
		val, ok := strings.CutPrefix(strings.TrimSpace(name), "timeout=")
		if secs, err := strconv.Atoi(val); ok && err == nil {
			return max(0, time.Duration(secs)*time.Second-idleMargin)
		}
	}
	return idleFor
}
