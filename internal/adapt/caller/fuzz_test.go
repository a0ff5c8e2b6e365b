package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/balsamwood/balsamwood/internal/adapt/caller"
	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

const key = "key-1"

// requestRecorder records the last request and refuses it.
type requestRecorder struct{ rq *front.Request }

func (rr *requestRecorder) Serve(_ context.Context, rq front.Request, _ func(engine.Chunk) error) (front.Response, error) {
	rr.rq = &rq
	return front.Response{}, refuse.New(refuse.Busy, "not run")
}

type fixedConfig struct{ sn config.Snapshot }

func (fc fixedConfig) Load() config.Snapshot { return fc.sn }

func snapshot() config.Snapshot {
	return config.Snapshot{}.WithRevision(1, "o").
		WithUpstream(config.Upstream{ID: "e", Kind: config.Engine, Models: []ident.Model{"m", "other"}}).
		WithAccount(config.Account{
			ID: "a", Keys: []config.KeyHash{config.HashAPIKey(key)}, Budgets: []ident.Budget{"b"}, Models: []ident.Model{"m"},
		}).
		WithService(config.Service{ID: "s", Routes: []config.Route{{Method: "POST", Path: "/x/", Cost: 3}}})
}

func send(rr *requestRecorder, path string, hd map[string]string, body []byte) *httptest.ResponseRecorder {
	rq := httptest.NewRequest(http.MethodPost, "http://router/", bytes.NewReader(body))
	rq.URL.Path = path
	for name, val := range hd {
		rq.Header[name] = []string{val}
	}
	wr := httptest.NewRecorder()
	caller.New(rr, fixedConfig{snapshot()}).Handler().ServeHTTP(wr, rq)
	return wr
}

// FuzzChat guards against a body in which the router checks other members than
// the engine reads. Such a request could use a model that is not allowed to the
// account, or more tokens than were reserved.
func FuzzChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","messages":[{}],"max_tokens":7,"max_completion_tokens":9,"stream":true}`,
		`{"model":"other","MODEL":"m","messages":[1]}`, `{"model":"m","messages":[1],"n":5,"N":1}`,
		`{"model":"m","model":"other","messages":[1]}`, `null`, `[]`, `{"model":"m","messages":[1],"max_tokens":1e400}`,
		"{\"model\":\"m\",\"me\u017f\u017fages\":[1]}",
	} {
		f.Add([]byte(seed))
	}
	hd := map[string]string{"Authorization": "Bearer " + key}
	f.Fuzz(func(t *testing.T, data []byte) {
		rr := &requestRecorder{}
		wr := send(rr, "/v1/chat/completions", hd, data)
		if wr.Code < 400 {
			t.Fatalf("status %d for a refused request", wr.Code)
		}
		if rr.rq == nil {
			return
		}
		// A number in any other member may exceed the range of float64, so
		// numbers are not converted.
		dec := json.NewDecoder(bytes.NewReader(rr.rq.Call.Body))
		dec.UseNumber()
		var body map[string]any
		if err := dec.Decode(&body); err != nil {
			t.Fatalf("decode the body for the engine: %v", err)
		}
		num, _ := body["max_tokens"].(json.Number)
		maxTokens, err := num.Int64()
		_, hasCompletion := body["max_completion_tokens"]
		count, hasCount := body["n"]
		if body["model"] != "m" || err != nil || ident.Tokens(maxTokens) != rr.rq.MaxTokens || hasCompletion ||
			hasCount && count != nil && count != json.Number("1") || int(rr.rq.Prompt) < len(data) {
			t.Errorf("body %s with max tokens %d and prompt bound %d", rr.rq.Call.Body, rr.rq.MaxTokens, rr.rq.Prompt)
		}
	})
}

// FuzzHeader guards against header fields and paths that are accepted although
// they exceed their limits, or that are not valid UTF-8 and cannot be sent over a
// link.
func FuzzHeader(f *testing.F) {
	f.Add("k", "b", "urgent", "1s", "2030-01-02T03:04:05Z", "/x/1", "text/plain")
	f.Add("\xff", "", "", "", "", "/x/1", "")
	f.Add("k", "", "", "", "", "/x/\xff", "")
	f.Add("k", "", "", "", "", "/x/1", "text/\xff")
	f.Add("", "c", "fast", "-1s", "never", "/x/../y", "")
	f.Add("", "", "", "1e9h", "9999-12-31T23:59:59Z", "/x/%2e", "")
	f.Add("", "", "batch", "2562047h47m16.854775807s", "", "/x/", "")
	f.Fuzz(func(t *testing.T, idem, budget, class, timeout, deadline, path, media string) {
		rr := &requestRecorder{}
		wr := send(rr, "/v1/services/s"+path, map[string]string{
			"Authorization": "Bearer " + key, "Idempotency-Key": idem, "Balsamwood-Budget": budget,
			"Balsamwood-Class": class, "Balsamwood-Timeout": timeout, "Balsamwood-Deadline": deadline, "Content-Type": media,
		}, []byte("{}"))
		if wr.Code < 400 {
			t.Fatalf("status %d for a refused request", wr.Code)
		}
		if rr.rq == nil {
			return
		}
		rq := rr.rq
		if !rq.Class.Valid() || rq.Budget != "b" || rq.Account.ID != "a" || rq.MaxTokens != 3 || len(rq.Key) > 255 {
			t.Errorf("request %+v", rq)
		}
		if rq.Deadline.After(time.Now().Add(25 * time.Hour)) {
			t.Errorf("deadline %s", rq.Deadline)
		}
		text := string(rq.Key) + rq.Call.Path
		for _, fi := range rq.Call.Header {
			text += fi.Value
		}
		if !utf8.ValidString(text) {
			t.Errorf("%q cannot be sent over a link", text)
		}
	})
}
