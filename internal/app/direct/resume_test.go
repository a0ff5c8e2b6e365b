package direct_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/app/direct"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/retry"
)

// The responses that a scripted upstream sends before it closes the connection.
const (
	scriptedField = "Balsamwood-Request: r1\r\n"
	streamHead    = "HTTP/1.1 200 OK\r\n" + scriptedField + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	lastChunk     = "0\r\n\r\n"
)

// chunkOf returns one chunk of a body.
func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// eventOf returns a chunk with a numbered event.
func eventOf(number int) string { return chunkOf(fmt.Sprintf("id: %d\ndata: x\n\n", number)) }

// errorOf returns a complete error response.
func errorOf(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed", status, http.StatusText(status), scriptedField)
}

// newScriptedRouter starts a router whose upstreams answer the requests in the order of the
// script, whichever of them receives one, and returns its address and the number of
// requests that arrived.
func newScriptedRouter(t *testing.T, kind intent.Kind, attemptLimit int, script ...string) (string, *atomic.Int64) {
	t.Helper()
	arrived := &atomic.Int64{}
	respond := func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			_, _ = io.WriteString(nc, script[min(int(arrived.Add(1)), len(script))-1])
		}
	}
	var ups []place.Upstream
	for no := range len(script) + 1 {
		ups = append(ups, place.Upstream{ID: ident.Upstream(fmt.Sprint("i", no)), Address: listen(t, respond), Service: "s", Slots: 8})
	}
	conf := intent.New(3, intent.Limits{}).WithServices(intent.Service{Name: "s"}).WithRoutes(intent.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Resumable: kind == intent.Stream, Timeout: 20 * time.Second,
		LatencyGoal: 10 * time.Second, AttemptLimit: attemptLimit, Targets: []intent.Target{{Service: "s", Weight: 1}},
	})
	return startRouter(t, fixedView{conf, place.EndpointMap{}.WithUpstreams(ups...)}), arrived
}

// listen starts an upstream that answers each connection, and returns its address.
func listen(t *testing.T, respond func(nc net.Conn)) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ls.Close() })
	go func() {
		for {
			nc, err := ls.Accept()
			if err != nil {
				return
			}
			go respond(nc)
		}
	}()
	return ls.Addr().String()
}

// tenRetries is a retry budget that is never used up in a test.
func tenRetries() direct.RetryBudget {
	return retry.NewBudget(retry.WithRatio(0), retry.WithReserve(10))
}

// startRouter starts a router with the view, and returns its address.
func startRouter(t *testing.T, view fixedView, opts ...direct.Option) string {
	t.Helper()
	svc := direct.New(view, nil, append(opts, direct.WithRetries(tenRetries))...)
	sv, err := entry.New("127.0.0.1:0", svc, pool.New(terms.Default()), terms.Default(), func() intent.Limits { return intent.Limits{} })
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = sv.Serve() }()
	t.Cleanup(func() { _ = sv.Close() })
	return sv.Addr()
}

// callerResponse is what the caller reads from its connection until the end.
type callerResponse struct {
	Status int
	Stamp  string
	Body   string
	// Complete says that the body ended as its framing demands.
	Complete bool
	// Rest is what follows the response on the connection.
	Rest string
}

// readResponse sends one request with the header fields and reads the connection to its
// end.
func readResponse(t *testing.T, addr, fields string) callerResponse {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n"+scriptedField+fields+"Connection: close\r\n\r\n")
	br := bufio.NewReader(nc)
	rsp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(rsp.Body)
	rest, _ := io.ReadAll(br)
	return callerResponse{rsp.StatusCode, rsp.Header.Get("Server-Stamp"), string(body), err == nil, string(rest)}
}

// checkResume runs a stream that breaks off after two events with the second response
// in its place. The caller must get a broken stream if no attempt is left, and the whole
// stream if a third upstream has the rest.
func checkResume(t *testing.T, second string) {
	t.Helper()
	first := streamHead + "Server-Stamp: s1\r\n\r\n" + eventOf(0) + eventOf(1)
	rest := streamHead + "Server-Stamp: s3\r\n\r\n" + eventOf(2) + lastChunk
	begun := "id: 0\ndata: x\n\nid: 1\ndata: x\n\n"
	type result struct {
		Arrived  int64
		Response callerResponse
	}
	for attempts, want := range map[int]callerResponse{
		2: {Status: 200, Stamp: "s1", Body: begun},
		3: {Status: 200, Stamp: "s1", Body: begun + "id: 2\ndata: x\n\n", Complete: true},
	} {
		addr, arrived := newScriptedRouter(t, intent.Stream, attempts, first, second, rest)
		got := readResponse(t, addr, "")
		if diff := cmp.Diff(result{int64(attempts), want}, result{arrived.Load(), got}); diff != "" {
			t.Errorf("with %d attempts (-want +got):\n%s", attempts, diff)
		}
	}
}

// secondHead is the header of the stream of the upstream that is to continue another.
const secondHead = streamHead + "Server-Stamp: s2\r\n\r\n"

// TestErrorDuringStream guards against a response that is no stream in the middle of a
// stream whose upstream broke off.
func TestErrorDuringStream(t *testing.T) {
	for name, second := range map[string]string{
		"400":                   errorOf(400),
		"404":                   errorOf(404),
		"409":                   errorOf(409),
		"422":                   errorOf(422),
		"302":                   errorOf(302),
		"500":                   errorOf(500),
		"503 that may have run": errorOf(503),
		"204":                   "HTTP/1.1 204 No Content\r\n" + scriptedField + "\r\n",
		"200 with text":         errorOf(200),
		"200 with text, broken": "HTTP/1.1 200 OK\r\n" + scriptedField + "Content-Length: 9\r\n\r\nfail",
		"201 with events":       strings.Replace(secondHead, "200 OK", "201 Created", 1) + eventOf(2) + lastChunk,
	} {
		t.Run(name, func(t *testing.T) { checkResume(t, second) })
	}
}

// TestStreamNotContinued guards against a complete end, and against events that do not
// belong there, when the next upstream does not continue a stream that broke off.
func TestStreamNotContinued(t *testing.T) {
	for name, second := range map[string]string{
		"no events":                secondHead + lastChunk,
		"no events and no framing": strings.Replace(secondHead, "Transfer-Encoding: chunked\r\n", "", 1),
		"only old events":          secondHead + eventOf(0) + eventOf(1) + lastChunk,
		"gap":                      secondHead + eventOf(3) + lastChunk,
		"error event":              secondHead + chunkOf("event: error\ndata: failed\n\n") + lastChunk,
		"error event after old":    secondHead + eventOf(1) + chunkOf("data: failed\n\n") + lastChunk,
		"comment":                  secondHead + chunkOf(": failed\n\n") + lastChunk,
		"text":                     secondHead + chunkOf("HTTP/1.1 500 Internal Server Error\r\n\r\n") + lastChunk,
	} {
		t.Run(name, func(t *testing.T) { checkResume(t, second) })
	}
}

// TestNotResumable guards against joining pieces of two runs: a stream of a route that
// is not resumable, or with an event whose place is not known, ends where it broke off.
func TestNotResumable(t *testing.T) {
	for name, tc := range map[string]struct {
		kind  intent.Kind
		first string
		want  string
	}{
		"route that may repeat":          {intent.Idempotent, eventOf(0), "id: 0\ndata: x\n\n"},
		"events without numbers":         {intent.Stream, chunkOf("data: x\n\n"), "data: x\n\n"},
		"event without a number at last": {intent.Stream, eventOf(0) + chunkOf("data: y\n\n"), "id: 0\ndata: x\n\ndata: y\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			whole := secondHead + eventOf(0) + chunkOf("data: y\n\n") + eventOf(1) + lastChunk
			addr, arrived := newScriptedRouter(t, tc.kind, 2, streamHead+"Server-Stamp: s1\r\n\r\n"+tc.first, whole)
			want := callerResponse{Status: 200, Stamp: "s1", Body: tc.want}
			if diff := cmp.Diff(want, readResponse(t, addr, "")); diff != "" || arrived.Load() != 1 {
				t.Errorf("%d attempts, response (-want +got):\n%s", arrived.Load(), diff)
			}
		})
	}
}

// TestCommentBeforeStream guards against a stream that ends broken off because a comment
// reached the caller, though no event did.
func TestCommentBeforeStream(t *testing.T) {
	first := streamHead + "Server-Stamp: s1\r\n\r\n" + chunkOf(": ping\n\n")
	addr, _ := newScriptedRouter(t, intent.Stream, 2, first, secondHead+eventOf(0)+eventOf(1)+lastChunk)
	want := callerResponse{Status: 200, Stamp: "s1", Body: ": ping\n\nid: 0\ndata: x\n\nid: 1\ndata: x\n\n", Complete: true}
	if diff := cmp.Diff(want, readResponse(t, addr, "")); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// TestHeadOfStream guards against chunks after a response to HEAD, which the caller would
// take for the next response.
func TestHeadOfStream(t *testing.T) {
	addr, _ := newScriptedRouter(t, intent.Stream, 2, streamHead+"\r\n")
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_, _ = io.WriteString(nc, "HEAD / HTTP/1.1\r\nHost: h\r\n"+scriptedField+"Connection: close\r\n\r\n")
	data, err := io.ReadAll(nc)
	if _, rest, ok := strings.Cut(string(data), "\r\n\r\n"); err != nil || !ok || rest != "" {
		t.Errorf("%q follows the header, error %v", rest, err)
	}
}
