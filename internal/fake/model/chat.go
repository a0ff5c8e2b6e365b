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

// maxBodyBytes bounds a request. Long enrolment sheets stay below 1 MB.
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

// call is one run in progress.
type call struct {
	req    request
	prompt []string
	dig    uint64
	length int
	finish string
	cached int
	// produced is the number of tokens made, over all connections.
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

// serve gives the call a slot and produces its answer from a token on.
func (en *Engine) serve(ctx context.Context, wr http.ResponseWriter, ca *call, from int) {
	en.owed.Add(int64(ca.length - ca.produced))
	defer en.sample()
	defer func() { en.owed.Add(int64(ca.produced - ca.length)) }()
	en.sample()
	if err := en.sched.acquire(ctx, ca.req.Priority); err != nil {
		en.refuse(wr, ca, err)
		return
	}
	defer en.sched.release()
	en.sample()
	ca.cached = en.cache.use(ca.prompt, en.se.clk.Now(), en.se.eventLoss)
	en.record.start(ca.ru, ca.cached)
	en.run(ctx, wr, ca, from)
}

func (en *Engine) refuse(wr http.ResponseWriter, ca *call, err error) {
	if errors.Is(err, errQueueFull) {
		en.record.change(ca.ru, func(ru *Run) { ru.State = Refused })
		fail(wr, http.StatusTooManyRequests, "rate_limit_error", "rate_limit_exceeded", err.Error())
		return
	}
	en.record.change(ca.ru, func(ru *Run) { ru.State = Cancelled })
	fault.Abort()
}

func (en *Engine) parse(wr http.ResponseWriter, re *http.Request) (*call, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(wr, re.Body, maxBodyBytes))
	if err != nil {
		fail(wr, http.StatusBadRequest, "invalid_request_error", "", err.Error())
		return nil, false
	}
	ca := &call{finish: "stop"}
	switch err := json.Unmarshal(body, &ca.req); {
	case err != nil:
		fail(wr, http.StatusBadRequest, "invalid_request_error", "", err.Error())
		return nil, false
	case len(ca.req.Messages) == 0:
		fail(wr, http.StatusBadRequest, "invalid_request_error", "", "messages is empty")
		return nil, false
	case !en.orders.serves(ca.req.Model):
		fail(wr, http.StatusNotFound, "invalid_request_error", "model_not_found", "the model is not loaded")
		return nil, false
	case en.setting.Load().Leaving:
		fail(wr, http.StatusServiceUnavailable, "server_error", "leaving", "the engine is leaving")
		return nil, false
	}
	ca.prompt = words(ca.req.Messages)
	ca.dig = digest(ca.prompt)
	ca.length = en.se.minAnswer + int(ca.dig%uint64(en.se.maxAnswer-en.se.minAnswer+1))
	for _, limit := range []int{ca.req.MaxTokens, ca.req.MaxCompletionTokens} {
		if limit > 0 && limit < ca.length {
			ca.length, ca.finish = limit, "length"
		}
	}
	return ca, true
}

// run produces the answer. It ends the call when the client goes away.
func (en *Engine) run(ctx context.Context, wr http.ResponseWriter, ca *call, from int) {
	out := newWriter(wr, en.se.clk.Now(), ca)
	state := Cancelled
	defer func() { en.record.change(ca.ru, func(ru *Run) { ru.State = state }) }()
	if !pause(ctx, en.scaled(en.se.prefillTime, len(ca.prompt)-ca.cached)) {
		fault.Abort()
	}
	for num := from; num <= ca.length; num++ {
		if !pause(ctx, en.scaled(en.se.tokenTime, 1)) || out.token(num) != nil {
			fault.Abort()
		}
		en.count(ca, num)
		se := en.setting.Load()
		if se.FailAfter > 0 && num >= se.FailAfter {
			state = Failed
			fault.Abort()
		}
		if se.CutAfter > 0 && num-from+1 >= se.CutAfter {
			state = Cut
			en.parked.put(ca.ru.Request, ca)
			fault.Abort()
		}
	}
	if out.end() == nil {
		state = Completed
	}
}

// count records a token that was not made before.
func (en *Engine) count(ca *call, num int) {
	if num <= ca.produced {
		return
	}
	ca.produced = num
	en.record.change(ca.ru, func(ru *Run) { ru.Produced = num })
	en.owed.Add(-1)
}

func (en *Engine) scaled(d time.Duration, n int) time.Duration {
	return time.Duration(float64(d) * float64(n) * en.slow())
}

// pause waits and reports whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
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

func fail(wr http.ResponseWriter, status int, kind, code, text string) {
	var ae apiError
	ae.Error.Type, ae.Error.Message = kind, text
	if code != "" {
		ae.Error.Code = &code
	}
	fault.WriteJSON(wr, status, ae)
}
