package openai

import (
	"context"
	"mime"
	"net/http"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// maxResumes bounds the resumptions of one answer, so that an engine which cuts
// each connection does not hold the call until its deadline.
const maxResumes = 3

// answer is an answer in progress, over one connection or several.
type answer struct {
	call  engine.Call
	body  []byte
	resp  *http.Response
	meter *meter
	emit  func(engine.Chunk) error
}

// stream reads the answer to its end. When the connection is cut, it resumes the
// stream after the last event that arrived whole.
func (en *Engine) stream(ctx context.Context, cancel func(), an *answer) error {
	defer func() { _ = an.resp.Body.Close() }()
	var last uint64
	for resumed := 0; ; resumed++ {
		ev, err := en.read(an, last)
		if err == nil {
			ev.drain(cancel)
			return nil
		}
		if ev == nil || !ev.cut || ev.id == 0 || ctx.Err() != nil || resumed == maxResumes {
			return err
		}
		last = ev.id
		resp, _, rerr := en.post(ctx, an.call, an.body, last)
		if rerr != nil {
			return err
		}
		_ = an.resp.Body.Close()
		if an.resp = resp; resp.StatusCode != http.StatusOK {
			// The engine cannot resume it; the answer ends as it was cut.
			return err
		}
	}
}

// read passes on the events of one connection. It returns no events if the
// connection cannot be resumed.
func (en *Engine) read(an *answer, last uint64) (*events, error) {
	if kind, _, _ := mime.ParseMediaType(an.resp.Header.Get("Content-Type")); kind != eventStream {
		return nil, refuse.New(refuse.UpstreamFailed, "the answer has content type %q", kind)
	}
	ev := newEvents(an.resp.Body, en.maxLine, en.maxAnswer)
	err := forward(ev, an.meter, func(ch engine.Chunk) error {
		if last > 0 && ev.id != last+1 {
			return refuse.New(refuse.Truncated, "the resumed stream goes on with event %d after %d", ev.id, last)
		}
		if last > 0 {
			last = ev.id
		}
		return an.emit(ch)
	})
	return ev, err
}
