package entry

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/hop"
)

// headed is an answer whose header can be passed on.
type headed interface{ Header() http.Header }

// reply writes one answer on a connection.
type reply struct {
	co *conn
	bw *bufio.Writer
	re head
	id string
	// closing is set when the connection ends after this answer.
	closing bool
	began   bool
}

func (rp *reply) header(status int, hd http.Header) {
	if rp.closing = rp.closing || rp.co.sv.leaving.Load(); rp.closing {
		hd.Set("Connection", "close")
	}
	_, _ = rp.bw.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	// A bufio.Writer keeps its first error for Flush.
	_ = hd.Write(rp.bw)
	_, _ = rp.bw.WriteString("\r\n")
}

// Whole answers with the upstream's status, header and body.
func (rp *reply) Whole(an hop.Answer, body []byte) error {
	return rp.write(an.Status(), an.(headed).Header(), body)
}

func (rp *reply) write(status int, hd http.Header, body []byte) error {
	rp.began = true
	if status != http.StatusNoContent && status != http.StatusNotModified {
		hd.Set("Content-Length", strconv.Itoa(len(body)))
	}
	rp.co.expectWrite()
	rp.header(status, hd)
	if rp.re.Method != http.MethodHead {
		_, _ = rp.bw.Write(body)
	}
	return rp.bw.Flush()
}

// Begin starts a stream. It is written together with the first event.
func (rp *reply) Begin(an hop.Answer) error {
	rp.began = true
	hd := an.(headed).Header()
	if rp.re.ProtoAtLeast(1, 1) {
		hd.Set("Transfer-Encoding", "chunked")
	} else {
		rp.closing = true
	}
	rp.header(an.Status(), hd)
	return nil
}

// Event passes one event on.
func (rp *reply) Event(ev hop.Event) error {
	rp.co.expectWrite()
	if !rp.re.ProtoAtLeast(1, 1) {
		_, _ = rp.bw.Write(ev.Data)
		return rp.bw.Flush()
	}
	var size [16]byte
	_, _ = rp.bw.Write(append(strconv.AppendInt(size[:0], int64(len(ev.Data)), 16), "\r\n"...))
	_, _ = rp.bw.Write(ev.Data)
	_, _ = rp.bw.WriteString("\r\n")
	return rp.bw.Flush()
}

// End completes the stream.
func (rp *reply) End() error {
	rp.co.expectWrite()
	if rp.re.ProtoAtLeast(1, 1) {
		_, _ = rp.bw.WriteString("0\r\n\r\n")
	}
	return rp.bw.Flush()
}

// problem is a refusal as problem details (RFC 9457).
type problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome refuse.Outcome `json:"outcome"`
	Reason  refuse.Reason  `json:"reason"`
}

// refuse answers with a refusal.
func (rp *reply) refuse(re *refuse.Refusal, status int, wait time.Duration) error {
	body, err := json.Marshal(problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: re.Detail, Outcome: re.Outcome, Reason: re.Reason,
	})
	if err != nil {
		return err
	}
	hd := http.Header{"Content-Type": {"application/problem+json"}}
	if rp.id != "" {
		hd.Set(rp.co.sv.terms.RequestID, rp.id)
	}
	if status == http.StatusUnauthorized {
		hd.Set("WWW-Authenticate", "Bearer")
	}
	if wait > 0 {
		hd.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	return rp.write(status, hd, body)
}

// statuses are the status codes of reasons. 429 and 503 promise that the
// request has not run and never will.
var statuses = map[refuse.Reason]int{
	refuse.BadRequest: http.StatusBadRequest, refuse.TooLarge: http.StatusRequestEntityTooLarge,
	refuse.Unauthorized: http.StatusUnauthorized, refuse.Forbidden: http.StatusForbidden,
	refuse.UnknownModel: http.StatusNotFound, refuse.UnknownService: http.StatusNotFound,
	refuse.OverBudget: http.StatusPaymentRequired, refuse.RateLimited: http.StatusTooManyRequests,
	refuse.TimedOut: http.StatusGatewayTimeout,
}

func statusOf(re *refuse.Refusal) int {
	if st, ok := statuses[re.Reason]; ok {
		return st
	}
	if re.Outcome == refuse.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
