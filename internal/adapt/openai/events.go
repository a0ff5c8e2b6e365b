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
	done        = "[DONE]"
	// drainTime bounds the wait for the end of the body after the last event.
	// Reading the end lets the connection be used again.
	drainTime = 100 * time.Millisecond
)

// events reads server-sent events.
type events struct {
	sc  *bufio.Scanner
	max int
	// id is the number of the last whole event, or 0 if the engine gives none.
	// read is the number of the event that is being read.
	id, read uint64
	// cut says that the body ended before the stream did.
	cut bool
}

// bounded fails when more than left bytes are read.
type bounded struct {
	rd   io.Reader
	left int64
}

func (bo *bounded) Read(buf []byte) (int, error) {
	if bo.left <= 0 {
		return 0, client.ErrTooLarge
	}
	n, err := bo.rd.Read(buf[:min(int64(len(buf)), bo.left)])
	bo.left -= int64(n)
	return n, err
}

func newEvents(body io.Reader, maxLine int, maxAnswer int64) *events {
	bo := &bounded{rd: body, left: maxAnswer}
	sc := bufio.NewScanner(bo)
	sc.Buffer(nil, maxLine)
	return &events{sc: sc, max: maxLine}
}

// next returns the data of the next event. An event that the end of the body
// cuts off is io.ErrUnexpectedEOF.
func (ev *events) next() ([]byte, error) {
	var data []byte
	found := false
	for ev.sc.Scan() {
		line := ev.sc.Bytes()
		if len(line) == 0 && found {
			ev.id = ev.read
			return data, nil
		}
		val, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			ev.number(line)
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(val, []byte(" "))...)
		found = true
		if len(data) > ev.max {
			return nil, bufio.ErrTooLong
		}
	}
	if err := ev.sc.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}

// number notes the number of an event. Other identifiers are ignored, because
// only a number shows that nothing is missing after a resumption.
func (ev *events) number(line []byte) {
	if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		ev.read, _ = strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
	}
}

// drain reads to the end of the body, at most for drainTime.
func (ev *events) drain(cancel func()) {
	ti := time.AfterFunc(drainTime, cancel)
	defer ti.Stop()
	for ev.sc.Scan() {
		// What follows the last event has no meaning.
		continue
	}
}

func isTooLarge(err error) bool {
	return errors.Is(err, bufio.ErrTooLong) || errors.Is(err, client.ErrTooLarge)
}
