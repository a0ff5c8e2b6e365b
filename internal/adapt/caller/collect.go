package caller

import (
	"encoding/json"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// collector assembles a chat completion from the events of a stream.
type collector struct {
	id      string
	model   string
	created int64
	choices []*choice
}

type choice struct {
	content strings.Builder
	refusal strings.Builder
	finish  string
	calls   []toolCall
}

type chunk struct {
	ID      string        `json:"id"`
	Model   string        `json:"model"`
	Created int64         `json:"created"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int    `json:"index"`
	Delta        delta  `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

type delta struct {
	Content   string     `json:"content"`
	Refusal   string     `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls"`
}

type toolCall struct {
	Index    int      `json:"index"`
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function function `json:"function"`
}

type function struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// maxElements bounds the choices of a completion and the tool calls of a choice,
// because lists are allocated up to the index that the engine sends.
const maxElements = 128

func (co *collector) add(data []byte) error {
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return refuse.New(refuse.UpstreamFailed, "the engine sent an event that is not a chat completion chunk: %v", err)
	}
	if co.id == "" {
		co.id, co.model, co.created = ch.ID, ch.Model, ch.Created
	}
	for _, cc := range ch.Choices {
		if cc.Index < 0 || cc.Index >= maxElements {
			return refuse.New(refuse.UpstreamFailed, "the engine sent a choice with the invalid index %d", cc.Index)
		}
		for len(co.choices) <= cc.Index {
			co.choices = append(co.choices, &choice{})
		}
		if err := co.choices[cc.Index].add(cc); err != nil {
			return err
		}
	}
	return nil
}

func (ch *choice) add(cc chunkChoice) error {
	ch.content.WriteString(cc.Delta.Content)
	ch.refusal.WriteString(cc.Delta.Refusal)
	if cc.FinishReason != "" {
		ch.finish = cc.FinishReason
	}
	for _, tc := range cc.Delta.ToolCalls {
		if tc.Index < 0 || tc.Index >= maxElements {
			return refuse.New(refuse.UpstreamFailed, "the engine sent a tool call with the invalid index %d", tc.Index)
		}
		for len(ch.calls) <= tc.Index {
			ch.calls = append(ch.calls, toolCall{Index: len(ch.calls)})
		}
		ch.calls[tc.Index] = ch.calls[tc.Index].withDelta(tc)
	}
	return nil
}

// withDelta returns a copy extended by the delta.
func (tc toolCall) withDelta(de toolCall) toolCall {
	tc.ID += de.ID
	if de.Type != "" {
		tc.Type = de.Type
	}
	tc.Function.Name += de.Function.Name
	tc.Function.Arguments += de.Function.Arguments
	return tc
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	Refusal   string     `json:"refusal,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type completionUsage struct {
	Prompt     ident.Tokens `json:"prompt_tokens"`
	Completion ident.Tokens `json:"completion_tokens"`
	Total      ident.Tokens `json:"total_tokens"`
}

func (co *collector) completion(us engine.Usage) completion {
	out := completion{
		ID: co.id, Object: "chat.completion", Created: co.created, Model: co.model,
		Choices: []completionChoice{},
		Usage:   completionUsage{Prompt: us.Prompt, Completion: us.Completion, Total: us.Total()},
	}
	for ix, ch := range co.choices {
		out.Choices = append(out.Choices, completionChoice{
			Index: ix, FinishReason: ch.finish,
			Message: message{
				Role: "assistant", Content: ch.content.String(), Refusal: ch.refusal.String(), ToolCalls: ch.calls,
			},
		})
	}
	return out
}
