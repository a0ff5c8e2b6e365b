package openai

import (
	"context"
	"mime"
	"net/http"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// maxResumes limits the resumptions of one response, so that an engine which
// interrupts every connection does not occupy the call until its deadline.
const maxResumes = 3

// responseStream is a response in progress, over one connection or several.
type responseStream struct {
	call         engine.Call
	body         []byte
	resp         *http.Response
	tokenCounter *tokenCounter
	emit         func(engine.Chunk) error
}

// stream reads the response to its end. When the connection is interrupted, it
// resumes the stream after the last complete event.
func (en *Engine) stream(ctx context.Context, cancel func(), rs *responseStream) error {
	defer func() { _ = rs.resp.Body.Close() }()
	var lastID uint64
	for resumed := 0; ; resumed++ {
		er, err := en.forwardConnection(rs, lastID)
		if err == nil {
			er.drain(cancel)
			return nil
		}
		if er == nil || !er.interrupted || er.lastID == 0 || ctx.Err() != nil || resumed == maxResumes {
			return err
		}
		lastID = er.lastID
		resp, _, resumeErr := en.post(ctx, rs.call, rs.body, lastID)
		if resumeErr != nil {
			return err
		}
		_ = rs.resp.Body.Close()
		if rs.resp = resp; resp.StatusCode != http.StatusOK {
			// The engine cannot resume the stream, so the call ends with the
			// error of the interrupted connection.
			return err
		}
	}
}

// forwardConnection emits the events of one connection. If the response is not an
// event stream and thus cannot be resumed, the returned reader is nil.
func (en *Engine) forwardConnection(rs *responseStream, lastID uint64) (*eventReader, error) {
	if mediaType, _, _ := mime.ParseMediaType(rs.resp.Header.Get("Content-Type")); mediaType != eventStream {
		return nil, refuse.New(refuse.UpstreamFailed, "the response has the content type %q, want an event stream", mediaType)
	}
	er := newEventReader(rs.resp.Body, en.maxEventBytes, en.maxResponseBytes)
	err := forwardEvents(er, rs.tokenCounter, func(ch engine.Chunk) error {
		if lastID > 0 && er.lastID != lastID+1 {
			return refuse.New(refuse.Truncated, "the resumed stream continues with event %d after event %d", er.lastID, lastID)
		}
		if lastID > 0 {
			lastID = er.lastID
		}
		return rs.emit(ch)
	})
	return er, err
}
