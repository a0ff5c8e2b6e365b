package plain_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/plain"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/action"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
	"github.com/balsamwood/balsamwood/internal/fake/script"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

func discard(engine.Chunk) error { return nil }

// TestForward guards against a call whose key, body, status or content type is not
// forwarded, and against credentials of the caller that are.
func TestForward(t *testing.T) {
	sv := action.New()
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		if auth := re.Header.Get("Authorization"); auth != "" {
			t.Errorf("authorization %q was forwarded to the service", auth)
		}
		sv.ServeHTTP(wr, re)
	}))
	defer srv.Close()
	var body strings.Builder
	res, err := plain.New(srv.URL).Run(t.Context(), engine.Call{
		Request: "r1", Key: "k1", Method: http.MethodPost, Path: "/filings", Body: []byte(`{"site":3}`),
		Header: []engine.Field{{Name: "content-type", Value: "application/json"}, {Name: "Authorization", Value: "secret"}},
	}, func(ch engine.Chunk) error {
		body.Write(ch.Data)
		return nil
	})
	want := engine.Result{Status: 201, Header: []engine.Field{{Name: "Content-Type", Value: "application/json"}}}
	if diff := cmp.Diff(want, res); diff != "" || err != nil || !strings.Contains(body.String(), `"id":"1"`) {
		t.Errorf("response %q, %v (-want +got):\n%s", body.String(), err, diff)
	}
	effects := []action.Effect{{ID: "1", Path: "/filings", Key: "k1", Request: "r1", Body: `{"site":3}`}}
	if diff := cmp.Diff(effects, sv.Effects()); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
}

// TestRetainedChunks guards against a chunk that is overwritten after it was passed
// to emit: the sidecar retains chunks to resume a stream.
func TestRetainedChunks(t *testing.T) {
	want := strings.Repeat("0123456789abcdef_", 10_000)
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write([]byte(want))
	}))
	defer srv.Close()
	var retained [][]byte
	ca := engine.Call{Method: http.MethodGet, Path: "/filings"}
	if _, err := plain.New(srv.URL).Run(t.Context(), ca, func(ch engine.Chunk) error {
		retained = append(retained, ch.Data)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if got := string(bytes.Join(retained, nil)); got != want {
		t.Errorf("%d bytes in %d chunks differ from the %d bytes that were sent", len(got), len(retained), len(want))
	}
}

// TestLostResponse guards against a call that reaches the service twice because
// net/http repeats it on a kept-alive connection or follows a redirect.
func TestLostResponse(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodGet, http.MethodDelete} {
		for _, body := range []string{"", "{}"} {
			var arrived atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
				if re.URL.Path == "/warm" {
					return
				}
				arrived.Add(1)
				if re.URL.Path == "/moved" {
					http.Redirect(wr, re, "/acted", http.StatusTemporaryRedirect)
					return
				}
				fault.Abort()
			}))
			up := plain.New(srv.URL)
			ca := engine.Call{Method: http.MethodPost, Path: "/warm"}
			if _, err := up.Run(t.Context(), ca, discard); err != nil {
				t.Fatal(err)
			}
			ca = engine.Call{Method: method, Path: "/acted", Key: "k1", Body: []byte(body)}
			_, err := up.Run(t.Context(), ca, discard)
			if rf := refuse.From(err); arrived.Load() != 1 || rf.Reason != refuse.UpstreamFailed || rf.Outcome != refuse.Unknown {
				t.Errorf("%s with body %q: %d calls, %v; want 1 and an unknown outcome", method, body, arrived.Load(), err)
			}
			ca.Path = "/moved"
			if res, err := up.Run(t.Context(), ca, discard); arrived.Load() != 2 || res.Status != http.StatusTemporaryRedirect {
				t.Errorf("%s with body %q: %d calls, status %d, %v; want the redirect as the response", method, body, arrived.Load(), res.Status, err)
			}
			srv.Close()
		}
	}
}

// TestOutcome guards against a lost or incomplete response that is treated as a
// refusal or as a complete response, and against a path outside the service.
func TestOutcome(t *testing.T) {
	sv := action.New()
	incomplete := func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Length", "10")
		_, _ = wr.Write([]byte("12345"))
	}
	tooLarge := func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write(make([]byte, 101)) }
	tests := []struct {
		name    string
		handler http.Handler
		path    string
		want    refuse.Reason
	}{
		{"response lost after effect", sv, "/vouchers", refuse.UpstreamFailed},
		{"incomplete response", http.HandlerFunc(incomplete), "/vouchers", refuse.Truncated},
		{"response too large", http.HandlerFunc(tooLarge), "/vouchers", refuse.UpstreamFailed},
		{"connection refused", nil, "/vouchers", refuse.Busy},
		{"other host", sv, "//other/vouchers", refuse.BadRequest},
		{"not absolute", sv, "@other/vouchers", refuse.BadRequest},
		{"dot segment", sv, "/vouchers/%2e%2e/control/faults", refuse.BadRequest},
	}
	for _, tt := range tests {
		srv := httptest.NewServer(tt.handler)
		if tt.handler == nil {
			srv.Close()
		}
		sv.Faults().Set(fault.Setting{}.WithLoseNext(1))
		ca := engine.Call{Method: http.MethodPost, Path: tt.path, Key: "k1", Body: []byte(`{}`)}
		_, err := plain.New(srv.URL, plain.WithMaxResponseBytes(100)).Run(t.Context(), ca, discard)
		if rf := refuse.From(err); err == nil || rf.Reason != tt.want || rf.Outcome != tt.want.Outcome() {
			t.Errorf("%s: Run = %v, want %s", tt.name, err, tt.want)
		}
		srv.Close()
	}
	if n := len(sv.Effects()); n != 1 {
		t.Errorf("%d effects, want 1", n)
	}
}

// TestUnresponsiveService guards against a call that continues to wait for the
// response of a service after its context has ended.
func TestUnresponsiveService(t *testing.T) {
	sv := action.New()
	sv.Faults().Set(fault.Setting{}.WithSilent(true))
	ctx, cancel := context.WithCancel(t.Context())
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		cancel()
		sv.ServeHTTP(wr, re)
	}))
	defer srv.Close()
	for _, want := range []refuse.Outcome{refuse.Unknown, refuse.NotRun} {
		ca := engine.Call{Method: http.MethodPost, Path: "/vouchers", Key: "k1", Body: []byte(`{}`)}
		if _, err := plain.New(srv.URL).Run(ctx, ca, discard); refuse.From(err).Outcome != want {
			t.Errorf("Run = %v, want outcome %s", err, want)
		}
	}
}

// TestLoad guards against a load report that does not show that the service is
// leaving.
func TestLoad(t *testing.T) {
	sv := action.New(action.WithSlots(3))
	sv.SetLeaving(true)
	srv := httptest.NewServer(sv)
	defer srv.Close()
	lo, err := plain.New(srv.URL).Load(t.Context())
	if err != nil || lo.Slots != 3 || !lo.Leaving {
		t.Errorf("Load = %+v, %v, want 3 slots and leaving", lo, err)
	}
}

// TestSecondCopyOfRefusal guards against passing on the late copy of an error response as
// the result of the next call, which the service runs.
func TestSecondCopyOfRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	sv, err := script.New([]string{refusal, refusal + answer}, []string{answer, answer})
	if err != nil {
		t.Fatal(err)
	}
	defer sv.Close()
	up := plain.New("http://" + sv.Addr())
	var got []int
	for _, key := range []ident.Key{"k1", "k2"} {
		res, err := up.Run(t.Context(), engine.Call{Method: http.MethodPost, Path: "/vouchers", Key: key, Body: []byte(`{}`)}, discard)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, res.Status)
	}
	if diff := cmp.Diff([]int{http.StatusServiceUnavailable, http.StatusOK}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}
