package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/caller"
	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

const (
	apiKey    = "bw-test"
	maxBody   = 2048
	chatPath  = "/v1/chat/completions"
	validChat = `{"model":"m1","messages":[{"role":"user","content":"hello"}]}`
	testChunk = `{"id":"c","model":"m1","choices":[{"index":0,"delta":{"content":"hi"}}]}`
)

// fakeServer counts the requests that reach it, emits its chunks and returns err.
type fakeServer struct {
	calls  int
	chunks []string
	err    error
}

func (sv *fakeServer) Serve(_ context.Context, _ front.Request, emit func(engine.Chunk) error) (front.Response, error) {
	sv.calls++
	for _, ch := range sv.chunks {
		if err := emit(engine.Chunk{Data: []byte(ch), Tokens: 1}); err != nil {
			return front.Response{}, err
		}
	}
	return front.Response{Result: engine.Result{Status: http.StatusOK, Usage: engine.Usage{Prompt: 3, Completion: 1}}, Charged: 4}, sv.err
}

func handler(sv *fakeServer) http.Handler {
	sn := config.Snapshot{}.WithRevision(1, "test").
		WithAccount(config.Account{
			ID: "a1", Keys: []config.KeyHash{config.HashAPIKey(apiKey)}, Budgets: []ident.Budget{"b1"},
			Models: []ident.Model{"m1"}, Services: []ident.Service{"register"},
		}).
		WithUpstream(config.Upstream{ID: "e1", Kind: config.Engine, Models: []ident.Model{"m1", "m2"}}).
		WithService(config.Service{ID: "register", Routes: []config.Route{{Method: "POST", Path: "/vouchers", Cost: 1}}}).
		WithService(config.Service{ID: "other"})
	return caller.New(sv, snap.NewCell(sn), caller.WithMaxBodyBytes(maxBody), caller.WithCompletionTokens(16, 64)).Handler()
}

type refusal struct {
	Status  int
	Outcome refuse.Outcome
	Reason  refuse.Reason
}

// TestRefusals guards against invalid requests that reach an upstream or are
// charged, and against a refusal that does not say what is wrong.
func TestRefusals(t *testing.T) {
	notRun := func(status int, re refuse.Reason) refusal { return refusal{status, refuse.NotRun, re} }
	for name, tc := range map[string]struct {
		path, body string
		header     map[string]string
		want       refusal
	}{
		"no key":             {chatPath, validChat, map[string]string{"Authorization": ""}, notRun(401, refuse.Unauthorized)},
		"wrong key":          {chatPath, validChat, map[string]string{"Authorization": "Bearer bw-other"}, notRun(401, refuse.Unauthorized)},
		"malformed JSON":     {chatPath, `{"model":`, nil, notRun(400, refuse.BadRequest)},
		"not an object":      {chatPath, `[]`, nil, notRun(400, refuse.BadRequest)},
		"no model":           {chatPath, `{"messages":[{}]}`, nil, notRun(400, refuse.BadRequest)},
		"no messages":        {chatPath, `{"model":"m1","messages":[]}`, nil, notRun(400, refuse.BadRequest)},
		"two choices":        {chatPath, `{"model":"m1","n":2,"messages":[{}]}`, nil, notRun(400, refuse.BadRequest)},
		"too many tokens":    {chatPath, `{"model":"m1","max_tokens":65,"messages":[{}]}`, nil, notRun(400, refuse.BadRequest)},
		"negative tokens":    {chatPath, `{"model":"m1","max_tokens":-1,"messages":[{}]}`, nil, notRun(400, refuse.BadRequest)},
		"oversized body":     {chatPath, strings.Repeat(" ", maxBody+1), nil, notRun(413, refuse.TooLarge)},
		"unknown model":      {chatPath, strings.Replace(validChat, "m1", "m9", 1), nil, notRun(404, refuse.UnknownModel)},
		"forbidden model":    {chatPath, strings.Replace(validChat, "m1", "m2", 1), nil, notRun(403, refuse.Forbidden)},
		"foreign budget":     {chatPath, validChat, map[string]string{"Balsamwood-Budget": "b2"}, notRun(403, refuse.Forbidden)},
		"unknown class":      {chatPath, validChat, map[string]string{"Balsamwood-Class": "vip"}, notRun(400, refuse.BadRequest)},
		"malformed deadline": {chatPath, validChat, map[string]string{"Balsamwood-Deadline": "soon"}, notRun(400, refuse.BadRequest)},
		"negative timeout":   {chatPath, validChat, map[string]string{"Balsamwood-Timeout": "-1s"}, notRun(400, refuse.BadRequest)},
		"long key":           {chatPath, validChat, map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, notRun(400, refuse.BadRequest)},
		"unknown service":    {"/v1/services/nowhere/vouchers", "", nil, notRun(404, refuse.UnknownService)},
		"forbidden service":  {"/v1/services/other/vouchers", "", nil, notRun(403, refuse.Forbidden)},
		"unknown route":      {"/v1/services/register/rolls", "", nil, notRun(404, refuse.UnknownService)},
		"unknown path":       {"/v2/chat", "", nil, notRun(404, refuse.BadRequest)},
	} {
		t.Run(name, func(t *testing.T) {
			sv := &fakeServer{}
			rs := post(t, handler(sv), tc.path, tc.body, tc.header)
			var got struct {
				refusal
				Error struct{ Message string }
			}
			if err := json.Unmarshal(rs.Body.Bytes(), &got); err != nil {
				t.Fatalf("%v: %s", err, rs.Body)
			}
			got.Status = rs.Code
			if diff := cmp.Diff(tc.want, got.refusal); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
			if sv.calls != 0 || got.Error.Message == "" {
				t.Errorf("%d requests were served, message %q", sv.calls, got.Error.Message)
			}
		})
	}
}

func post(t *testing.T, ha http.Handler, path, body string, header map[string]string) *httptest.ResponseRecorder {
	t.Helper()
	rq := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body))
	rq.Header.Set("Authorization", "Bearer "+apiKey)
	for key, val := range header {
		rq.Header.Set(key, val)
	}
	rs := httptest.NewRecorder()
	ha.ServeHTTP(rs, rq)
	return rs
}

// TestBrokenStream guards against a failed stream that looks complete to the
// client because it ends with [DONE] or because its last chunk is sent.
func TestBrokenStream(t *testing.T) {
	streamingChat := strings.Replace(validChat, "{", `{"stream":true,`, 1)
	for name, tc := range map[string]struct {
		sv         *fakeServer
		body       string
		status     int
		complete   bool
		retryAfter string
	}{
		"complete":                       {&fakeServer{chunks: []string{testChunk}}, streamingChat, 200, true, ""},
		"failed after the first chunk":   {&fakeServer{chunks: []string{testChunk}, err: refuse.New(refuse.UpstreamFailed, "gone")}, streamingChat, 200, false, ""},
		"refused before the first chunk": {&fakeServer{err: refuse.New(refuse.Busy, "full").WithRetryAt(time.Now().Add(90 * time.Second))}, streamingChat, 503, false, "90"},
		"failed, not streamed":           {&fakeServer{chunks: []string{testChunk}, err: refuse.New(refuse.UpstreamFailed, "gone")}, validChat, 502, false, ""},
	} {
		rs, body, err := postOver(t, handler(tc.sv), tc.body)
		complete := strings.HasSuffix(body, "data: [DONE]\n\n")
		if rs.StatusCode != tc.status || complete != tc.complete || rs.Header.Get("Retry-After") != tc.retryAfter {
			t.Errorf("%s: status %d, complete %t, Retry-After %q\n%s", name, rs.StatusCode, complete, rs.Header.Get("Retry-After"), body)
		}
		if !tc.complete && !strings.Contains(body, `"outcome"`) {
			t.Errorf("%s: no outcome in %s", name, body)
		}
		if cut := tc.status == http.StatusOK && !tc.complete; cut != errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: the body ended with error %v", name, err)
		}
	}
}

// postOver sends a chat request over a connection and returns the response, its body and
// the error that ended the body.
func postOver(t *testing.T, ha http.Handler, body string) (*http.Response, string, error) {
	t.Helper()
	srv := httptest.NewServer(ha)
	defer srv.Close()
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+chatPath, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	rq.Header.Set("Authorization", "Bearer "+apiKey)
	rs, err := srv.Client().Do(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return rs, string(data), err
}
