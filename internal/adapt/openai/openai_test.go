package openai_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/balsamwood/balsamwood/internal/adapt/openai"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/fake/script"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

func call(id, members string) engine.Call {
	return engine.Call{
		Request: ident.Request(id), Priority: 3,
		Body: fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":"question %s"}]%s}`, id, members),
	}
}

// collector collects the text and the tokens of a call.
type collector struct {
	text   string
	tokens ident.Tokens
}

func (co *collector) emit(ch engine.Chunk) error {
	var ev struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(ch.Data, &ev); err != nil {
		return err
	}
	for _, it := range ev.Choices {
		co.text += it.Delta.Content
	}
	co.tokens += ch.Tokens
	return nil
}

// TestConcurrentCalls guards against responses that are mixed up, truncated or
// counted wrongly when many calls share the connections.
func TestConcurrentCalls(t *testing.T) {
	en := model.New(model.WithResponseTokens(1, 40))
	srv := httptest.NewServer(en)
	defer srv.Close()
	up := openai.New(srv.URL)
	const calls = 50
	var wg sync.WaitGroup
	for idx := range calls {
		wg.Go(func() {
			ca, co := call(fmt.Sprint(idx), `,"temperature":0.5`), collector{}
			res, err := up.Run(t.Context(), ca, co.emit)
			n, mismatch := model.Check(ca.Body, co.text)
			want := engine.Usage{Prompt: 3, Completion: ident.Tokens(n)}
			if err != nil || mismatch != nil || res.Usage != want || co.tokens != want.Completion || n == 0 {
				t.Errorf("call %d: %v, %v, usage %v and %d tokens for %d words", idx, err, mismatch, res.Usage, co.tokens, n)
			}
		})
	}
	wg.Wait()
	for _, ru := range en.Runs() {
		if ru.State != model.Completed || ru.Priority != 3 {
			t.Errorf("run %+v, want it completed with priority 3", ru)
		}
	}
}

// TestBody guards against members of the caller's body that are lost, and against
// a token limit above the tokens that escrow covers.
func TestBody(t *testing.T) {
	tests := []struct {
		name, members string
		maxTokens     ident.Tokens
		want          string
	}{
		{"other members unchanged", `,"seed":12345678901234567890,"stream":false`, 0, `,"seed":12345678901234567890`},
		{"options merged", `,"stream_options":{"other":1}`, 0, `,"stream_options":{"include_usage":true,"other":1}`},
		{"limit added", ``, 9, `,"max_tokens":9`},
		{"limit lowered", `,"max_completion_tokens":20`, 9, `,"max_completion_tokens":9`},
		{"lower limit unchanged", `,"max_tokens":5`, 9, `,"max_tokens":5`},
	}
	for _, tt := range tests {
		var got map[string]json.RawMessage
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, re *http.Request) {
			if err := json.NewDecoder(re.Body).Decode(&got); err != nil {
				t.Error(err)
			}
		}))
		ca := call("1", tt.members)
		ca.MaxTokens = tt.maxTokens
		_, _ = openai.New(srv.URL).Run(t.Context(), ca, new(collector).emit)
		srv.Close()
		want := map[string]json.RawMessage{"stream_options": json.RawMessage(`{"include_usage":true}`)}
		for _, body := range []string{string(call("1", tt.want).Body), `{"stream":true,"priority":3}`} {
			if err := json.Unmarshal([]byte(body), &want); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: body (-want +got):\n%s", tt.name, diff)
		}
	}
}

func sse(lines ...string) http.HandlerFunc {
	return func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		_, _ = wr.Write([]byte(strings.Join(lines, "\n")))
	}
}

const (
	tokenEvent = `data: {"choices":[{"delta":{"content":"x"}}]}`
	usageEvent = `data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":5}}`
	doneEvent  = "data: [DONE]"
)

// TestOutcome guards against a truncated or failed response that counts as
// complete, against a refusal that wrongly claims that the call did not run, and
// against an error without the usage so far.
func TestOutcome(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(code) }
	}
	abort := func(http.ResponseWriter, *http.Request) { fault.Abort() }
	counted, none := engine.Usage{Prompt: 2, Completion: 2}, engine.Usage{}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    refuse.Reason
		usage   engine.Usage
	}{
		{"complete", sse(tokenEvent, "", ": comment", "", usageEvent, "", doneEvent, "", ""), "", engine.Usage{Prompt: 7, Completion: 5}},
		{"carriage returns", sse(tokenEvent+"\r", "\r", doneEvent+"\r", "\r", ""), "", engine.Usage{Prompt: 2, Completion: 1}},
		{"data in two lines", sse(`data: {"choices":`, `data: []}`, "", doneEvent, "", ""), "", engine.Usage{Prompt: 2}},
		{"no last event", sse(tokenEvent, "", tokenEvent, "", ""), refuse.Truncated, counted},
		{"truncated within an event", sse(tokenEvent, "", tokenEvent, "", tokenEvent[:20]), refuse.Truncated, counted},
		{"truncated before the blank line", sse(tokenEvent, "", tokenEvent, "", doneEvent), refuse.Truncated, counted},
		{"error event", sse(tokenEvent, "", tokenEvent, "", `data: {"error":{"message":"out of memory"}}`, "", doneEvent, "", ""), refuse.UpstreamFailed, counted},
		{"invalid event", sse(tokenEvent, "", tokenEvent, "", "data: {", "", ""), refuse.UpstreamFailed, counted},
		{"long line", sse(tokenEvent, "", tokenEvent, "", "data: "+strings.Repeat("x", 300), "", ""), refuse.UpstreamFailed, counted},
		{"long response", sse(tokenEvent, "", tokenEvent, "", strings.Repeat(": filler\n", 200)), refuse.UpstreamFailed, counted},
		{"other content type", status(200), refuse.UpstreamFailed, engine.Usage{Prompt: 2}},
		{"no response", abort, refuse.UpstreamFailed, engine.Usage{Prompt: 2}},
		{"internal error", status(500), refuse.UpstreamFailed, engine.Usage{Prompt: 2}},
		{"bad request", status(400), refuse.BadRequest, none},
		{"unknown model", status(404), refuse.Rejected, none},
		{"queue full", status(429), refuse.Busy, none},
		{"overload", status(503), refuse.Busy, none},
		{"refused connection", nil, refuse.Busy, none},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(tt.handler)
			defer srv.Close()
			if tt.handler == nil {
				srv.Close()
			}
			up := openai.New(srv.URL, openai.WithMaxEventBytes(250), openai.WithMaxResponseBytes(1000),
				openai.WithPromptCounter(func([]byte) ident.Tokens { return 2 }))
			res, err := up.Run(t.Context(), call("1", ""), new(collector).emit)
			if diff := cmp.Diff(tt.usage, res.Usage); diff != "" {
				t.Errorf("usage (-want +got):\n%s", diff)
			}
			if tt.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if rf := refuse.From(err); err == nil || rf.Reason != tt.want || rf.Outcome != tt.want.Outcome() {
				t.Errorf("Run = %v, want %s", err, tt.want)
			}
		})
	}
}

// TestCancel guards against an engine that continues a call after the caller
// disconnected or emit failed, and against a token that is buffered: emit fails on
// the first token while the engine is still generating.
func TestCancel(t *testing.T) {
	stop := errors.New("stop")
	for _, name := range []string{"emit fails", "context ends"} {
		en := model.New(model.WithResponseTokens(1<<30, 1<<30))
		srv := httptest.NewServer(en)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		res, err := openai.New(srv.URL).Run(ctx, call("1", ""), func(engine.Chunk) error {
			if name == "emit fails" {
				return stop
			}
			cancel()
			return nil
		})
		if err == nil || (name == "emit fails") != errors.Is(err, stop) || res.Usage.Completion < 1 {
			t.Errorf("%s: Run = %v, %v, want an error and usage", name, res, err)
		}
		// Close waits until the engine has ended the call.
		srv.Close()
		if got := en.Runs()[0].State; got != model.Cancelled {
			t.Errorf("%s: the run is %s, want it cancelled", name, got)
		}
	}
}

// TestImmediateForwarding guards against tokens that are buffered: the engine sends
// the next event only after the previous one was emitted.
func TestImmediateForwarding(t *testing.T) {
	passed := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		wr.Header().Set("Content-Type", "text/event-stream")
		for _, line := range []string{tokenEvent, tokenEvent, usageEvent} {
			_, _ = fmt.Fprintf(wr, "%s\n\n", line)
			_ = http.NewResponseController(wr).Flush()
			select {
			case <-passed:
			case <-re.Context().Done():
			}
		}
		_, _ = fmt.Fprintf(wr, "%s\n\n", doneEvent)
	}))
	defer srv.Close()
	var got []ident.Tokens
	_, err := openai.New(srv.URL).Run(t.Context(), call("1", ""), func(ch engine.Chunk) error {
		got = append(got, ch.Tokens)
		passed <- struct{}{}
		return nil
	})
	// The engine counts 5 tokens in the 2 events.
	if diff := cmp.Diff([]ident.Tokens{1, 1, 3}, got); diff != "" || err != nil {
		t.Errorf("Run = %v, tokens (-want +got):\n%s", err, diff)
	}
}

// TestUnresponsiveEngine guards against a call that continues to wait after its
// context ended, because the engine accepted the request and does not respond.
func TestUnresponsiveEngine(t *testing.T) {
	en := model.New()
	en.Faults().Set(fault.Setting{}.WithSilent(true))
	ctx, cancel := context.WithCancel(t.Context())
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		cancel()
		en.ServeHTTP(wr, re)
	}))
	defer srv.Close()
	for _, want := range []refuse.Outcome{refuse.Unknown, refuse.NotRun} {
		if _, err := openai.New(srv.URL).Run(ctx, call("1", ""), new(collector).emit); refuse.From(err).Outcome != want {
			t.Errorf("Run = %v, want outcome %s", err, want)
		}
	}
}

// TestOrdersAndLoad guards against a superseded order that is reported as accepted,
// and against a load report that loses a member.
func TestOrdersAndLoad(t *testing.T) {
	en := model.New(model.WithSlots(2), model.WithTokenTime(100*time.Millisecond))
	srv := httptest.NewServer(en)
	defer srv.Close()
	up := openai.New(srv.URL)
	var got []bool
	for _, fence := range []ident.Fence{5, 4, 6} {
		err := up.Order(t.Context(), engine.Order{Fence: fence, Kind: engine.LoadModel, Subject: "m"})
		got = append(got, err == nil)
	}
	if diff := cmp.Diff([]bool{true, false, true}, got); diff != "" {
		t.Errorf("accepted orders (-want +got):\n%s", diff)
	}
	en.Set(model.Setting{}.WithLeaving(true))
	lo, err := up.Load(t.Context())
	want := engine.Load{Slots: 2, TokensPerSecond: 20, Leaving: true}
	if diff := cmp.Diff(want, lo, cmpopts.IgnoreFields(engine.Load{}, "At")); diff != "" || err != nil || lo.At.IsZero() {
		t.Errorf("load %v, %v (-want +got):\n%s", lo.At, err, diff)
	}
}

// TestSecondCopyOfRefusal guards against taking the late copy of a refusal for the
// response to the next call, which the engine runs.
func TestSecondCopyOfRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	const event = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(event), event)
	sv, err := script.New([]string{refusal, refusal + answer}, []string{answer, answer})
	if err != nil {
		t.Fatal(err)
	}
	defer sv.Close()
	up := openai.New("http://" + sv.Addr())
	var got []refuse.Reason
	for _, id := range []string{"c1", "c2", "c3"} {
		reason := refuse.Reason("")
		if _, err := up.Run(t.Context(), call(id, ""), (&collector{}).emit); err != nil {
			reason = refuse.From(err).Reason
		}
		got = append(got, reason)
	}
	if diff := cmp.Diff([]refuse.Reason{refuse.Busy, "", ""}, got); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
}
