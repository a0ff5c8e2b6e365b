package entry_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// headerResponse is a response of an upstream with a header only.
type headerResponse struct {
	proxy.Response
	status int
	header http.Header
}

func (hr headerResponse) Status() int         { return hr.status }
func (hr headerResponse) Header() http.Header { return hr.header.Clone() }

// handlerFunc is a handler that consists of one function.
type handlerFunc func(rw proxy.ResponseWriter) (bool, *refuse.Refusal)

func (fn handlerFunc) Serve(_ context.Context, _ proxy.RequestInfo, _ proxy.Sender, rw proxy.ResponseWriter) (bool, *refuse.Refusal) {
	return fn(rw)
}

// callOnce sends one request of the given protocol version and returns the response with
// its body, and the error that ended the body.
func callOnce(t *testing.T, ha entry.Handler, version string) (*http.Response, string, error) {
	t.Helper()
	sv := startServer(t, ha, intent.Limits{})
	nc := dialServer(t, sv)
	_, _ = io.WriteString(nc, "GET / "+version+"\r\nHost: h\r\n"+idField+"Connection: close\r\n\r\n")
	rsp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(rsp.Body)
	return rsp, string(body), err
}

// TestSecondHeader guards against a header in the middle of a response that has started.
func TestSecondHeader(t *testing.T) {
	first := headerResponse{status: http.StatusOK, header: http.Header{"Server-Stamp": {"s1"}}}
	second := headerResponse{status: http.StatusNotFound, header: http.Header{"Server-Stamp": {"s2"}}}
	results := make(chan []bool, 1)
	ha := handlerFunc(func(rw proxy.ResponseWriter) (bool, *refuse.Refusal) {
		sw, err := rw.StartStream(first)
		if err != nil {
			t.Error(err)
			return true, nil
		}
		var got []bool
		record := func(err error) { got = append(got, err != nil) }
		record(sw.WriteEvent(proxy.Event{Data: []byte("data: a\n\n")}))
		record(rw.WriteResponse(second, []byte("failed")))
		_, err = rw.StartStream(second)
		record(err)
		record(sw.WriteEvent(proxy.Event{Data: []byte("data: b\n\n")}))
		record(sw.End())
		results <- got
		return true, nil
	})
	rsp, body, err := callOnce(t, ha, "HTTP/1.1")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"s1", "data: a\n\ndata: b\n\n"}, []string{rsp.Header.Get("Server-Stamp"), body}); diff != "" {
		t.Errorf("stamp and body (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]bool{false, true, true, false, false}, <-results); diff != "" {
		t.Errorf("errors (-want +got):\n%s", diff)
	}
}

// TestBrokenStream guards against a stream that was broken off and looks complete to the
// caller, whether it gets chunks or a body up to the end of the connection.
func TestBrokenStream(t *testing.T) {
	rsp := headerResponse{status: http.StatusOK, header: http.Header{}}
	event := proxy.Event{Data: []byte("data: a\n\n")}
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, complete := range []bool{true, false} {
			ha := handlerFunc(func(rw proxy.ResponseWriter) (bool, *refuse.Refusal) {
				sw, err := rw.StartStream(rsp)
				if err != nil {
					return false, nil
				}
				_ = sw.WriteEvent(event)
				if !complete {
					return true, refuse.New(refuse.UpstreamFailed, "broken off")
				}
				_ = sw.End()
				return true, nil
			})
			if _, body, err := callOnce(t, ha, version); complete != (err == nil) || complete && body != string(event.Data) {
				t.Errorf("%s, complete %v: body %q, error %v", version, complete, body, err)
			}
		}
	}
}
