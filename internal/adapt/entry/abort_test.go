package entry_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// abortMeter sends the attributes of each record of an aborted response.
type abortMeter struct {
	meter.Nop
	aborts chan map[string]string
}

func (am abortMeter) Log(ev meter.Event, attrs ...slog.Attr) {
	if ev.Number != 1304 {
		return
	}
	got := map[string]string{}
	for _, at := range attrs {
		got[at.Key] = at.Value.String()
	}
	am.aborts <- got
}

// startedStream is the response of an upstream that sends a stream.
type startedStream struct{ proxy.Response }

func (startedStream) Status() int         { return http.StatusOK }
func (startedStream) Header() http.Header { return http.Header{} }

// breakingHandler starts a stream, writes one event and does not complete it. It
// waits for the end of its context if the path is /wait/.
type breakingHandler struct{ wrote chan struct{} }

func (bh breakingHandler) Serve(ctx context.Context, info proxy.RequestInfo, _ proxy.Sender, rw proxy.ResponseWriter) (bool, *refuse.Refusal) {
	sw, _ := rw.StartStream(startedStream{})
	_ = sw.WriteEvent(proxy.Event{Number: 0, Data: []byte("id: 0\n\n")})
	close(bh.wrote)
	if info.Path == "/wait/" {
		<-ctx.Done()
	}
	return true, refuse.New(refuse.UpstreamFailed, "broken")
}

// TestAbortedResponseIsLogged guards against logs in which a caller that left cannot
// be told from a response that the router broke off.
func TestAbortedResponseIsLogged(t *testing.T) {
	for _, tc := range []struct {
		cause, path string
		end         func(nc net.Conn, sv *entry.Server)
	}{
		{"responseBroken", "/", func(net.Conn, *entry.Server) {}},
		{"callerLeft", "/wait/", func(nc net.Conn, _ *entry.Server) { _ = nc.Close() }},
		{"routerStopped", "/wait/", func(_ net.Conn, sv *entry.Server) { sv.Drain(time.Now()); _ = sv.Close() }},
	} {
		t.Run(tc.cause, func(t *testing.T) {
			am := abortMeter{aborts: make(chan map[string]string, 1)}
			bh := breakingHandler{wrote: make(chan struct{})}
			sv := startServerWith(t, bh, func() intent.Limits { return intent.Limits{} }, entry.WithMeter(am))
			nc := dialServer(t, sv)
			_, _ = io.WriteString(nc, "GET "+tc.path+" HTTP/1.1\r\nHost: h\r\n"+idField+"\r\n")
			<-bh.wrote
			tc.end(nc, sv)
			got := <-am.aborts
			delete(got, "readError")
			delete(got, "writeError")
			want := map[string]string{
				"request": "r1", "cause": tc.cause, "header": "true", "events": "1", "reason": string(refuse.UpstreamFailed), "detail": "broken",
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("record (-want +got):\n%s", diff)
			}
		})
	}
}
