package entry

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// headerProvider is a response of an upstream whose header can be forwarded.
type headerProvider interface{ Header() http.Header }

// errHeaderWritten means that the caller already has a header, so that another one
// would end up in the body.
var errHeaderWritten = errors.New("the header of the response is already written")

// responseWriter writes one response to a caller.
type responseWriter struct {
	co *conn
	bw *bufio.Writer
	// re is the header of the request.
	re        head
	requestID string
	// closing says that the connection is closed after this response.
	closing       bool
	headerWritten bool
	// events counts the events that were written, and writeErr is the first error of a
	// write.
	events   int64
	writeErr error
}

// writeHeader writes the status line and the header, unless that was done before.
func (rw *responseWriter) writeHeader(status int, hd http.Header) error {
	if rw.headerWritten {
		return errHeaderWritten
	}
	rw.headerWritten = true
	if rw.closing = rw.closing || rw.co.sv.closing(); rw.closing {
		hd.Set("Connection", "close")
	}
	_, _ = rw.bw.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	// A bufio.Writer returns its first error from Flush.
	_ = hd.Write(rw.bw)
	_, _ = rw.bw.WriteString("\r\n")
	return nil
}

// flush sends what was written and keeps the first error.
func (rw *responseWriter) flush() error {
	err := rw.bw.Flush()
	if rw.writeErr == nil {
		rw.writeErr = err
	}
	return err
}

// WriteResponse writes a response with the upstream's status, header and body.
func (rw *responseWriter) WriteResponse(rsp proxy.Response, body []byte) error {
	return rw.write(rsp.Status(), rsp.(headerProvider).Header(), body)
}

func (rw *responseWriter) write(status int, hd http.Header, body []byte) error {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		hd.Set("Content-Length", strconv.Itoa(len(body)))
	}
	rw.co.extendWriteDeadline()
	if err := rw.writeHeader(status, hd); err != nil {
		return err
	}
	if rw.re.Method != http.MethodHead {
		_, _ = rw.bw.Write(body)
	}
	return rw.flush()
}

// StartStream starts a stream. Its header is sent together with the first event.
func (rw *responseWriter) StartStream(rsp proxy.Response) (proxy.StreamWriter, error) {
	hd := rsp.(headerProvider).Header()
	chunked := rw.re.ProtoAtLeast(1, 1)
	if chunked {
		hd.Set("Transfer-Encoding", "chunked")
	} else {
		rw.closing = true
	}
	if err := rw.writeHeader(rsp.Status(), hd); err != nil {
		return nil, err
	}
	if rw.re.Method == http.MethodHead {
		return headWriter{rw}, nil
	}
	sw := &streamWriter{rw: rw, chunked: chunked}
	if !chunked {
		sw.resetOnClose(true)
	}
	return sw, nil
}

// streamWriter writes the events of one stream to a caller, in chunks or up to the
// end of the connection.
type streamWriter struct {
	rw      *responseWriter
	chunked bool
}

// WriteEvent writes one event.
func (sw *streamWriter) WriteEvent(ev proxy.Event) error {
	sw.rw.co.extendWriteDeadline()
	sw.rw.events++
	if !sw.chunked {
		_, _ = sw.rw.bw.Write(ev.Data)
		return sw.rw.flush()
	}
	var size [16]byte
	_, _ = sw.rw.bw.Write(append(strconv.AppendInt(size[:0], int64(len(ev.Data)), 16), "\r\n"...))
	_, _ = sw.rw.bw.Write(ev.Data)
	_, _ = sw.rw.bw.WriteString("\r\n")
	return sw.rw.flush()
}

// End completes the stream.
func (sw *streamWriter) End() error {
	sw.rw.co.extendWriteDeadline()
	if sw.chunked {
		_, _ = sw.rw.bw.WriteString("0\r\n\r\n")
		return sw.rw.flush()
	}
	if err := sw.rw.flush(); err != nil {
		return err
	}
	sw.resetOnClose(false)
	return nil
}

// resetOnClose sets whether closing the connection resets it. Without chunks, an
// ordinary close means that the stream is complete.
func (sw *streamWriter) resetOnClose(reset bool) {
	linger := -1
	if reset {
		linger = 0
	}
	if tc, ok := sw.rw.co.nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(linger)
	}
}

// headWriter completes the response to a HEAD request, which has no body.
type headWriter struct{ rw *responseWriter }

// WriteEvent writes nothing.
func (headWriter) WriteEvent(proxy.Event) error { return nil }

// End sends the header.
func (hw headWriter) End() error { return hw.rw.flush() }

// problem is the body of a refusal in the format of RFC 9457 (problem details).
type problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome refuse.Outcome `json:"outcome"`
	Reason  refuse.Reason  `json:"reason"`
}

// refuse writes a refusal as the response.
func (rw *responseWriter) refuse(re *refuse.Refusal, status int, retryAfter time.Duration) error {
	body, err := json.Marshal(problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: re.Detail, Outcome: re.Outcome, Reason: re.Reason,
	})
	if err != nil {
		return err
	}
	hd := http.Header{"Content-Type": {"application/problem+json"}}
	if rw.requestID != "" {
		hd.Set(rw.co.sv.terms.RequestID, rw.requestID)
	}
	if status == http.StatusUnauthorized {
		hd.Set("WWW-Authenticate", "Bearer")
	}
	if retryAfter > 0 {
		hd.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return rw.write(status, hd, body)
}

// statusByReason maps refusal reasons to status codes. The codes 429 and 503
// guarantee that the request did not and will not run.
var statusByReason = map[refuse.Reason]int{
	refuse.BadRequest: http.StatusBadRequest, refuse.TooLarge: http.StatusRequestEntityTooLarge,
	refuse.Unauthorized: http.StatusUnauthorized, refuse.Forbidden: http.StatusForbidden,
	refuse.UnknownModel: http.StatusNotFound, refuse.UnknownService: http.StatusNotFound,
	refuse.OverBudget: http.StatusPaymentRequired, refuse.RateLimited: http.StatusTooManyRequests,
	refuse.TimedOut: http.StatusGatewayTimeout,
}

// statusOf returns the status code for a refusal. Reasons that are not mapped get
// 503 or 502, depending on the outcome.
func statusOf(re *refuse.Refusal) int {
	if st, ok := statusByReason[re.Reason]; ok {
		return st
	}
	if re.Outcome == refuse.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
