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

// tokenCounter counts the tokens of one response. Each event with content counts
// as a token until the engine reports its own counts, which replace them.
type tokenCounter struct {
	promptTokens     ident.Tokens
	completionTokens ident.Tokens
}

func (tc *tokenCounter) usage() engine.Usage {
	return engine.Usage{Prompt: tc.promptTokens, Completion: tc.completionTokens}
}

// add counts an event and returns the number of tokens that it adds. The result
// is never negative, because tokens that were emitted cannot be withdrawn.
func (tc *tokenCounter) add(ev event) ident.Tokens {
	before := tc.completionTokens
	for _, ch := range ev.Choices {
		de := ch.Delta
		if de.Content != "" || de.Reasoning != "" || de.Refusal != "" || len(de.Tools) > 0 {
			tc.completionTokens++
		}
	}
	if ev.Usage != nil {
		tc.promptTokens, tc.completionTokens = ev.Usage.Prompt, ev.Usage.Completion
	}
	return max(0, tc.completionTokens-before)
}

// forwardEvents emits each event as soon as it is read. It returns nil only if the
// stream ended with its last event, [DONE].
func forwardEvents(er *eventReader, tc *tokenCounter, emit func(engine.Chunk) error) error {
	for {
		data, err := er.next()
		if err != nil {
			er.interrupted = !isTooLarge(err)
			return streamError(err)
		}
		if string(data) == doneMarker {
			return nil
		}
		var ev event
		if err := json.Unmarshal(data, &ev); err != nil {
			return refuse.New(refuse.UpstreamFailed, "the engine sent an invalid event: %v", err)
		}
		if len(ev.Error) > 0 && string(ev.Error) != "null" {
			return refuse.New(refuse.UpstreamFailed, "the engine reported an error: %s", errorText(data))
		}
		if err := emit(engine.Chunk{Data: data, Tokens: tc.add(ev)}); err != nil {
			return err
		}
	}
}

// streamError returns the refusal for a stream that could not be read to its end.
func streamError(err error) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return client.NoResponse(err)
	case isTooLarge(err):
		return refuse.New(refuse.UpstreamFailed, "the response is too large: %v", err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return refuse.New(refuse.Truncated, "the stream ended without its last event")
	default:
		return refuse.New(refuse.UpstreamFailed, "the stream could not be read: %v", err)
	}
}

// maxDetailBytes limits how much of a response is quoted in a refusal.
const maxDetailBytes = 200

// errorText returns the message of an OpenAI error, or the beginning of the data
// if it is something else.
func errorText(data []byte) string {
	var ae struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &ae); err == nil && ae.Error.Message != "" {
		return ae.Error.Message[:min(len(ae.Error.Message), maxDetailBytes)]
	}
	return string(data[:min(len(data), maxDetailBytes)])
}
