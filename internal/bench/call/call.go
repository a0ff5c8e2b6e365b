// Package call sends requests to routers as callers do and returns their results.
package call

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// Caller sends requests with one API key.
type Caller struct {
	hc  *http.Client
	key string
}

// New returns a caller with the API key and a connection pool of its own.
func New(key string) *Caller { return &Caller{hc: client.New(client.WithMaxIdleConns(512)), key: key} }

// Result is the result of a request.
type Result struct {
	Request ident.Request
	Status  int
	// Served reports whether a complete response arrived.
	Served  bool
	Outcome refuse.Outcome
	Reason  refuse.Reason
	Detail  string
	// Body is the request body, against which the engine's response is checked.
	Body       []byte
	Text       string
	Completion int
	Charged    string
	Replay     bool
	// TimeToFirstEvent is the time to the first event of a stream, and Total
	// the time to the end of the response.
	TimeToFirstEvent time.Duration
	Total            time.Duration
}

// Chat describes a chat completion request.
type Chat struct {
	Model     ident.Model
	Prompt    string
	MaxTokens int
	Class     config.Class
	Timeout   time.Duration
	Key       ident.Key
	Budget    ident.Budget
}

type chatBody struct {
	Model         ident.Model   `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	MaxTokens     int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Stream sends a streamed chat completion to the router at the base URL.
func (ca *Caller) Stream(ctx context.Context, baseURL string, ch Chat) Result {
	body, err := json.Marshal(chatBody{
		Model: ch.Model, Messages: []chatMessage{{Role: "user", Content: ch.Prompt}},
		Stream: true, StreamOptions: streamOptions{IncludeUsage: true}, MaxTokens: ch.MaxTokens,
	})
	if err != nil {
		return noResponse(err)
	}
	start := time.Now()
	rs, err := ca.post(ctx, baseURL+"/v1/chat/completions", body, ch)
	if err != nil {
		return noResponse(err)
	}
	defer func() { _ = rs.Body.Close() }()
	re := resultFromHeader(rs)
	re.Body = body
	if rs.StatusCode != http.StatusOK {
		return re.withProblem(rs.Body)
	}
	re.readEvents(rs.Body, start)
	re.Total = time.Since(start)
	return re
}

func (ca *Caller) post(ctx context.Context, url string, body []byte, ch Chat) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	ca.setHeader(rq, ch)
	return ca.hc.Do(rq)
}

func (ca *Caller) setHeader(rq *http.Request, ch Chat) {
	rq.Header.Set("Authorization", "Bearer "+ca.key)
	rq.Header.Set("Content-Type", "application/json")
	for name, val := range map[string]string{
		"Balsamwood-Class":  string(ch.Class),
		"Balsamwood-Budget": string(ch.Budget),
		"Idempotency-Key":   string(ch.Key),
	} {
		if val != "" {
			rq.Header.Set(name, val)
		}
	}
	if ch.Timeout > 0 {
		rq.Header.Set("Balsamwood-Timeout", ch.Timeout.String())
	}
}

// Call describes a request to a plain service.
type Call struct {
	Service ident.Service
	Method  string
	Path    string
	Body    string
	Key     ident.Key
	Timeout time.Duration
	Budget  ident.Budget
}

// CallService sends a request to a plain service through the router.
func (ca *Caller) CallService(ctx context.Context, baseURL string, cl Call) Result {
	start := time.Now()
	rq, err := http.NewRequestWithContext(ctx, cl.Method, baseURL+"/v1/services/"+string(cl.Service)+cl.Path, strings.NewReader(cl.Body))
	if err != nil {
		return noResponse(err)
	}
	ca.setHeader(rq, Chat{Key: cl.Key, Timeout: cl.Timeout, Budget: cl.Budget})
	rs, err := ca.hc.Do(rq)
	if err != nil {
		return noResponse(err)
	}
	defer func() { _ = rs.Body.Close() }()
	re := resultFromHeader(rs)
	if rs.Header.Get("Content-Type") == "application/problem+json" {
		return re.withProblem(rs.Body)
	}
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return noResponse(err)
	}
	re.Served, re.Text, re.Total = true, string(data), time.Since(start)
	return re
}

// Outcome queries the outcome of a call with an idempotency key and returns its
// state.
func (ca *Caller) Outcome(ctx context.Context, baseURL string, key ident.Key) (string, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/v1/outcomes/"+string(key), nil)
	if err != nil {
		return "", err
	}
	ca.setHeader(rq, Chat{})
	rs, err := ca.hc.Do(rq)
	if err != nil {
		return "", err
	}
	defer func() { _ = rs.Body.Close() }()
	var ou struct {
		State string `json:"state"`
	}
	if rs.StatusCode != http.StatusOK {
		return "", fmt.Errorf("call: outcome: status %d", rs.StatusCode)
	}
	err = json.NewDecoder(rs.Body).Decode(&ou)
	return ou.State, err
}

// noResponse returns the result of a request without a complete response header
// or body. The caller cannot know whether it ran.
func noResponse(err error) Result { return Result{Outcome: refuse.Unknown, Detail: err.Error()} }

func resultFromHeader(rs *http.Response) Result {
	return Result{
		Request: ident.Request(rs.Header.Get("Balsamwood-Request")), Status: rs.StatusCode,
		Charged: rs.Header.Get("Balsamwood-Charged-Tokens"), Replay: rs.Header.Get("Balsamwood-Replay") != "",
	}
}

type problem struct {
	Outcome refuse.Outcome `json:"outcome"`
	Reason  refuse.Reason  `json:"reason"`
	Detail  string         `json:"detail"`
}

func (re Result) withProblem(rd io.Reader) Result {
	var pr problem
	if err := json.NewDecoder(rd).Decode(&pr); err != nil {
		pr = problem{Outcome: refuse.Unknown, Detail: err.Error()}
	}
	re.Outcome, re.Reason, re.Detail = pr.Outcome, pr.Reason, pr.Detail
	return re
}

type event struct {
	problem
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
}

// readEvents reads the stream. A response without its final event is incomplete.
func (re *Result) readEvents(rd io.Reader, start time.Time) {
	var text strings.Builder
	defer func() { re.Text = text.String() }()
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxEventBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			re.Served = true
			return
		}
		var ev event
		if err := json.Unmarshal(data, &ev); err != nil {
			re.Outcome, re.Detail = refuse.Unknown, err.Error()
			return
		}
		if ev.Reason != "" {
			re.Outcome, re.Reason, re.Detail = ev.Outcome, ev.Reason, ev.Detail
			return
		}
		if re.TimeToFirstEvent == 0 {
			re.TimeToFirstEvent = time.Since(start)
		}
		for _, ch := range ev.Choices {
			text.WriteString(ch.Delta.Content)
		}
		if ev.Usage != nil {
			re.Completion = ev.Usage.Completion
		}
	}
	re.Outcome = refuse.Unknown
	re.Detail = errors.Join(errors.New("the stream ended without its final event"), sc.Err()).Error()
}
