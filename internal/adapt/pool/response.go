package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

const (
	// maxBodyBytes bounds the body of a response that is not a stream, because the
	// whole body is read into memory.
	maxBodyBytes = 16 << 20
	// maxUnsizedBodyBytes bounds a body whose length is not announced, which may
	// have no end.
	maxUnsizedBodyBytes = 4 << 20
	// maxEventBytes bounds one event of a stream, and maxUnnumberedBytes all events
	// of a stream that carry no number, such as comments.
	maxEventBytes      = 1 << 20
	maxUnnumberedBytes = 1 << 20
	// maxDiscardBytes bounds a body that is read only to reuse the connection.
	maxDiscardBytes = 64 << 10
)

// response is a response of an upstream on its connection.
type response struct {
	pool      *Pool
	idleConns *idleConns
	conn      *conn
	stop      func() bool
	httpResp  *http.Response
	// receivedAt is when the header arrived.
	receivedAt time.Time
	// bodyWritten receives the result of writing the request body concurrently. It
	// is nil if the body was written before.
	bodyWritten chan error
	// surplus says that a copy of an earlier response was skipped. The connection
	// is not reused, because further copies may follow.
	surplus bool
	// notRun says that the upstream reported that it did not run the request.
	notRun bool
	// complete says that the response was read to its end.
	complete bool
	closed   bool
	// buffer holds the body, or the bytes of the next event.
	buffer *buffer
	events *eventReader
}

// Header returns the header fields that are forwarded to the caller.
func (rsp *response) Header() http.Header {
	hd := terms.WithoutHopByHop(rsp.httpResp.Header)
	hd.Del(rsp.pool.terms.Load)
	return hd
}

// Status returns the status code.
func (rsp *response) Status() int { return rsp.httpResp.StatusCode }

// IsStream reports whether the response is a successful stream of events.
func (rsp *response) IsStream() bool {
	return rsp.httpResp.StatusCode == http.StatusOK && strings.HasPrefix(rsp.httpResp.Header.Get("Content-Type"), "text/event-stream")
}

// Load returns the load that the response reports, and whether it reports one.
func (rsp *response) Load() (proxy.Load, bool) {
	return parseLoad(rsp.httpResp.Header.Get(rsp.pool.terms.Load))
}

const (
	// maxReportedRequests bounds the numbers of requests and slots in a load report, and
	// maxReportedPace the pace. Greater figures are errors of the upstream.
	maxReportedRequests = 100_000
	maxReportedPace     = 100_000
)

// parseLoad decodes a load report: the numbers of running and waiting requests, the
// number of slots, and the pace, which may be missing. An invalid figure does not affect
// the others.
func parseLoad(text string) (proxy.Load, bool) {
	var ld proxy.Load
	parts := strings.Split(text, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return proxy.Load{}, false
	}
	figures := [...]struct {
		field              *int
		low, high, missing int
	}{
		{&ld.Running, 0, maxReportedRequests, proxy.Unreported}, {&ld.Waiting, 0, maxReportedRequests, proxy.Unreported},
		{&ld.Slots, 1, maxReportedRequests, 0}, {&ld.Pace, 1, maxReportedPace, 0},
	}
	for ix, pa := range parts {
		fi := figures[ix]
		num, err := strconv.Atoi(strings.TrimSpace(pa))
		if err != nil || num < fi.low || num > fi.high {
			num, ld.Invalid = fi.missing, true
		}
		*fi.field = num
	}
	return ld, true
}

// Notice returns what the upstream says of itself. A misdirected request was answered by
// another instance, which says nothing about the upstream.
func (rsp *response) Notice() proxy.Notice {
	name := rsp.pool.terms.Leaving
	leaving := name != "" && rsp.httpResp.Header.Get(name) != "" && rsp.httpResp.StatusCode != http.StatusMisdirectedRequest
	return proxy.Notice{Leaving: leaving, QuietUntil: rsp.quietUntil(), ColdUntil: rsp.coldUntil()}
}

// maxQuietTime bounds the time for which an upstream may ask to be left alone.
const maxQuietTime = time.Hour

// quietUntil returns the time until which the upstream wants no request from this
// router: a response with status 503 may give it in Retry-After, in seconds. A value
// that is no positive number is ignored.
func (rsp *response) quietUntil() time.Time {
	secs, err := strconv.ParseFloat(rsp.httpResp.Header.Get("Retry-After"), 64)
	if rsp.httpResp.StatusCode != http.StatusServiceUnavailable || err != nil || !(secs > 0) {
		return time.Time{}
	}
	return rsp.receivedAt.Add(time.Duration(min(secs, maxQuietTime.Seconds()) * float64(time.Second)))
}

// maxColdTime bounds the time for which an upstream may say that it is cold.
const maxColdTime = 24 * time.Hour

// coldUntil returns the time until which the upstream tolerates only few requests. A value
// that is no number, negative or too large is ignored, and so is that of another instance at the
// address.
func (rsp *response) coldUntil() time.Time {
	ms, err := strconv.ParseFloat(rsp.httpResp.Header.Get(rsp.pool.terms.Cold), 64)
	if rsp.pool.terms.Cold == "" || rsp.httpResp.StatusCode == http.StatusMisdirectedRequest || err != nil || !(ms >= 0 && ms <= float64(maxColdTime.Milliseconds())) {
		return time.Time{}
	}
	return rsp.receivedAt.Add(time.Duration(ms * float64(time.Millisecond)))
}

// readHeader reads the header and checks that the response belongs to the request.
// Interim responses and late copies of earlier responses are skipped.
func (rsp *response) readHeader(rq Request) error {
	rsp.conn.head.begin()
	defer rsp.conn.head.end()
	hn := rsp.pool.terms
	for {
		httpResp, err := rsp.conn.readHead(rq.Method)
		if err != nil {
			return fmt.Errorf("%w: %w", proxy.ErrIncomplete, err)
		}
		if hasJoinedHeads(httpResp) {
			return fmt.Errorf("%w: the header contains the status line of another response", proxy.ErrIncomplete)
		}
		if httpResp.StatusCode < http.StatusOK {
			continue
		}
		if !rsp.isCopy(httpResp, rq) {
			rsp.httpResp, rsp.receivedAt = httpResp, time.Now()
			break
		}
		if _, err := io.Copy(io.Discard, httpResp.Body); err != nil {
			return fmt.Errorf("%w: copy of an earlier response: %w", proxy.ErrIncomplete, err)
		}
		rsp.surplus = true
	}
	got := rsp.httpResp.Header.Get(hn.RequestID)
	refused := rsp.httpResp.Header.Get(hn.NotRun) != "" || rsp.httpResp.StatusCode == http.StatusMisdirectedRequest
	switch {
	case got == rq.ID:
		rsp.notRun = refused
	case got == "" && refused && rsp.conn.isFirst():
		// A response on a new connection cannot belong to an earlier request.
		rsp.notRun = true
	default:
		return fmt.Errorf("%w: the response belongs to request %q", proxy.ErrIncomplete, got)
	}
	if rsp.httpResp.Header.Get("Content-Encoding") != "" {
		return fmt.Errorf("%w: the response has a content encoding, which was not requested", proxy.ErrIncomplete)
	}
	return nil
}

// statusLine matches the beginning of the status line of a response.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}`)

// hasJoinedHeads reports whether the header begins with a part of another header, as
// after a copy of an earlier response that breaks off inside a line. Its status and
// fields then belong to two responses.
func hasJoinedHeads(httpResp *http.Response) bool {
	if statusLine.MatchString(httpResp.Status) {
		return true
	}
	for _, vals := range httpResp.Header {
		if slices.ContainsFunc(vals, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// isCopy reports whether the response is a further copy of the one to an earlier request
// on the connection.
func (rsp *response) isCopy(httpResp *http.Response, rq Request) bool {
	id := httpResp.Header.Get(rsp.pool.terms.RequestID)
	return id != "" && id != rq.ID && rsp.conn.hasSent(id)
}

// Body returns the complete body. It is valid until Close.
func (rsp *response) Body(context.Context) ([]byte, error) {
	limit := maxUnsizedBodyBytes
	if size := rsp.httpResp.ContentLength; size > maxBodyBytes {
		return nil, fmt.Errorf("%w: the body of %d bytes exceeds %d bytes", proxy.ErrIncomplete, size, maxBodyBytes)
	} else if size >= 0 {
		limit = int(size)
	}
	// One more byte tells a body that is too long from one that is complete.
	for len(rsp.buffer.bytes()) <= limit {
		err := rsp.buffer.readFrom(rsp.httpResp.Body, limit+1)
		if errors.Is(err, io.EOF) {
			rsp.buffer.complete()
			rsp.complete = true
			return rsp.buffer.bytes(), nil
		}
		if err != nil {
			return nil, fmt.Errorf("%w: body: %w", proxy.ErrIncomplete, err)
		}
	}
	return nil, fmt.Errorf("%w: the body exceeds %d bytes", proxy.ErrIncomplete, limit)
}

// NextEvent returns the next complete event.
func (rsp *response) NextEvent(context.Context) (proxy.Event, error) {
	if rsp.events == nil {
		rsp.events = &eventReader{src: rsp.httpResp.Body, buffer: rsp.buffer}
	}
	ev, err := rsp.events.next()
	if errors.Is(err, io.EOF) {
		rsp.complete = true
		return proxy.Event{}, io.EOF
	}
	if err != nil {
		return proxy.Event{}, fmt.Errorf("%w: stream: %w", proxy.ErrIncomplete, err)
	}
	return ev, nil
}

// Close ends the exchange. The connection is reused only if the whole request was
// written, the response was read to its end and no further bytes have arrived.
func (rsp *response) Close() {
	if rsp.closed {
		return
	}
	rsp.buffer.release()
	if size := rsp.httpResp.ContentLength; rsp.notRun && !rsp.complete && size >= 0 && size <= maxDiscardBytes {
		_, err := io.Copy(io.Discard, rsp.httpResp.Body)
		rsp.complete = err == nil
	}
	if !rsp.reusable() {
		rsp.abort()
		return
	}
	rsp.closed = true
	if !rsp.stop() {
		_ = rsp.conn.Close()
		return
	}
	rsp.conn.expiresAt = time.Now().Add(idleTimeout(rsp.httpResp.Header))
	rsp.idleConns.put(rsp.conn)
}

// reusable reports whether the connection can be used for another request.
func (rsp *response) reusable() bool {
	if !rsp.complete || rsp.surplus || rsp.httpResp.Close || rsp.conn.br.Buffered() > 0 || len(rsp.conn.sentIDs) >= maxRequests {
		return false
	}
	if rsp.httpResp.ContentLength < 0 && len(rsp.httpResp.TransferEncoding) == 0 {
		return false
	}
	if rsp.bodyWritten == nil {
		return true
	}
	select {
	case err := <-rsp.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// abort closes the connection, so that it is not reused.
func (rsp *response) abort() {
	if !rsp.closed {
		rsp.closed = true
		rsp.buffer.release()
		rsp.stop()
		if rsp.complete && rsp.bodyWritten == nil {
			_ = rsp.conn.Close()
		} else {
			rsp.conn.reset()
		}
	}
}

// eventReader splits a stream into events.
type eventReader struct {
	src    io.Reader
	buffer *buffer
	// unnumbered counts the bytes of the events without a number.
	unnumbered int
}

// next returns the next event, including the blank line at its end. If the stream
// ends within an event, the error is io.ErrUnexpectedEOF.
func (er *eventReader) next() (proxy.Event, error) {
	for {
		if end := eventEnd(er.buffer.bytes()); end > 0 {
			data := er.buffer.consume(end)
			ev := proxy.Event{Number: eventNumber(data), Data: data, Comment: isComment(data)}
			if ev.Number < 0 {
				er.unnumbered += end
			}
			if er.unnumbered > maxUnnumberedBytes {
				return proxy.Event{}, fmt.Errorf("events without a number exceed %d bytes", maxUnnumberedBytes)
			}
			return ev, nil
		}
		if len(er.buffer.bytes()) >= maxEventBytes {
			return proxy.Event{}, fmt.Errorf("an event exceeds %d bytes", maxEventBytes)
		}
		err := er.buffer.readFrom(er.src, maxEventBytes)
		if errors.Is(err, io.EOF) && len(er.buffer.bytes()) > 0 {
			return proxy.Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return proxy.Event{}, err
		}
	}
}

// eventEnd returns the length of the first event in data, or 0 if it is not
// complete.
func eventEnd(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf + 4
	}
	if lf < 0 {
		return 0
	}
	return lf + 2
}

// eventNumber returns the number in the id field of an event, or -1.
func eventNumber(data []byte) int64 {
	for line := range bytes.Lines(data) {
		val, ok := bytes.CutPrefix(line, []byte("id:"))
		if num, err := strconv.ParseInt(string(bytes.TrimSpace(val)), 10, 64); ok && err == nil {
			return num
		}
	}
	return -1
}

// isComment reports whether an event has no fields.
func isComment(data []byte) bool {
	for line := range bytes.Lines(data) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
