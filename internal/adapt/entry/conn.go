package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

const (
	bufSize = 4 << 10
	// writeTime bounds one write to a caller, which is blocked while the caller
	// does not read.
	writeTime = 5 * time.Second
	// bodyTime bounds the arrival of a body.
	bodyTime = 10 * time.Second
	// waitShare is the part of the time left that a refused caller is asked to
	// wait at most; callers ignore longer times.
	waitShare = 3
)

var past = time.Unix(1, 0)

// conn is a caller's connection. One goroutine serves it.
type conn struct {
	sv   *Server
	nc   net.Conn
	br   *bufio.Reader
	bw   *bufio.Writer
	busy atomic.Bool
}

func newConn(sv *Server, nc net.Conn) *conn {
	return &conn{sv: sv, nc: nc, br: bufio.NewReaderSize(nc, bufSize), bw: bufio.NewWriterSize(nc, bufSize)}
}

func (co *conn) expectWrite() { _ = co.nc.SetWriteDeadline(time.Now().Add(writeTime)) }

// serve answers requests until the connection ends.
func (co *conn) serve() {
	defer func() { _ = co.nc.Close() }()
	for co.next() {
	}
}

// next answers one request and reports whether another one may follow.
func (co *conn) next() bool {
	limits := co.sv.bounds()
	_ = co.nc.SetReadDeadline(time.Now().Add(limits.IdleTime))
	if _, err := co.br.Peek(1); err != nil {
		return false
	}
	co.busy.Store(true)
	defer co.busy.Store(false)
	_ = co.nc.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	hd, err := readHead(co.br, limits.MaxHeader)
	if err != nil {
		co.reject(head{Request: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}}, err)
		return false
	}
	arrived := time.Now()
	body, err := co.body(hd, limits)
	if err != nil {
		co.reject(hd, err)
		return false
	}
	_ = co.nc.SetReadDeadline(time.Time{})
	return co.answer(hd, body, arrived)
}

func (co *conn) body(hd head, limits intent.Limits) ([]byte, error) {
	if hd.length == 0 {
		return nil, nil
	}
	_ = co.nc.SetReadDeadline(time.Now().Add(bodyTime))
	if strings.EqualFold(hd.Header.Get("Expect"), "100-continue") && hd.length <= limits.MaxBody {
		co.expectWrite()
		if _, err := io.WriteString(co.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	return readBody(co.br, hd, limits)
}

// reject answers a request that could not be read, if the caller can still
// read an answer. Nothing was forwarded.
func (co *conn) reject(hd head, err error) {
	rp := &reply{co: co, bw: co.bw, re: hd, closing: true}
	var eb errBad
	switch {
	case errors.As(err, &eb):
		reason := refuse.BadRequest
		if eb.status != http.StatusBadRequest {
			reason = refuse.TooLarge
		}
		_ = rp.refuse(refuse.New(reason, "%s", eb.text), eb.status, 0)
		co.linger()
	case isTimeout(err):
		_ = rp.refuse(refuse.New(refuse.DeadlinePassed, "the request did not arrive in time"), http.StatusRequestTimeout, 0)
	}
}

// lingerTime is how long unread bytes are drained before a connection is
// closed, because closing with unread bytes resets it and the caller may lose
// the answer.
const lingerTime = 300 * time.Millisecond

func (co *conn) linger() {
	if tc, ok := co.nc.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_ = co.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(co.br, 1<<20))
}

// answer serves the request and reports whether the connection stays open.
func (co *conn) answer(hd head, body []byte, arrived time.Time) bool {
	rp := &reply{co: co, bw: co.bw, re: hd, closing: hd.Close || !hd.ProtoAtLeast(1, 1) || co.sv.leaving.Load()}
	ask, err := askOf(hd, co.sv.terms, arrived)
	if err != nil {
		co.reject(hd, err)
		return false
	}
	rp.id = string(ask.ID)
	ctx, gone := context.WithCancel(context.Background())
	defer gone()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		// Either the next request arrives early, or the caller has left, or the
		// answer is complete and the deadline below ends the wait.
		if _, err := co.br.Peek(1); err != nil && !isTimeout(err) {
			gone()
		}
	}()
	rq := request{pool: co.sv.pool, rq: pool.Request{
		ID: rp.id, Method: hd.Method, Target: hd.RequestURI, Host: hd.Host, Header: terms.Forwarded(hd.Header), Body: body,
	}}
	begun, re := co.sv.handler.Serve(ctx, ask, rq, rp)
	_ = co.nc.SetReadDeadline(past)
	<-watched
	if re == nil {
		return !rp.closing
	}
	if begun || ctx.Err() != nil || rp.began {
		return false
	}
	if rp.refuse(re, statusOf(re), co.wait(re, ask.Deadline)) != nil {
		return false
	}
	return !rp.closing
}

// wait returns how long the caller is asked to wait before it tries again.
func (co *conn) wait(re *refuse.Refusal, deadline time.Time) time.Duration {
	if re.RetryAt.IsZero() || re.Outcome != refuse.NotRun {
		return 0
	}
	now := time.Now()
	wait := re.RetryAt.Sub(now)
	if !deadline.IsZero() {
		wait = min(wait, deadline.Sub(now)/waitShare)
	}
	return max(wait, 0)
}
