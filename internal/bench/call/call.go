// Package call sends requests as callers do and records how they ended.
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

// maxLine bounds one event of a stream.
const maxLine = 1 << 20

// Caller sends requests with one API key.
type Caller struct {
	hc  *http.Client
	key string
}

// New returns a caller with its own connections.
func New(key string) *Caller { return &Caller{hc: client.New(client.WithIdle(512)), key: key} }

// Result is how a request ended.
type Result struct {
	Request ident.Request
	Status  int
	// Served says that the whole answer arrived.
	Served  bool
	Outcome refuse.Outcome
	Reason  refuse.Reason
	Detail  string
	// Body is the request body that the engine's answer is checked against.
	Body       []byte
	Text       string
	Completion int
	Charged    string
	Replay     bool
	First      time.Duration
	Total      time.Duration
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
	StreamOptions usageOption   `json:"stream_options"`
	MaxTokens     int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usageOption struct {
	IncludeUsage bool `json:"include_usage"`
}

// Stream sends a streamed chat completion to the router at the base URL.
func (ca *Caller) Stream(ctx context.Context, baseURL string, ch Chat) Result {
	body, err := json.Marshal(chatBody{
		Model: ch.Model, Messages: []chatMessage{{Role: "user", Content: ch.Prompt}},
		Stream: true, StreamOptions: usageOption{IncludeUsage: true}, MaxTokens: ch.MaxTokens,
	})
	if err != nil {
		return failed(err)
	}
	began := time.Now()
	rs, err := ca.post(ctx, baseURL+"/v1/chat/completions", body, ch)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = rs.Body.Close() }()
	re := begun(rs)
	re.Body = body
	if rs.StatusCode != http.StatusOK {
		return re.refused(rs.Body)
	}
	re.events(rs.Body, began)
	re.Total = time.Since(began)
	return re
}

func (ca *Caller) post(ctx context.Context, url string, body []byte, ch Chat) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	ca.header(rq, ch)
	return ca.hc.Do(rq)
}

func (ca *Caller) header(rq *http.Request, ch Chat) {
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

// Service sends a request to a plain service through the router.
func (ca *Caller) Service(ctx context.Context, baseURL string, cl Call) Result {
	began := time.Now()
	rq, err := http.NewRequestWithContext(ctx, cl.Method, baseURL+"/v1/services/"+string(cl.Service)+cl.Path, strings.NewReader(cl.Body))
	if err != nil {
		return failed(err)
	}
	ca.header(rq, Chat{Key: cl.Key, Timeout: cl.Timeout, Budget: cl.Budget})
	rs, err := ca.hc.Do(rq)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = rs.Body.Close() }()
	re := begun(rs)
	if rs.Header.Get("Content-Type") == "application/problem+json" {
		return re.refused(rs.Body)
	}
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return failed(err)
	}
	re.Served, re.Text, re.Total = true, string(data), time.Since(began)
	return re
}

// Outcome asks for the outcome of a keyed call.
func (ca *Caller) Outcome(ctx context.Context, baseURL string, key ident.Key) (string, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/v1/outcomes/"+string(key), nil)
	if err != nil {
		return "", err
	}
	ca.header(rq, Chat{})
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

// failed is the result of a request without any answer. The caller cannot know
// whether it ran.
func failed(err error) Result { return Result{Outcome: refuse.Unknown, Detail: err.Error()} }

func begun(rs *http.Response) Result {
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

func (re Result) refused(rd io.Reader) Result {
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

// events reads the stream. An answer without its closing event is not whole.
func (re *Result) events(rd io.Reader, began time.Time) {
	var text strings.Builder
	defer func() { re.Text = text.String() }()
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLine)
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
		if re.First == 0 {
			re.First = time.Since(began)
		}
		for _, ch := range ev.Choices {
			text.WriteString(ch.Delta.Content)
		}
		if ev.Usage != nil {
			re.Completion = ev.Usage.Completion
		}
	}
	re.Outcome = refuse.Unknown
	re.Detail = errors.Join(errors.New("the stream ended without its last event"), sc.Err()).Error()
}
