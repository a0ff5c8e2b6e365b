package caller_test

import (
	"context"
	"encoding/json"
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
	goodChat  = `{"model":"m1","messages":[{"role":"user","content":"hello"}]}`
	someChunk = `{"id":"c","model":"m1","choices":[{"index":0,"delta":{"content":"hi"}}]}`
)

// server counts the requests that reach the use case and fails after its chunks.
type server struct {
	calls  int
	chunks []string
	err    error
}

func (sv *server) Serve(_ context.Context, _ front.Request, emit func(engine.Chunk) error) (front.Answer, error) {
	sv.calls++
	for _, ch := range sv.chunks {
		if err := emit(engine.Chunk{Data: []byte(ch), Tokens: 1}); err != nil {
			return front.Answer{}, err
		}
	}
	return front.Answer{Result: engine.Result{Status: http.StatusOK, Usage: engine.Usage{Prompt: 3, Completion: 1}}, Charged: 4}, sv.err
}

func handler(sv *server) http.Handler {
	sn := config.Snapshot{}.WithRevision(1, "test").
		WithAccount(config.Account{
			ID: "a1", Keys: []config.KeyHash{config.HashAPIKey(apiKey)}, Budgets: []ident.Budget{"b1"},
			Models: []ident.Model{"m1"}, Services: []ident.Service{"register"},
		}).
		WithUpstream(config.Upstream{ID: "e1", Kind: config.Engine, Models: []ident.Model{"m1", "m2"}}).
		WithService(config.Service{ID: "register", Routes: []config.Route{{Method: "POST", Path: "/vouchers", Cost: 1}}}).
		WithService(config.Service{ID: "other"})
	return caller.New(sv, snap.NewCell(sn), caller.WithMaxBody(maxBody), caller.WithTokens(16, 64)).Handler()
}

type refusal struct {
	Status  int
	Outcome refuse.Outcome
	Reason  refuse.Reason
}

// TestRefusals guards against bad input that reaches an upstream or is charged,
// and against an answer that does not say what is wrong.
func TestRefusals(t *testing.T) {
	bad := func(status int, re refuse.Reason) refusal { return refusal{status, refuse.NotRun, re} }
	for name, tc := range map[string]struct {
		path, body string
		header     map[string]string
		want       refusal
	}{
		"no key":             {chatPath, goodChat, map[string]string{"Authorization": ""}, bad(401, refuse.Unauthorized)},
		"wrong key":          {chatPath, goodChat, map[string]string{"Authorization": "Bearer bw-other"}, bad(401, refuse.Unauthorized)},
		"malformed JSON":     {chatPath, `{"model":`, nil, bad(400, refuse.BadRequest)},
		"not an object":      {chatPath, `[]`, nil, bad(400, refuse.BadRequest)},
		"no model":           {chatPath, `{"messages":[{}]}`, nil, bad(400, refuse.BadRequest)},
		"no messages":        {chatPath, `{"model":"m1","messages":[]}`, nil, bad(400, refuse.BadRequest)},
		"two choices":        {chatPath, `{"model":"m1","n":2,"messages":[{}]}`, nil, bad(400, refuse.BadRequest)},
		"too many tokens":    {chatPath, `{"model":"m1","max_tokens":65,"messages":[{}]}`, nil, bad(400, refuse.BadRequest)},
		"negative tokens":    {chatPath, `{"model":"m1","max_tokens":-1,"messages":[{}]}`, nil, bad(400, refuse.BadRequest)},
		"oversized body":     {chatPath, strings.Repeat(" ", maxBody+1), nil, bad(413, refuse.TooLarge)},
		"unknown model":      {chatPath, strings.Replace(goodChat, "m1", "m9", 1), nil, bad(404, refuse.UnknownModel)},
		"forbidden model":    {chatPath, strings.Replace(goodChat, "m1", "m2", 1), nil, bad(403, refuse.Forbidden)},
		"foreign budget":     {chatPath, goodChat, map[string]string{"Balsamwood-Budget": "b2"}, bad(403, refuse.Forbidden)},
		"unknown class":      {chatPath, goodChat, map[string]string{"Balsamwood-Class": "vip"}, bad(400, refuse.BadRequest)},
		"malformed deadline": {chatPath, goodChat, map[string]string{"Balsamwood-Deadline": "soon"}, bad(400, refuse.BadRequest)},
		"negative timeout":   {chatPath, goodChat, map[string]string{"Balsamwood-Timeout": "-1s"}, bad(400, refuse.BadRequest)},
		"long key":           {chatPath, goodChat, map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, bad(400, refuse.BadRequest)},
		"unknown service":    {"/v1/services/nowhere/vouchers", "", nil, bad(404, refuse.UnknownService)},
		"forbidden service":  {"/v1/services/other/vouchers", "", nil, bad(403, refuse.Forbidden)},
		"unknown call":       {"/v1/services/register/rolls", "", nil, bad(404, refuse.UnknownService)},
		"unknown path":       {"/v2/chat", "", nil, bad(404, refuse.BadRequest)},
	} {
		t.Run(name, func(t *testing.T) {
			sv := &server{}
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
				t.Errorf("%d calls reached the use case, message %q", sv.calls, got.Error.Message)
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

// TestBrokenStream guards against a stream that failed and ends like a whole
// one.
func TestBrokenStream(t *testing.T) {
	streamed := strings.Replace(goodChat, "{", `{"stream":true,`, 1)
	for name, tc := range map[string]struct {
		sv         *server
		body       string
		status     int
		whole      bool
		retryAfter string
	}{
		"whole":              {&server{chunks: []string{someChunk}}, streamed, 200, true, ""},
		"broken in between":  {&server{chunks: []string{someChunk}, err: refuse.New(refuse.UpstreamFailed, "gone")}, streamed, 200, false, ""},
		"refused at first":   {&server{err: refuse.New(refuse.Busy, "full").WithRetryAt(time.Now().Add(90 * time.Second))}, streamed, 503, false, "90"},
		"broken, not stream": {&server{chunks: []string{someChunk}, err: refuse.New(refuse.UpstreamFailed, "gone")}, goodChat, 502, false, ""},
	} {
		rs := post(t, handler(tc.sv), chatPath, tc.body, nil)
		whole := strings.HasSuffix(rs.Body.String(), "data: [DONE]\n\n")
		if rs.Code != tc.status || whole != tc.whole || rs.Header().Get("Retry-After") != tc.retryAfter {
			t.Errorf("%s: status %d, whole %t, Retry-After %q\n%s", name, rs.Code, whole, rs.Header().Get("Retry-After"), rs.Body)
		}
		if !tc.whole && !strings.Contains(rs.Body.String(), `"outcome"`) {
			t.Errorf("%s: no outcome in %s", name, rs.Body)
		}
	}
}
