package direct_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/direct"
	"github.com/balsamwood/balsamwood/internal/app/resume"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// streamRecords are the known streams of a test.
type streamRecords map[ident.Request]resume.Stream

// Began does nothing.
func (streamRecords) Began(resume.Stream, time.Time) {}

// Find returns the record.
func (sr streamRecords) Find(_ context.Context, qu resume.Query) (resume.Stream, bool) {
	st, ok := sr[qu.ID]
	return st, ok
}

// serveRelease starts an upstream that sends the events from the requested one to the
// third, or breaks off after the first two of a whole stream. Its events carry its release.
func serveRelease(t *testing.T, release string) string {
	t.Helper()
	event := func(number int) string { return chunkOf(fmt.Sprintf("id: %d\ndata: %s\n\n", number, release)) }
	return listen(t, func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		re, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		last := 0
		_, _ = fmt.Sscan(re.Header.Get("Last-Event-Id"), &last)
		body := event(1) + event(2)
		if last > 0 {
			body = event(last+1) + lastChunk
		}
		_, _ = io.WriteString(nc, streamHead+"\r\n"+body)
	})
}

// streamRoutes returns a configuration with one route, whose streams may be resumed.
func streamRoutes(goal time.Duration) intent.Config {
	return intent.New(3, intent.Limits{}).WithServices(intent.Service{Name: "s"}).WithRoutes(intent.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: intent.Stream, Resumable: true, Timeout: 5 * time.Second,
		LatencyGoal: goal, AttemptLimit: 4, Targets: []intent.Target{{Service: "s", Weight: 1}},
	})
}

// callReleases sends a request to a router with one upstream of each release, which is the
// more attractive the earlier it stands, and returns the status and the releases of the
// events.
func callReleases(t *testing.T, sr streamRecords, fields string, names ...string) (status int, events []string) {
	t.Helper()
	var ups []place.Upstream
	for no, name := range names {
		ups = append(ups, place.Upstream{ID: ident.Upstream(fmt.Sprint("i", no)), Address: serveRelease(t, name), Service: "s", Slots: 64 >> (3 * no), Release: name})
	}
	addr := startRouter(t, fixedView{streamRoutes(4 * time.Second), place.EndpointMap{}.WithUpstreams(ups...)}, direct.WithStreams(sr))
	rsp := readResponse(t, addr, fields)
	for line := range strings.SplitSeq(rsp.Body, "\n") {
		if release, ok := strings.CutPrefix(line, "data: "); ok {
			events = append(events, release)
		}
	}
	return rsp.Status, events
}

// TestStreamOfOneRelease guards against a stream that breaks off and goes on at an
// upstream of another software release, whose events do not fit.
func TestStreamOfOneRelease(t *testing.T) {
	for range 10 {
		_, events := callReleases(t, nil, "", "v1", "v2")
		if len(events) != 2 || events[0] != events[1] {
			t.Errorf("events of the releases %v, want two of one release", events)
		}
		_, events = callReleases(t, nil, "", "v1", "v2", "v1", "v2")
		if len(events) != 3 || events[0] != events[1] || events[1] != events[2] {
			t.Errorf("events of the releases %v, want three of one release", events)
		}
	}
}

// TestTakenUpStream guards against a caller that takes up a stream and gets the rest from
// another software release than the one that began it, or is refused although an upstream
// of that release is in service.
func TestTakenUpStream(t *testing.T) {
	type result struct {
		Status int
		Events []string
	}
	sr := streamRecords{"a": {Service: "s", Release: "v1"}, "b": {Service: "s", Release: "v2"}, "c": {Service: "s", Release: "v0"}}
	for _, tc := range []struct {
		name, fields string
		want         result
	}{
		{"earlier release", "Balsamwood-Resumes: a\r\nLast-Event-Id: 2\r\n", result{200, []string{"v1"}}},
		{"later release", "Balsamwood-Resumes: b\r\nLast-Event-Id: 2\r\n", result{200, []string{"v2"}}},
		{"release that is gone", "Balsamwood-Resumes: c\r\nLast-Event-Id: 2\r\n", result{503, nil}},
		{"unknown release", "Balsamwood-Resumes: d\r\nLast-Event-Id: 2\r\n", result{503, nil}},
		{"unknown stream", "Last-Event-Id: 2\r\n", result{503, nil}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, events := callReleases(t, sr, tc.fields, "v1", "v2")
			if diff := cmp.Diff(tc.want, result{status, events}); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}

// racingSender responds to the first send with an event that arrives just when another
// response has taken over, and to the second one with a whole stream. It keeps the
// releases of the events that reach the caller.
type racingSender struct {
	ups   place.EndpointMap
	sends int
	// events are the releases of the events that the caller has.
	events []string
}

// Send returns the next response.
func (rs *racingSender) Send(_ context.Context, at proxy.Attempt) (proxy.Response, error) {
	rs.sends++
	ep, _ := rs.ups.Endpoint(at.Upstream.ID)
	return &racingResponse{fakeResponse: &fakeResponse{upstreamStep: upstreamStep{status: 200}}, release: ep.Release, late: rs.sends == 1}, nil
}

// WriteResponse does nothing.
func (rs *racingSender) WriteResponse(proxy.Response, []byte) error { return nil }

// StartStream starts the stream to the caller.
func (rs *racingSender) StartStream(proxy.Response) (proxy.StreamWriter, error) { return rs, nil }

// WriteEvent keeps the release of the event.
func (rs *racingSender) WriteEvent(ev proxy.Event) error {
	rs.events = append(rs.events, string(ev.Data))
	return nil
}

// End does nothing.
func (rs *racingSender) End() error { return nil }

type racingResponse struct {
	*fakeResponse
	release string
	late    bool
	next    int64
}

// IsStream reports true.
func (*racingResponse) IsStream() bool { return true }

// NextEvent returns the next of three events, or the only one of the late response.
func (rr *racingResponse) NextEvent(ctx context.Context) (proxy.Event, error) {
	if rr.late {
		<-ctx.Done()
		if rr.next > 0 {
			return proxy.Event{}, ctx.Err()
		}
	}
	if rr.next == 3 {
		return proxy.Event{}, io.EOF
	}
	rr.next++
	return proxy.Event{Number: rr.next - 1, Data: []byte(rr.release)}, nil
}

// TestStandbyOfOtherRelease guards against a stream that a standby of another software
// release continues, because the first upstream began it while the standby responded.
func TestStandbyOfOtherRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rs := &racingSender{ups: place.EndpointMap{}.WithUpstreams(
			place.Upstream{ID: "i0", Service: "s", Slots: 8, Release: "v1"}, place.Upstream{ID: "i1", Service: "s", Slots: 8, Release: "v2"})}
		svc := direct.New(fixedView{streamRoutes(200 * time.Millisecond), rs.ups}, nil, direct.WithRetries(tenRetries))
		_, _ = svc.Serve(t.Context(), proxy.RequestInfo{ID: "a", Host: "h", Path: "/", Arrived: time.Now(), LastEvent: -1}, rs, rs)
		if len(rs.events) == 0 || rs.events[0] != rs.events[len(rs.events)-1] {
			t.Errorf("events of the releases %v, want one release", rs.events)
		}
	})
}
