package model

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// maxBodyBytes bounds the body of a request. The largest prompts, long enrolment
// sheets, are below 1 MB.
const maxBodyBytes = 16 << 20

type request struct {
	Model         string    `json:"model"`
	Messages      []Message `json:"messages"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	Priority            int `json:"priority"`
}

type apiError struct {
	Error struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    *string `json:"code"`
	} `json:"error"`
}

// call is a request that waits, runs or was cut and can be resumed.
type call struct {
	req        request
	prompt     []string
	promptHash uint64
	// length is the number of tokens in the complete response.
	length       int
	finishReason string
	// cached is the number of prompt tokens in the prefix cache.
	cached int
	// produced is the number of tokens generated so far, over all connections of
	// the call.
	produced int
	ru       *Run
}

func (en *Engine) chat(wr http.ResponseWriter, re *http.Request) {
	if last := re.Header.Get("Last-Event-ID"); last != "" {
		en.resume(wr, re, last)
		return
	}
	ca, ok := en.parse(wr, re)
	if !ok {
		return
	}
	ca.ru = en.record.add(Run{
		Request: re.Header.Get("X-Request-Id"), Priority: ca.req.Priority, Prompt: len(ca.prompt), State: Waiting,
	})
	en.serve(re.Context(), wr, ca, 1)
}

// serve waits for a slot and writes the response from the token with the number
// from on.
func (en *Engine) serve(ctx context.Context, wr http.ResponseWriter, ca *call, from int) {
	en.pendingTokens.Add(int64(ca.length - ca.produced))
	defer en.recordLoad()
	defer func() { en.pendingTokens.Add(int64(ca.produced - ca.length)) }()
	en.recordLoad()
	if err := en.sched.acquire(ctx, ca.req.Priority); err != nil {
		en.refuse(wr, ca, err)
		return
	}
	defer en.sched.release()
	en.recordLoad()
	ca.cached = en.cache.lookupAndStore(ca.prompt, en.se.clk.Now(), en.se.eventLoss)
	en.record.start(ca.ru, ca.cached)
	en.run(ctx, wr, ca, from)
}

func (en *Engine) refuse(wr http.ResponseWriter, ca *call, err error) {
	if errors.Is(err, errQueueFull) {
		en.record.change(ca.ru, func(ru *Run) { ru.State = Refused })
		writeError(wr, http.StatusTooManyRequests, "rate_limit_error", "rate_limit_exceeded", err.Error())
		return
	}
	en.record.change(ca.ru, func(ru *Run) { ru.State = Cancelled })
	fault.Abort()
}

func (en *Engine) parse(wr http.ResponseWriter, re *http.Request) (*call, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(wr, re.Body, maxBodyBytes))
	if err != nil {
		writeError(wr, http.StatusBadRequest, "invalid_request_error", "", err.Error())
		return nil, false
	}
	ca := &call{finishReason: "stop"}
	switch err := json.Unmarshal(body, &ca.req); {
	case err != nil:
		writeError(wr, http.StatusBadRequest, "invalid_request_error", "", err.Error())
		return nil, false
	case len(ca.req.Messages) == 0:
		writeError(wr, http.StatusBadRequest, "invalid_request_error", "", "messages is empty")
		return nil, false
	case !en.orders.serves(ca.req.Model):
		writeError(wr, http.StatusNotFound, "invalid_request_error", "model_not_found", "the model is not loaded")
		return nil, false
	case en.setting.Load().Leaving:
		writeError(wr, http.StatusServiceUnavailable, "server_error", "leaving", "the engine is leaving")
		return nil, false
	}
	ca.prompt = promptTokens(ca.req.Messages)
	ca.promptHash = hashPrompt(ca.prompt)
	ca.length = en.se.minTokens + int(ca.promptHash%uint64(en.se.maxTokens-en.se.minTokens+1))
	for _, limit := range []int{ca.req.MaxTokens, ca.req.MaxCompletionTokens} {
		if limit > 0 && limit < ca.length {
			ca.length, ca.finishReason = limit, "length"
		}
	}
	return ca, true
}

// run writes the response. It cancels the call when the client disconnects.
func (en *Engine) run(ctx context.Context, wr http.ResponseWriter, ca *call, from int) {
	out := newWriter(wr, en.se.clk.Now(), ca)
	state := Cancelled
	defer func() { en.record.change(ca.ru, func(ru *Run) { ru.State = state }) }()
	if !sleep(ctx, en.scaled(en.se.prefillTime, len(ca.prompt)-ca.cached)) {
		fault.Abort()
	}
	for num := from; num <= ca.length; num++ {
		if !sleep(ctx, en.scaled(en.se.tokenTime, 1)) || out.token(num) != nil {
			fault.Abort()
		}
		en.countToken(ca, num)
		se := en.setting.Load()
		if se.FailAfter > 0 && num >= se.FailAfter {
			state = Failed
			fault.Abort()
		}
		if se.CutAfter > 0 && num-from+1 >= se.CutAfter {
			state = Cut
			en.resumable.put(ca.ru.Request, ca)
			fault.Abort()
		}
	}
	if out.end() == nil {
		state = Completed
	}
}

// countToken records the token with the given number unless an earlier connection
// of the call has generated it.
func (en *Engine) countToken(ca *call, num int) {
	if num <= ca.produced {
		return
	}
	ca.produced = num
	en.record.change(ca.ru, func(ru *Run) { ru.Produced = num })
	en.pendingTokens.Add(-1)
}

func (en *Engine) scaled(d time.Duration, n int) time.Duration {
	return time.Duration(float64(d) * float64(n) * en.slowFactor())
}

// sleep waits for the duration and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeError(wr http.ResponseWriter, status int, kind, code, text string) {
	var ae apiError
	ae.Error.Type, ae.Error.Message = kind, text
	if code != "" {
		ae.Error.Code = &code
	}
	fault.WriteJSON(wr, status, ae)
}
