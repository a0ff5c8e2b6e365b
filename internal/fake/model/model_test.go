package model_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/balsamwood/balsamwood/internal/fake/model"
)

func body(text, members string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]%s}`, text, members)
}

func post(hd http.Handler, id, body string) *httptest.ResponseRecorder {
	re := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	re.Header.Set("X-Request-Id", id)
	wr := httptest.NewRecorder()
	hd.ServeHTTP(wr, re)
	return wr
}

func get[T any](t *testing.T, hd http.Handler, path string) T {
	t.Helper()
	wr := httptest.NewRecorder()
	hd.ServeHTTP(wr, httptest.NewRequest(http.MethodGet, path, nil))
	var val T
	if err := json.Unmarshal(wr.Body.Bytes(), &val); err != nil {
		t.Fatalf("GET %s: %v", path, err)
	}
	return val
}

func control(hd http.Handler, path, body string) {
	hd.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
}

// TestCompletion guards against a response whose text or usage is wrong or differs
// between the JSON document and the stream, and against a Check that accepts the
// tokens of another response, missing, repeated or reordered ones.
func TestCompletion(t *testing.T) {
	en := model.New(model.WithResponseTokens(3, 3))
	req := body("where is the key", "")
	var doc struct {
		Choices []struct {
			Message struct{ Content string }
			Finish  string `json:"finish_reason"`
		}
		Usage struct {
			Total int `json:"total_tokens"`
		}
	}
	if err := json.Unmarshal(post(en, "r1", req).Body.Bytes(), &doc); err != nil {
		t.Fatal(err)
	}
	text := doc.Choices[0].Message.Content
	if n, err := model.Check([]byte(req), text); n != 3 || err != nil || doc.Usage.Total != 8 {
		t.Errorf("Check = %d, %v with usage %d, want 3, nil and 8", n, err, doc.Usage.Total)
	}
	fields := strings.Fields(text)
	for name, wrong := range map[string]string{
		"token missing": fields[0] + " " + fields[2],
		"out of order":  fields[1] + " " + fields[0],
		"repeated":      fields[0] + " " + fields[0],
	} {
		if _, err := model.Check([]byte(req), wrong); err == nil {
			t.Errorf("%s: Check accepts %q", name, wrong)
		}
	}
	if _, err := model.Check([]byte(body("where is the door", "")), text); err == nil {
		t.Error("Check accepts the response to another request")
	}
	var streamed strings.Builder
	sc := bufio.NewScanner(post(en, "r2", body("where is the key", `,"stream":true,"max_tokens":2,"stream_options":{"include_usage":true}`)).Body)
	lines := 0
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		var ev struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if !ok || json.Unmarshal([]byte(data), &ev) != nil {
			continue
		}
		lines++
		for _, ch := range ev.Choices {
			streamed.WriteString(ch.Delta.Content)
		}
	}
	if want := fields[0] + " " + fields[1]; streamed.String() != want || lines != 4 {
		t.Errorf("streamed %q in %d events, want %q in 4", streamed.String(), lines, want)
	}
}

// TestPriority guards against a queue that ignores the priority or the order
// of arrival, and against more running calls than slots.
func TestPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		en := model.New(model.WithSlots(1), model.WithQueue(3), model.WithResponseTokens(1, 1), model.WithTokenTime(time.Second))
		for idx, priority := range []int{5, 9, 1, 9, 0} {
			id := fmt.Sprintf("r%d", idx)
			go post(en, id, body(id, fmt.Sprintf(`,"priority":%d`, priority)))
			synctest.Wait()
		}
		want := model.Load{Running: 1, Waiting: 3, Slots: 1, QueuedTokens: 4, TokensPerSecond: 1}
		if diff := cmp.Diff(want, en.Load()); diff != "" {
			t.Errorf("load (-want +got):\n%s", diff)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		var got []string
		for _, ru := range en.Runs() {
			got = append(got, fmt.Sprintf("%s %d %s", ru.Request, ru.StartOrder, ru.State))
		}
		order := []string{"r0 1 completed", "r1 3 completed", "r2 2 completed", "r3 4 completed", "r4 0 refused"}
		if diff := cmp.Diff(order, got); diff != "" {
			t.Errorf("runs (-want +got):\n%s", diff)
		}
	})
}

// TestProcessingTimes guards against wrong processing times, a prefix cache that
// saves no prefill, and a load report without its lag.
func TestProcessingTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		en := model.New(model.WithResponseTokens(10, 10), model.WithTokenTime(time.Second),
			model.WithPrefillTime(time.Second), model.WithCache(64))
		en.Set(model.Setting{}.WithLoadLag(15_000))
		shared := strings.Repeat("x ", 31)
		elapsed := func(text string) time.Duration {
			start := time.Now()
			post(en, "r", body(text, ""))
			return time.Since(start)
		}
		got := []time.Duration{elapsed(shared + "a b"), elapsed(shared + "c")}
		en.Set(model.Setting{}.WithSlowFactor(2).WithLoadLag(15_000))
		got = append(got, elapsed("d"))
		// The prompts have 34 tokens, 33 of which 32 are cached, and 2 at double
		// processing time. Each response has 10 tokens.
		want := []time.Duration{44 * time.Second, 11 * time.Second, 24 * time.Second}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("times (-want +got):\n%s", diff)
		}
		if lo := get[model.Load](t, en, "/load"); lo.Running != 1 {
			t.Errorf("lagging load %+v, want the last call still running", lo)
		}
	})
}

// TestEvents guards against cache events that are published before their lag has
// passed or are not lost although a share of them should be.
func TestEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		en := model.New(model.WithCache(32), model.WithCacheEvents(time.Minute, 0.5))
		for idx := range 20 {
			post(en, "r", body(strings.Repeat(fmt.Sprint("w", idx, " "), 16), ""))
		}
		if evs := get[[]model.CacheEvent](t, en, "/cache/events"); len(evs) != 0 {
			t.Errorf("%d events before the lag, want none", len(evs))
		}
		time.Sleep(time.Minute)
		evs := get[[]model.CacheEvent](t, en, "/cache/events")
		rest := get[[]model.CacheEvent](t, en, fmt.Sprint("/cache/events?after=", evs[0].Seq))
		// 20 blocks are stored and 18 evicted, which makes 38 sequence numbers.
		if n := len(evs); n == 0 || n >= 38 || len(rest) != n-1 {
			t.Errorf("%d events, then %d, want a part of 38 and one less", n, len(rest))
		}
		if !slices.ContainsFunc(evs, func(ev model.CacheEvent) bool { return ev.Kind == "removed" }) {
			t.Error("no eviction, want the cache to be limited")
		}
	})
}

// TestOrders guards against an order that is executed although its fencing number
// is superseded, and against a stand-in that rejects it without fencing.
func TestOrders(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		en := model.New(model.WithFencing(fencing), model.WithModels("m"))
		for _, fence := range []int{5, 4, 5} {
			control(en, "/orders", fmt.Sprintf(`{"fence":%d,"kind":"loadModel","subject":"n%d"}`, fence, fence))
		}
		want := []model.Order{{Fence: 5, Kind: "loadModel", Subject: "n5"}, {Fence: 5, Kind: "loadModel", Subject: "n5"}}
		if !fencing {
			want = slices.Insert(want, 1, model.Order{Fence: 4, Kind: "loadModel", Subject: "n4"})
		}
		if diff := cmp.Diff(want, en.Orders()); diff != "" {
			t.Errorf("fencing %v: orders (-want +got):\n%s", fencing, diff)
		}
		for name, status := range map[string]int{"m": 200, "n5": 200, "other": 404} {
			req := strings.Replace(body("x", ""), `"m"`, fmt.Sprintf("%q", name), 1)
			if got := post(en, "r", req).Code; got != status {
				t.Errorf("model %s: status %d, want %d", name, got, status)
			}
		}
	}
}

// TestAbortedCalls guards against a call that continues after its client has
// disconnected or after FailAfter ended it, and against a leaving engine that
// accepts calls.
func TestAbortedCalls(t *testing.T) {
	// The response is too long to end before the client disconnects.
	en := model.New(model.WithResponseTokens(1<<30, 1<<30))
	srv := httptest.NewServer(en)
	defer srv.Close()
	open := func(ctx context.Context, id string) *http.Response {
		re, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/v1/chat/completions",
			strings.NewReader(body("x", `,"stream":true`)))
		if err != nil {
			t.Fatal(err)
		}
		re.Header.Set("X-Request-Id", id)
		resp, err := http.DefaultClient.Do(re)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	control(en, "/control/engine", `{"failAfter":7}`)
	data, err := io.ReadAll(open(t.Context(), "failed").Body)
	if err == nil || strings.Count(string(data), "data: ") != 7 {
		t.Errorf("read %q, %v, want 7 events and an error", data, err)
	}
	control(en, "/control/engine", `{"failAfter":0}`)
	ctx, cancel := context.WithCancel(t.Context())
	open(ctx, "gone")
	cancel()
	control(en, "/control/engine", `{"leaving":true}`)
	if got := open(t.Context(), "leaving").StatusCode; got != http.StatusServiceUnavailable {
		t.Errorf("leaving: status %d, want 503", got)
	}
	// Close waits until the calls have ended.
	srv.Close()
	want := []model.Run{{Request: "failed", State: model.Failed}, {Request: "gone", State: model.Cancelled}}
	ignore := cmpopts.IgnoreFields(model.Run{}, "Prompt", "StartOrder", "Produced")
	if diff := cmp.Diff(want, en.Runs(), ignore); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
	if lo := en.Load(); lo.Running != 0 || lo.QueuedTokens != 0 {
		t.Errorf("load %+v after all calls ended, want none", lo)
	}
}
