package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/adapt/flow"
	"github.com/balsamwood/balsamwood/internal/adapt/sock"
	"github.com/balsamwood/balsamwood/internal/adapt/strict"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

const (
	// dialTimeout bounds the opening of a connection. The network delay to an
	// upstream is below 1 ms, and upstreams accept connections within 1 ms.
	dialTimeout = 300 * time.Millisecond
	// Keep-alive probes detect a silent connection within 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// userTimeout bounds how long written bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// does not announce its timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from a timeout that the upstream announces.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the number of idle connections to one upstream.
	maxIdle = 32
	// maxRequests bounds the requests on one connection, because the connection
	// remembers the id of each.
	maxRequests = 1024
	readBufSize = 4 << 10
	// tcpNotSentLowat is TCP_NOTSENT_LOWAT of Linux, which package syscall lacks, and
	// maxUnsent the number of bytes of one connection that wait in the kernel.
	tcpNotSentLowat = 0x19
	maxUnsent       = 32 << 10
	// maxPiece is the size of the largest part of a body that is written at once, and
	// minPiece that of the largest body that is written without a wait.
	maxPiece = 16 << 10
	minPiece = 2 << 10
	// maxQueued bounds the time that the bytes of bodies wait on the link. Calls to the
	// store and to other routers wait behind them.
	maxQueued = 40 * time.Millisecond
	// maxHeadBytes bounds what is read before the header of a response is complete,
	// with interim responses and second copies of the response before it.
	maxHeadBytes = 64 << 10
)

// errHeadTooLarge means that maxHeadBytes did not contain the header of a response.
var errHeadTooLarge = errors.New("no header of a response within 64 KiB")

// headReader bounds and records the bytes that are read from a connection while the
// header of a response is read. The methods are called by one goroutine at a time.
type headReader struct {
	src    io.Reader
	inHead bool
	// raw holds the bytes that were read since begin, at most maxHeadBytes.
	raw []byte
}

// begin bounds and records what is read from now on.
func (hr *headReader) begin() { hr.inHead = true }

// end removes the bound and the record.
func (hr *headReader) end() { hr.inHead, hr.raw = false, nil }

// Read reads from the connection within the bound.
func (hr *headReader) Read(buf []byte) (int, error) {
	if !hr.inHead {
		return hr.src.Read(buf)
	}
	left := maxHeadBytes - len(hr.raw)
	if left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := hr.src.Read(buf[:min(len(buf), left)])
	hr.raw = append(hr.raw, buf[:n]...)
	return n, err
}

// conn is a connection to an upstream.
type conn struct {
	*sock.Conn
	br   *bufio.Reader
	head *headReader
	// sentIDs holds the hashes of the ids of all requests on the connection.
	sentIDs []uint64
	// expiresAt is the time from which the idle connection must not be reused.
	expiresAt time.Time
	// link is the link that carries the connection, or nil.
	link *shed.Link
}

// dial opens a connection. If the address did not respond in time, the error wraps
// proxy.ErrNoConnection.
func dial(ctx context.Context, addr string, li *shed.Link) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var probe shed.Probe
	if li != nil {
		probe = li.Probe(time.Now())
	}
	di := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
				if li != nil {
					optErr = errors.Join(optErr, syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowat, maxUnsent))
				}
			})
			return errors.Join(err, optErr)
		},
	}
	nc, err := di.DialContext(dialCtx, "tcp", addr)
	var ne net.Error
	timedOut := errors.As(err, &ne) && ne.Timeout() && ctx.Err() == nil
	if li != nil && (err == nil || timedOut) {
		probe.End(time.Now())
	}
	if timedOut {
		return nil, fmt.Errorf("%w: %w", proxy.ErrNoConnection, err)
	}
	if err != nil {
		return nil, err
	}
	sc := sock.NewConn(nc)
	hr := &headReader{src: flow.NewReader(sc, li, shed.Others)}
	return &conn{Conn: sc, br: bufio.NewReaderSize(hr, readBufSize), head: hr, link: li}, nil
}

// readHead reads the header of the next response to a request with the method, and checks
// that HTTP allows it. It is called between begin and end of the headReader.
func (co *conn) readHead(method string) (*http.Response, error) {
	start := len(co.head.raw) - co.br.Buffered()
	httpResp, err := http.ReadResponse(co.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	end := len(co.head.raw) - co.br.Buffered()
	if err := strict.CheckLines(co.head.raw[start:end]); err != nil {
		return nil, err
	}
	return httpResp, strict.Check(httpResp)
}

// reset closes the connection and discards the bytes that were not sent yet, so that a
// request that was given up does not reach the upstream later.
func (co *conn) reset() {
	if tc, ok := co.NetConn().(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = co.Close()
}

// awaitTurn waits until the link can carry the next bytes, so that not many of them wait
// in the kernel ahead of calls to the store and to other routers.
func (co *conn) awaitTurn(ctx context.Context, bytes int) error {
	if co.link == nil {
		return nil
	}
	wait := co.link.Sent(bytes, shed.Bodies, time.Now()) - maxQueued
	if bytes <= minPiece || wait <= 0 {
		return nil
	}
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeBody writes a body at the rate of the link. Its first piece has been counted.
func (co *conn) writeBody(ctx context.Context, parts [][]byte) error {
	counted := maxPiece
	for _, part := range parts {
		for piece := range slices.Chunk(part, maxPiece) {
			if bytes := len(piece) - counted; bytes > 0 {
				if err := co.awaitTurn(ctx, bytes); err != nil {
					return err
				}
			}
			counted = max(0, counted-len(piece))
			if _, err := co.Write(piece); err != nil {
				return err
			}
		}
	}
	return nil
}

// hasSent reports whether a request with the id was sent on the connection. The id
// alone cannot tell the response to a second one from a late copy of the first, so an id
// is sent only once on a connection. Where hashes collide, it is true for another id.
func (co *conn) hasSent(id string) bool { return slices.Contains(co.sentIDs, xxhash.Sum64String(id)) }

// recordSent records that a request with the id is sent on the connection.
func (co *conn) recordSent(id string) { co.sentIDs = append(co.sentIDs, xxhash.Sum64String(id)) }

// isFirst reports whether the request in progress is the first one on the connection.
func (co *conn) isFirst() bool { return len(co.sentIDs) == 1 }

// stillIdle reports whether the connection is open and no byte has arrived on it
// since the last response. Such bytes belong to no request, so a connection that
// has them is not reused.
func (co *conn) stillIdle() bool {
	if co.br.Buffered() > 0 {
		return false
	}
	st := sock.StateOf(co.NetConn())
	return st == sock.Empty || st == sock.Unknown
}

// idleConns holds the idle connections to one upstream. The most recently used one
// is reused first.
type idleConns struct {
	total *idleTotal
	mu    sync.Mutex
	conns []*conn
}

// idleTotal counts the idle connections of a pool.
type idleTotal struct {
	// limit is the largest number, or zero for no bound.
	limit int64
	count atomic.Int64
}

// add counts a connection, and reports false if there are too many.
func (it *idleTotal) add() bool {
	if it.count.Add(1) <= it.limit || it.limit <= 0 {
		return true
	}
	it.count.Add(-1)
	return false
}

// take returns a usable idle connection on which the id was not sent, or nil. It closes
// those that it finds unusable.
func (ic *idleConns) take(id string, now time.Time) *conn {
	for {
		co := ic.remove(id)
		if co == nil || now.Before(co.expiresAt) && co.stillIdle() {
			return co
		}
		_ = co.Close()
	}
}

// remove removes and returns the most recently used connection on which the id was not
// sent, or nil.
func (ic *idleConns) remove(id string) *conn {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for ix, co := range slices.Backward(ic.conns) {
		if !co.hasSent(id) {
			ic.conns = slices.Delete(ic.conns, ix, ix+1)
			ic.total.count.Add(-1)
			return co
		}
	}
	return nil
}

// put adds a connection and closes the least recently used one if there are more
// than maxIdle. It closes the connection if the pool has too many.
func (ic *idleConns) put(co *conn) {
	if !ic.total.add() {
		_ = co.Close()
		return
	}
	ic.mu.Lock()
	var old *conn
	if len(ic.conns) >= maxIdle {
		old = ic.conns[0]
		ic.total.count.Add(-1)
		ic.conns = append(ic.conns[:0], ic.conns[1:]...)
	}
	ic.conns = append(ic.conns, co)
	ic.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

// closeExpired closes the expired connections and returns the number of others.
func (ic *idleConns) closeExpired(now time.Time) (remaining int) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	open := ic.conns[:0]
	for _, co := range ic.conns {
		if now.Before(co.expiresAt) {
			open = append(open, co)
		} else {
			_ = co.Close()
		}
	}
	ic.total.count.Add(int64(len(open) - len(ic.conns)))
	clear(ic.conns[len(open):])
	ic.conns = open
	return len(open)
}

// idleTimeout returns how long the connection may stay idle, from the upstream's
// Keep-Alive field if it has one.
func idleTimeout(hd http.Header) time.Duration {
	for name := range strings.SplitSeq(hd.Get("Keep-Alive"), ",") {
		val, ok := strings.CutPrefix(strings.TrimSpace(name), "timeout=")
		if secs, err := strconv.Atoi(val); ok && err == nil {
			return max(0, time.Duration(secs)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}
