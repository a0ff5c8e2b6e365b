package openai_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/openai"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// TestResume guards against an interrupted connection after which a token is lost
// or repeated, or the call runs again.
func TestResume(t *testing.T) {
	en := model.New(model.WithResponseTokens(20, 20))
	srv := httptest.NewServer(en)
	defer srv.Close()
	for name, tc := range map[string]struct {
		setting model.Setting
		words   int
		reason  refuse.Reason
		state   string
	}{
		"interrupted twice":      {model.Setting{}.WithCutAfter(9), 20, "", model.Completed},
		"interrupted at the end": {model.Setting{}.WithCutAfter(20), 20, "", model.Completed},
		"always interrupted":     {model.Setting{}.WithCutAfter(3), 12, refuse.Truncated, model.Cut},
		"failed":                 {model.Setting{}.WithFailAfter(7), 7, refuse.Truncated, model.Failed},
	} {
		en.Set(tc.setting)
		var co collector
		ca := call(name, "")
		res, err := openai.New(srv.URL).Run(t.Context(), ca, co.emit)
		words, mismatch := model.Check(ca.Body, co.text)
		if mismatch != nil || words != tc.words || res.Usage.Completion != co.tokens {
			t.Errorf("%s: %d words (%v), usage %v, %d tokens", name, words, mismatch, res.Usage, co.tokens)
		}
		if err != nil || tc.reason != "" {
			if got := refuse.From(err).Reason; got != tc.reason {
				t.Errorf("%s: %v, want %q", name, err, tc.reason)
			}
		}
		var got []model.Run
		for _, ru := range en.Runs() {
			if ru.Request == name {
				got = append(got, ru)
			}
		}
		if len(got) != 1 || got[0].State != tc.state || got[0].Produced != tc.words {
			t.Errorf("%s: runs %v, want one that is %s after %d tokens", name, got, tc.state, tc.words)
		}
	}
}

// TestResumeGap guards against a resumed stream that skips an event, and against a
// truncated event that counts as received.
func TestResumeGap(t *testing.T) {
	for name, tc := range map[string]struct {
		first, second, lastID string
		want                  []string
	}{
		"gap": {"id: 1\ndata: {}\n\n", "id: 3\ndata: {}\n\n", "1", []string{"{}"}},
		"truncated event": {
			"id: 1\ndata: {}\n\nid: 2\ndata: {", "id: 2\ndata: {\"b\":1}\n\ndata: [DONE]\n\n", "1", []string{"{}", `{"b":1}`},
		},
	} {
		var lastID []string
		srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
			wr.Header().Set("Content-Type", "text/event-stream")
			id := re.Header.Get("Last-Event-ID")
			if lastID = append(lastID, id); id == "" {
				_, _ = fmt.Fprint(wr, tc.first)
				return
			}
			_, _ = fmt.Fprint(wr, tc.second)
		}))
		var got []string
		_, _ = openai.New(srv.URL).Run(t.Context(), call(name, ""), func(ch engine.Chunk) error {
			got = append(got, string(ch.Data))
			return nil
		})
		srv.Close()
		if diff := cmp.Diff(tc.want, got); diff != "" || len(lastID) < 2 || lastID[1] != tc.lastID {
			t.Errorf("%s: Last-Event-ID %q, events (-want +got):\n%s", name, lastID, diff)
		}
	}
}
