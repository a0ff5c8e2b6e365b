package openai

import (
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

type event struct {
	Choices []struct {
		Delta struct {
			Content   string            `json:"content"`
			Reasoning string            `json:"reasoning_content"`
			Refusal   string            `json:"refusal"`
			Tools     []json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Prompt     ident.Tokens `json:"prompt_tokens"`
		Completion ident.Tokens `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// meter counts the tokens of one answer. The engine's own count, once it
// arrives, replaces the count of events.
type meter struct {
	prompt     ident.Tokens
	completion ident.Tokens
}

func (me *meter) usage() engine.Usage {
	return engine.Usage{Prompt: me.prompt, Completion: me.completion}
}

// add returns the number of tokens that the event adds. It is not negative:
// tokens that were passed on are not taken back.
func (me *meter) add(ev event) ident.Tokens {
	before := me.completion
	for _, ch := range ev.Choices {
		de := ch.Delta
		if de.Content != "" || de.Reasoning != "" || de.Refusal != "" || len(de.Tools) > 0 {
			me.completion++
		}
	}
	if ev.Usage != nil {
		me.prompt, me.completion = ev.Usage.Prompt, ev.Usage.Completion
	}
	return max(0, me.completion-before)
}

// forward passes each event on as soon as it is read. It returns nil only when
// the stream ended with its last event.
func forward(ev *events, me *meter, emit func(engine.Chunk) error) error {
	for {
		data, err := ev.next()
		if err != nil {
			ev.cut = !isTooLarge(err)
			return broken(err)
		}
		if string(data) == done {
			return nil
		}
		var one event
		if err := json.Unmarshal(data, &one); err != nil {
			return refuse.New(refuse.UpstreamFailed, "an event is not valid: %v", err)
		}
		if len(one.Error) > 0 && string(one.Error) != "null" {
			return refuse.New(refuse.UpstreamFailed, "the engine failed: %s", errorText(data))
		}
		if err := emit(engine.Chunk{Data: data, Tokens: me.add(one)}); err != nil {
			return err
		}
	}
}

func broken(err error) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return client.Lost(err)
	case isTooLarge(err):
		return refuse.New(refuse.UpstreamFailed, "the answer is too large: %v", err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return refuse.New(refuse.Truncated, "the stream ended without its last event")
	default:
		return refuse.New(refuse.UpstreamFailed, "the stream broke: %v", err)
	}
}

// maxDetail bounds how much of an answer a refusal quotes.
const maxDetail = 200

// errorText returns the message of an OpenAI error, or the start of the data.
func errorText(data []byte) string {
	var ae struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &ae); err == nil && ae.Error.Message != "" {
		return ae.Error.Message[:min(len(ae.Error.Message), maxDetail)]
	}
	return string(data[:min(len(data), maxDetail)])
}
