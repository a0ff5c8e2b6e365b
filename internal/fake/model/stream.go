package model

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *content `json:"delta,omitempty"`
	Message *content `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
	Details    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// writer writes a response as server-sent events or as one JSON document.
type writer struct {
	ca *call
	// base holds the members that all events of the response share.
	base completion
	wr   http.ResponseWriter
	rc   *http.ResponseController
	text strings.Builder
}

func newWriter(wr http.ResponseWriter, now time.Time, ca *call) *writer {
	id := fmt.Sprintf("chatcmpl-%016x", ca.promptHash)
	out := &writer{ca: ca, wr: wr, rc: http.NewResponseController(wr)}
	out.base = completion{ID: id, Object: "chat.completion", Created: now.Unix(), Model: ca.req.Model}
	if ca.req.Stream {
		out.base.Object = "chat.completion.chunk"
		wr.Header().Set("Content-Type", "text/event-stream")
	}
	return out
}

// token writes the token with the given number.
func (ou *writer) token(num int) error {
	tok := tokenText(ou.ca.promptHash, num)
	if !ou.ca.req.Stream {
		ou.text.WriteString(tok)
		return nil
	}
	de := &content{Content: tok}
	if num == 1 {
		de.Role = "assistant"
	}
	return ou.event(num, choice{Delta: de})
}

// end writes the finish reason and the usage.
func (ou *writer) end() error {
	us := &usage{Prompt: len(ou.ca.prompt), Completion: ou.ca.length, Total: len(ou.ca.prompt) + ou.ca.length}
	us.Details.Cached = ou.ca.cached
	if !ou.ca.req.Stream {
		ou.base.Usage = us
		ou.base.Choices = []choice{{
			Message: &content{Role: "assistant", Content: ou.text.String()}, Finish: &ou.ca.finishReason,
		}}
		fault.WriteJSON(ou.wr, http.StatusOK, ou.base)
		return nil
	}
	if err := ou.event(ou.ca.length+1, choice{Delta: &content{}, Finish: &ou.ca.finishReason}); err != nil {
		return err
	}
	if ou.ca.req.StreamOptions.IncludeUsage {
		ou.base.Usage = us
		if err := ou.event(ou.ca.length + 2); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprint(ou.wr, "data: [DONE]\n\n"); err != nil {
		return err
	}
	return ou.rc.Flush()
}

// event writes an event with its number, with which a client can resume the stream.
func (ou *writer) event(num int, choices ...choice) error {
	ev := ou.base
	ev.Choices = append([]choice{}, choices...)
	data, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(ou.wr, "id: %d\ndata: %s\n\n", num, data); err != nil {
		return err
	}
	return ou.rc.Flush()
}
