package openai

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
)

const (
	eventStream = "text/event-stream"
	doneMarker  = "[DONE]"
	// drainTimeout limits how long the rest of the body is read after the last
	// event. The connection can be reused once the body was read to its end.
	drainTimeout = 100 * time.Millisecond
)

// eventReader reads server-sent events. max is the largest size of a line and of
// the data of an event in bytes.
type eventReader struct {
	sc  *bufio.Scanner
	max int
	// lastID is the number of the last complete event, or 0 if the engine does
	// not number its events. pendingID is the number of the event that is being
	// read.
	lastID, pendingID uint64
	// interrupted means that the body ended or failed before the last event.
	interrupted bool
}

// limitedReader fails with client.ErrTooLarge once left bytes were read.
type limitedReader struct {
	rd   io.Reader
	left int64
}

func (lr *limitedReader) Read(buf []byte) (int, error) {
	if lr.left <= 0 {
		return 0, client.ErrTooLarge
	}
	n, err := lr.rd.Read(buf[:min(int64(len(buf)), lr.left)])
	lr.left -= int64(n)
	return n, err
}

func newEventReader(body io.Reader, maxEvent int, maxResponse int64) *eventReader {
	lr := &limitedReader{rd: body, left: maxResponse}
	sc := bufio.NewScanner(lr)
	sc.Buffer(nil, maxEvent)
	return &eventReader{sc: sc, max: maxEvent}
}

// next returns the data of the next event. If the body ends first, also within
// an event, it returns io.ErrUnexpectedEOF.
func (er *eventReader) next() ([]byte, error) {
	var data []byte
	found := false
	for er.sc.Scan() {
		line := er.sc.Bytes()
		if len(line) == 0 && found {
			er.lastID = er.pendingID
			return data, nil
		}
		val, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			er.parseID(line)
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(val, []byte(" "))...)
		found = true
		if len(data) > er.max {
			return nil, bufio.ErrTooLong
		}
	}
	if err := er.sc.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}

// parseID records the number of an event if the line has one. Any other ID counts
// as 0, because only numbers show whether an event is missing after a resumption.
func (er *eventReader) parseID(line []byte) {
	if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		er.pendingID, _ = strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
	}
}

// drain reads to the end of the body and calls cancel after drainTimeout.
func (er *eventReader) drain(cancel func()) {
	ti := time.AfterFunc(drainTimeout, cancel)
	defer ti.Stop()
	for er.sc.Scan() {
		// Data after the last event is ignored.
		continue
	}
}

func isTooLarge(err error) bool {
	return errors.Is(err, bufio.ErrTooLong) || errors.Is(err, client.ErrTooLarge)
}
