// Package pool sends HTTP requests to upstreams over a pool of connections. Its
// errors tell whether a request was sent and whether it may have run.
package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// maxInlineBody is the size of the largest body that is written completely before
// the response is read. Larger bodies are written concurrently, because the
// upstream may respond before it has read them.
const maxInlineBody = 8 << 10

// Request is a request to be sent to upstreams.
type Request struct {
	ID     string
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the begin of the body, and Rest what follows it.
	Body []byte
	Rest [][]byte
}

// bodyLength returns the size of the body in bytes.
func (rq Request) bodyLength() int {
	sum := len(rq.Body)
	for _, part := range rq.Rest {
		sum += len(part)
	}
	return sum
}

// body returns the body for one write.
func (rq Request) body() net.Buffers { return append(net.Buffers{rq.Body}, rq.Rest...) }

// Pool holds connections to upstreams. It is safe for concurrent use.
type Pool struct {
	terms  terms.HeaderNames
	memory *memory
	link   *shed.Link

	idle *idleTotal

	mu             sync.Mutex
	idleByUpstream map[proxy.Upstream]*idleConns
}

// Option configures a Pool.
type Option func(*Pool)

// WithMemory sets how many bytes of response bodies are held at the same time, apart
// from those of up to 64 KiB each. If they do not suffice, the largest body that is
// being read is given up. The default is 32 MiB.
func WithMemory(bytes int) Option { return func(po *Pool) { po.memory = newMemory(bytes) } }

// WithLink sets the link on which the bytes of the connections are counted. Bodies are
// then written no faster than the link carries them. The default is none.
func WithLink(li *shed.Link) Option { return func(po *Pool) { po.link = li } }

// WithMaxIdle sets the number of idle connections to all upstreams together. The default
// is no bound.
func WithMaxIdle(conns int) Option { return func(po *Pool) { po.idle.limit = int64(conns) } }

// New returns a pool that uses the header fields of the deployment.
func New(hn terms.HeaderNames, opts ...Option) *Pool {
	po := &Pool{terms: hn, memory: newMemory(defaultMemory), idle: &idleTotal{}, idleByUpstream: map[proxy.Upstream]*idleConns{}}
	for _, opt := range opts {
		opt(po)
	}
	return po
}

// expiryCheckInterval is the interval at which expired connections are closed.
const expiryCheckInterval = time.Second

// Run closes expired connections until ctx ends, and then all idle ones.
func (po *Pool) Run(ctx context.Context) {
	tk := time.NewTicker(expiryCheckInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			po.closeExpired(time.Now().Add(time.Hour))
			return
		case now := <-tk.C:
			po.closeExpired(now)
		}
	}
}

func (po *Pool) closeExpired(now time.Time) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for up, ic := range po.idleByUpstream {
		if ic.closeExpired(now) == 0 {
			delete(po.idleByUpstream, up)
		}
	}
}

func (po *Pool) idleConns(up proxy.Upstream) *idleConns {
	po.mu.Lock()
	defer po.mu.Unlock()
	ic := po.idleByUpstream[up]
	if ic == nil {
		ic = &idleConns{total: po.idle}
		po.idleByUpstream[up] = ic
	}
	return ic
}

// Send sends the request and reads the header of the response. Each error wraps
// one of the errors of the port, which say what is known about the request.
func (po *Pool) Send(ctx context.Context, rq Request, at proxy.Attempt) (proxy.Response, error) {
	ic := po.idleConns(at.Upstream)
	co := ic.take(rq.ID, time.Now())
	if co == nil {
		var err error
		if co, err = dial(ctx, at.Upstream.Address, po.link); err != nil {
			return nil, fmt.Errorf("%w: %w", proxy.ErrNotSent, err)
		}
	}
	if err := ctx.Err(); err != nil {
		ic.put(co)
		return nil, fmt.Errorf("%w: %w", proxy.ErrNotSent, err)
	}
	// Closing the connection also ends writes and reads in progress.
	stop := context.AfterFunc(ctx, co.reset)
	rsp := &response{pool: po, idleConns: ic, conn: co, stop: stop, buffer: newBuffer(po.memory, func() { _ = co.Close() })}
	if err := po.roundTrip(ctx, rsp, rq, at); err != nil {
		rsp.abort()
		return nil, err
	}
	if rsp.notRun {
		rsp.Close()
		return nil, proxy.NotRunError{Status: rsp.httpResp.StatusCode, Notice: rsp.Notice()}
	}
	return rsp, nil
}

// roundTrip writes the request and reads the header of its response.
func (po *Pool) roundTrip(ctx context.Context, rsp *response, rq Request, at proxy.Attempt) error {
	// The header tells the time that is left, so it is written after the wait.
	if err := rsp.conn.awaitTurn(ctx, min(rq.bodyLength(), maxPiece)); err != nil {
		return fmt.Errorf("%w: %w", proxy.ErrNotSent, err)
	}
	header := po.header(rq, at)
	if po.link != nil {
		po.link.Sent(header.Len(), shed.Bodies, time.Now())
	}
	rsp.conn.recordSent(rq.ID)
	if rq.bodyLength() <= maxInlineBody {
		for _, part := range rq.body() {
			header.Write(part)
		}
		n, err := rsp.conn.Write(header.Bytes())
		if err != nil && n == 0 {
			return fmt.Errorf("%w: %w", proxy.ErrNotSent, err)
		}
		if err != nil {
			return fmt.Errorf("%w: write: %w", proxy.ErrIncomplete, err)
		}
		return rsp.readHeader(rq)
	}
	n, err := rsp.conn.Write(header.Bytes())
	if err != nil && n == 0 {
		return fmt.Errorf("%w: %w", proxy.ErrNotSent, err)
	}
	if err != nil {
		return fmt.Errorf("%w: write: %w", proxy.ErrIncomplete, err)
	}
	rsp.bodyWritten = make(chan error, 1)
	go func(co *conn, done chan<- error) { done <- co.writeBody(ctx, rq.body()) }(rsp.conn, rsp.bodyWritten)
	return rsp.readHeader(rq)
}

// header returns the encoded request line and header.
func (po *Pool) header(rq Request, at proxy.Attempt) *bytes.Buffer {
	hd := rq.Header.Clone()
	hd.Del("Authorization")
	for _, name := range po.terms.RouterOnly {
		hd.Del(name)
	}
	set := func(name, val string) {
		if name != "" {
			hd.Set(name, val)
		}
	}
	hd.Del(po.terms.Account)
	if at.Account != "" {
		set(po.terms.Account, string(at.Account))
	}
	set(po.terms.RequestID, rq.ID)
	set(po.terms.Instance, string(at.Upstream.ID))
	timeLeft := max(1, time.Until(at.Deadline).Milliseconds())
	set(po.terms.TimeLeft, strconv.FormatInt(timeLeft, 10))
	hd.Del(po.terms.Urgency)
	if hd.Get(po.terms.Model) != "" {
		set(po.terms.Urgency, strconv.Itoa(at.Urgency))
	}
	hd.Del(po.terms.LastEventID)
	if at.LastEvent >= 0 {
		set(po.terms.LastEventID, strconv.FormatInt(at.LastEvent, 10))
	}
	length := rq.bodyLength()
	if length > 0 || rq.Method == http.MethodPost || rq.Method == http.MethodPut || rq.Method == http.MethodPatch {
		hd.Set("Content-Length", strconv.Itoa(length))
	}
	buf := &bytes.Buffer{}
	buf.Grow(1024 + min(length, maxInlineBody))
	buf.WriteString(rq.Method + " " + rq.Target + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	// Writes to a bytes.Buffer never fail.
	_ = hd.Write(buf)
	buf.WriteString("\r\n")
	return buf
}

// Refuses reports whether the address of the upstream refuses connections: its process
// has ended. One that does not respond at all may still run.
func Refuses(ctx context.Context, up proxy.Upstream) bool {
	co, err := dial(ctx, up.Address, nil)
	if err == nil {
		_ = co.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
