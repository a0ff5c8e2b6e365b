package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/adapt/flow"
	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/adapt/sock"
	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/quota"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

var evAborted = meter.Event{Number: 1304, Level: slog.LevelInfo, Text: "connection closed without a complete response"}

const (
	bufSize = 4 << 10
	// writeTimeout bounds one write to a caller. A write blocks while the caller
	// does not read.
	writeTimeout = 5 * time.Second
	// bodyTimeout bounds the time to receive a body.
	bodyTimeout = 10 * time.Second
	// maxWaitDivisor bounds Retry-After to the time until the caller's deadline
	// divided by it. Callers ignore longer times.
	maxWaitDivisor = 3
)

// past is a read deadline that ends a blocked read at once.
var past = time.Unix(1, 0)

// conn is a connection of a caller. One goroutine serves it.
type conn struct {
	sv *Server
	nc net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// remote is the remote address without the port.
	remote string
	// lease is the claim of the connection. It is replaced if a request has arrived on a
	// connection that gave way.
	lease *quota.Lease
	// requests counts the requests that were awaited.
	requests int
	// mu guards state and the read deadline of an idle connection.
	mu    sync.Mutex
	state connState
}

// connState is the state of a connection. An ending connection was idle when the server
// drained or closed its kept connections. It is closed unless a request has arrived on it.
type connState int

const (
	connIdle connState = iota
	connBusy
	connEnding
)

func newConn(sv *Server, nc net.Conn) *conn {
	return &conn{
		sv: sv, nc: nc,
		br:     bufio.NewReaderSize(flow.NewReader(nc, sv.link, shed.Bodies), bufSize),
		bw:     bufio.NewWriterSize(flow.NewWriter(nc, sv.link, shed.Others), bufSize),
		remote: bound.RemoteHost(nc.RemoteAddr().String()),
	}
}

func (co *conn) extendWriteDeadline() { _ = co.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) }

// serve handles requests until the connection ends.
func (co *conn) serve() {
	defer func() { _ = co.nc.Close() }()
	for co.serveNext() {
		// The response may have been written before kept connections were closed.
		if co.sv.closeKept.Load() {
			co.endIdle()
		}
	}
}

// serveNext reads and handles one request, and reports whether another one may
// follow on the connection.
func (co *conn) serveNext() bool {
	if !co.awaitRequest() {
		return false
	}
	defer co.setState(connIdle)
	limits := co.sv.effectiveLimits()
	// The lease is renewed after the deadline is set: giving way sets another deadline.
	_ = co.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if !co.renewLease() {
		return false
	}
	hd, err := readHead(co.br, limits.MaxHeaderBytes)
	if err != nil {
		if co.lease.Evicted() {
			co.sv.budgets.RecordShed(bound.Conns)
		}
		co.reject(head{Request: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}}, err)
		return false
	}
	arrived := time.Now()
	info, err := requestInfoOf(hd, co.sv.terms, arrived)
	if err == nil && hd.length > limits.MaxBodyBytes {
		err = bodyTooLarge(limits.MaxBodyBytes)
	}
	if err != nil {
		co.reject(hd, err)
		return false
	}
	if re := co.sv.admit(Arrival{Info: info, BodyLength: hd.length, At: arrived}); re != nil {
		co.refuseEarly(hd, info, re)
		return false
	}
	bo, err := co.body(hd, info, limits)
	if bo != nil {
		defer bo.close()
	}
	if err == nil && !bo.complete() {
		err = errGaveWay
	}
	switch {
	case err != nil && co.lease.Evicted():
		co.refuseEarly(hd, info, co.sv.budgets.Refuse(bound.Conns))
		return false
	case errors.Is(err, errGaveWay) || err != nil && bo.lease.Evicted():
		co.refuseEarly(hd, info, co.sv.budgets.Refuse(bound.Bodies))
		return false
	case err != nil:
		co.reject(hd, err)
		return false
	}
	_ = co.nc.SetReadDeadline(time.Time{})
	return co.handle(hd, info, bo)
}

// renewLease opens another lease if the connection gave way while a request arrived on
// it. It reports false if there is no room for the request.
func (co *conn) renewLease() bool {
	if !co.lease.Evicted() {
		now := time.Now()
		return co.sv.budgets.Conns.Set(co.lease, co.lease.Claim().WithRank(bound.RankHeader, now), now)
	}
	le := co.openLease()
	if le == nil {
		return false
	}
	co.lease = le
	return true
}

// awaitRequest waits until a request begins to arrive and marks the connection as busy.
// It reports false if none arrives before the idle timeout or the end of an idle
// connection. A request that has arrived by then is read: the caller has sent it before
// it could know of the end.
func (co *conn) awaitRequest() bool {
	since := time.Now()
	co.setIdleDeadline(since)
	if co.requests > 0 {
		co.sv.budgets.Conns.Set(co.lease, co.lease.Claim().WithFixed(false).WithRank(bound.RankIdle, since), since)
	}
	co.requests++
	_, err := co.br.Peek(1)
	for isTimeout(err) {
		// The timeout of a newer configuration may be longer.
		if sock.StateOf(co.nc) == sock.Readable {
			_ = co.nc.SetReadDeadline(time.Time{})
		} else if !co.setIdleDeadline(since) {
			break
		}
		_, err = co.br.Peek(1)
	}
	co.setState(connBusy)
	return err == nil
}

// setIdleDeadline sets the read deadline of a connection that is idle since the time.
// It reports whether the connection may stay idle.
func (co *conn) setIdleDeadline(since time.Time) bool {
	deadline := since.Add(co.sv.effectiveLimits().IdleTimeout)
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.state != connIdle || !time.Now().Before(deadline) {
		return false
	}
	_ = co.nc.SetReadDeadline(deadline)
	return true
}

// endIdle ends the connection if it is idle, and reports whether it was.
func (co *conn) endIdle() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.state != connIdle {
		return false
	}
	co.state = connEnding
	_ = co.nc.SetReadDeadline(past)
	return true
}

func (co *conn) setState(st connState) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.state = st
}

func (co *conn) busy() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.state == connBusy
}

// body reads the body, after the interim response 100 Continue if the caller
// expects it. The result must be closed unless it is nil.
func (co *conn) body(hd head, info proxy.RequestInfo, limits intent.Limits) (*body, error) {
	owner, ok := co.sv.ownerOf(info.Key)
	if !ok {
		owner = co.remote
	}
	_ = co.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	bo := newBody(co, hd, limits, owner)
	if bo == nil || !co.sv.budgets.Bodies.Admits(bo.lease.Claim(), time.Now()) {
		return bo, errGaveWay
	}
	if hd.length == 0 {
		return bo, nil
	}
	if now := time.Now(); !co.sv.budgets.Conns.Set(co.lease, co.lease.Claim().WithRank(bound.RankBody, now), now) {
		return bo, errGaveWay
	}
	if strings.EqualFold(hd.Header.Get("Expect"), "100-continue") {
		co.extendWriteDeadline()
		if _, err := io.WriteString(co.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return bo, err
		}
	}
	return bo, bo.read(hd)
}

// reject responds to a request that could not be read and was not forwarded. It
// writes a response only for an invalid request or a timeout; after any other error
// the caller can no longer read one.
func (co *conn) reject(hd head, err error) {
	rw := &responseWriter{co: co, bw: co.bw, re: hd, closing: true}
	var er requestError
	switch {
	case errors.As(err, &er):
		reason := refuse.BadRequest
		if er.status != http.StatusBadRequest {
			reason = refuse.TooLarge
		}
		_ = rw.refuse(refuse.New(reason, "%s", er.text), er.status, 0)
		co.linger()
	case isTimeout(err):
		_ = rw.refuse(refuse.New(refuse.DeadlinePassed, "timeout while reading the request"), http.StatusRequestTimeout, 0)
	}
}

// refuseEarly responds to a request that was refused before its body was read
// completely. The connection is closed, because the rest of the body may still follow.
func (co *conn) refuseEarly(hd head, info proxy.RequestInfo, re *refuse.Refusal) {
	rw := &responseWriter{co: co, bw: co.bw, re: hd, requestID: string(info.ID), closing: true}
	co.sv.meter.Count("refusals", "reason", string(re.Reason), 1)
	_ = rw.refuse(re, statusOf(re), co.retryAfter(re, info.Deadline))
	co.linger()
}

// lingerTimeout is how long unread bytes are drained before a connection is
// closed. Closing it with unread bytes resets the connection, and the caller may
// lose the response.
const lingerTimeout = 300 * time.Millisecond

// lingerBytes bounds the bytes that are drained, and linkLingerBytes on a link of a known
// rate, where they delay those of other requests.
const (
	lingerBytes     = 1 << 20
	linkLingerBytes = 32 << 10
)

// linger closes the write side and drains unread bytes, unless the connection has to
// give way.
func (co *conn) linger() {
	if tc, ok := co.nc.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	now := time.Now()
	_ = co.nc.SetReadDeadline(now.Add(lingerTimeout))
	if co.lease != nil && !co.sv.budgets.Conns.Set(co.lease, co.lease.Claim().WithFixed(false).WithRank(bound.RankIdle, now), now) {
		return
	}
	limit := int64(lingerBytes)
	if co.sv.link != nil {
		limit = linkLingerBytes
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(co.br, limit))
}

// handle passes the request to the handler and reports whether the connection
// stays open.
func (co *conn) handle(hd head, info proxy.RequestInfo, bo *body) bool {
	rw := &responseWriter{
		co: co, bw: co.bw, re: hd, requestID: string(info.ID),
		closing: hd.Close || !hd.ProtoAtLeast(1, 1) || co.sv.closing(),
	}
	ctx, cancel := context.WithCancel(co.sv.ctx)
	defer cancel()
	watchDone := make(chan struct{})
	var readErr error
	go func() {
		defer close(watchDone)
		// Peek returns when the next request arrives early, when the caller has
		// closed the connection, or when the response is complete and the read
		// deadline below is set.
		if _, err := co.br.Peek(1); err != nil && !isTimeout(err) {
			readErr = err
			cancel()
		}
	}()
	rq := request{pool: co.sv.pool, rq: pool.Request{
		ID: rw.requestID, Method: hd.Method, Target: hd.RequestURI, Host: hd.Host, Header: terms.WithoutHopByHop(hd.Header),
		Body: bo.first(), Rest: bo.rest(),
	}}
	started, re := co.sv.handler.Serve(ctx, info, rq, rw)
	_ = co.nc.SetReadDeadline(past)
	<-watchDone
	if re == nil {
		return !rw.closing
	}
	if started || readErr != nil || rw.headerWritten {
		co.logAborted(ctx, rw, re, readErr, rw.writeErr)
		return false
	}
	if err := rw.refuse(re, statusOf(re), co.retryAfter(re, info.Deadline)); err != nil {
		co.logAborted(ctx, rw, re, readErr, err)
		return false
	}
	return !rw.closing
}

// logAborted records that the connection of a complete request is closed without a
// complete response. ctx is the context of the request, readErr the error of the
// connection while it was handled, and writeErr that of the response.
func (co *conn) logAborted(ctx context.Context, rw *responseWriter, re *refuse.Refusal, readErr, writeErr error) {
	cause := "responseBroken"
	switch {
	case errors.Is(context.Cause(ctx), proxy.ErrStopping) || errors.Is(readErr, net.ErrClosed):
		cause = "routerStopped"
	case readErr != nil:
		cause = "callerLeft"
	case writeErr != nil:
		cause = "writeFailed"
	}
	co.sv.meter.Count("abortedResponses", "cause", cause, 1)
	co.sv.meter.Log(evAborted, slog.String("request", rw.requestID), slog.String("cause", cause), slog.Bool("header", rw.headerWritten),
		slog.Int64("events", rw.events), slog.String("reason", string(re.Reason)), slog.String("detail", re.Detail),
		slog.String("readError", errorText(readErr)), slog.String("writeError", errorText(writeErr)))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// retryAfter returns the wait before a retry that is suggested to the caller, or
// 0. It is suggested only for requests that did not run.
func (co *conn) retryAfter(re *refuse.Refusal, deadline time.Time) time.Duration {
	if re.RetryAt.IsZero() || re.Outcome != refuse.NotRun {
		return 0
	}
	now := time.Now()
	retryAfter := re.RetryAt.Sub(now)
	if !deadline.IsZero() {
		retryAfter = min(retryAfter, deadline.Sub(now)/maxWaitDivisor)
	}
	return max(retryAfter, 0)
}
