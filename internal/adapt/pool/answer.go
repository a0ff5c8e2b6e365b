package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/port/hop"
)

const (
	// maxWhole bounds the body of an answer that is not a stream, because it is
	// kept in memory until it is complete.
	maxWhole = 16 << 20
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

// answer is the answer of an upstream on its connection.
type answer struct {
	pool *Pool
	host *host
	conn *conn
	stop func() bool
	resp *http.Response
	// written receives the result of a body that is written while the answer
	// is read, or is nil.
	written chan error
	notRun  bool
	whole   bool
	closed  bool
	lines   *eventReader
}

// Header returns the fields of the answer that are passed on.
func (an *answer) Header() http.Header {
	hd := terms.Forwarded(an.resp.Header)
	hd.Del(an.pool.terms.Load)
	return hd
}

// Status returns the status code.
func (an *answer) Status() int { return an.resp.StatusCode }

// Events reports whether the answer is a successful stream of events.
func (an *answer) Events() bool {
	return an.resp.StatusCode == http.StatusOK && strings.HasPrefix(an.resp.Header.Get("Content-Type"), "text/event-stream")
}

// Load returns the load that the answer tells.
func (an *answer) Load() (hop.Load, bool) {
	parts := strings.Split(an.resp.Header.Get(an.pool.terms.Load), ",")
	if len(parts) != 3 {
		return hop.Load{}, false
	}
	var nums [3]int
	for ix, pa := range parts {
		num, err := strconv.Atoi(strings.TrimSpace(pa))
		if err != nil {
			return hop.Load{}, false
		}
		nums[ix] = num
	}
	return hop.Load{Running: nums[0], Waiting: nums[1], Slots: nums[2]}, true
}

// readHeader reads the header and checks that it belongs to the request.
func (an *answer) readHeader(rq Request) error {
	for {
		resp, err := http.ReadResponse(an.conn.br, &http.Request{Method: rq.Method})
		if err != nil {
			return fmt.Errorf("%w: %w", hop.ErrBroken, err)
		}
		if resp.StatusCode >= http.StatusOK {
			an.resp = resp
			break
		}
	}
	te := an.pool.terms
	got := an.resp.Header.Get(te.RequestID)
	refused := an.resp.Header.Get(te.NotRun) != "" || an.resp.StatusCode == http.StatusMisdirectedRequest
	switch {
	case got == rq.ID:
		an.notRun = refused
	case got == "" && refused && an.conn.fresh:
		// No earlier request can have caused an answer on a new connection.
		an.notRun = true
	default:
		return fmt.Errorf("%w: the answer belongs to request %q", hop.ErrBroken, got)
	}
	if an.resp.Header.Get("Content-Encoding") != "" {
		return fmt.Errorf("%w: the answer has an encoding that was not asked for", hop.ErrBroken)
	}
	return nil
}

// Body returns the whole body.
func (an *answer) Body(context.Context) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(an.resp.Body, maxWhole+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: body: %w", hop.ErrBroken, err)
	case len(body) > maxWhole:
		return nil, fmt.Errorf("%w: the body exceeds %d bytes", hop.ErrBroken, maxWhole)
	}
	an.whole = true
	return body, nil
}

// Next returns the next whole event.
func (an *answer) Next(context.Context) (hop.Event, error) {
	if an.lines == nil {
		an.lines = newEventReader(an.resp.Body)
	}
	ev, err := an.lines.next()
	if errors.Is(err, io.EOF) {
		an.whole = true
		return hop.Event{}, io.EOF
	}
	if err != nil {
		return hop.Event{}, fmt.Errorf("%w: stream: %w", hop.ErrBroken, err)
	}
	return ev, nil
}

// Close ends the exchange. The connection is kept only if the whole request
// was written and nothing but the whole answer was read.
func (an *answer) Close() {
	if an.closed {
		return
	}
	if an.notRun && !an.whole {
		_, err := io.Copy(io.Discard, io.LimitReader(an.resp.Body, maxEvent))
		an.whole = err == nil
	}
	if !an.reusable() {
		an.drop()
		return
	}
	an.closed = true
	if !an.stop() {
		_ = an.conn.Close()
		return
	}
	an.conn.fresh = false
	an.conn.until = time.Now().Add(idleTime(an.resp.Header))
	an.host.put(an.conn)
}

func (an *answer) reusable() bool {
	if !an.whole || an.resp.Close || an.conn.br.Buffered() > 0 {
		return false
	}
	if an.resp.ContentLength < 0 && len(an.resp.TransferEncoding) == 0 {
		return false
	}
	if an.written == nil {
		return true
	}
	select {
	case err := <-an.written:
		return err == nil
	default:
		return false
	}
}

func (an *answer) drop() {
	if !an.closed {
		an.closed = true
		an.stop()
		_ = an.conn.Close()
	}
}

// eventReader splits a stream into events.
type eventReader struct {
	src  io.Reader
	buf  []byte
	from int
	to   int
}

const eventBuf = 4 << 10

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, eventBuf)}
}

// next returns the next event with the blank line at its end. A stream that
// ends within an event is broken.
func (er *eventReader) next() (hop.Event, error) {
	for {
		if end := eventEnd(er.buf[er.from:er.to]); end > 0 {
			data := er.buf[er.from : er.from+end]
			er.from += end
			return hop.Event{Number: eventNumber(data), Data: data}, nil
		}
		if er.from > 0 {
			er.to = copy(er.buf, er.buf[er.from:er.to])
			er.from = 0
		}
		if er.to == len(er.buf) {
			if len(er.buf) >= maxEvent {
				return hop.Event{}, fmt.Errorf("an event exceeds %d bytes", maxEvent)
			}
			er.buf = append(er.buf, make([]byte, len(er.buf))...)
		}
		n, err := er.src.Read(er.buf[er.to:])
		er.to += n
		if n == 0 && err != nil {
			if errors.Is(err, io.EOF) && er.to > er.from {
				return hop.Event{}, io.ErrUnexpectedEOF
			}
			return hop.Event{}, err
		}
	}
}

// eventEnd returns the length of the first event, or 0 if it is not complete.
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

// eventNumber returns the number in the id field, or -1.
func eventNumber(data []byte) int64 {
	for line := range bytes.Lines(data) {
		val, ok := bytes.CutPrefix(line, []byte("id:"))
		if num, err := strconv.ParseInt(string(bytes.TrimSpace(val)), 10, 64); ok && err == nil {
			return num
		}
	}
	return -1
}
