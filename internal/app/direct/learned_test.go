package direct_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/direct"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// loadCaller is a request whose responses carry a load report.
type loadCaller struct {
	*fakeCaller
	load proxy.Load
}

func (ca loadCaller) Send(ctx context.Context, at proxy.Attempt) (proxy.Response, error) {
	rsp, err := ca.fakeCaller.Send(ctx, at)
	return loadResponse{rsp, ca.load}, err
}

type loadResponse struct {
	proxy.Response
	load proxy.Load
}

func (rsp loadResponse) Load() (proxy.Load, bool) { return rsp.load, true }

// eventCounter counts the log lines with an event number.
type eventCounter struct {
	meter.Nop
	number int
	count  *int
}

func (ec eventCounter) Log(ev meter.Event, _ ...slog.Attr) {
	if ev.Number == ec.number {
		*ec.count++
	}
}

// TestLoadReport guards against losing the valid figures of a load report because of an
// invalid one, and against a log line for each report.
func TestLoadReport(t *testing.T) {
	lines := 0
	fx := newFixture(t, 1, 0, direct.WithMeter(eventCounter{number: 1305, count: &lines}))
	ca := loadCaller{&fakeCaller{script: []upstreamStep{{status: 200}}}, proxy.Load{Running: proxy.Unreported, Waiting: 2, Slots: 8, Pace: 400, Invalid: true}}
	for range 3 {
		if _, re := fx.svc.Serve(t.Context(), newRequest("/idem/"), ca, ca); re != nil {
			t.Fatal(re)
		}
	}
	ep, _ := fx.ups.Endpoint("i0")
	type result struct {
		Slower          bool
		Requests, Lines int
	}
	got := result{ep.Pace(time.Now()) > 1.5, ep.EstimatedRequests(time.Now()), lines}
	if diff := cmp.Diff(result{true, 0, 1}, got); diff != "" {
		t.Errorf("after the reports (-want +got):\n%s", diff)
	}
}

// TestLateResponse guards against a limit that does not follow the route's goals, and
// against one that follows the pauses of the caller.
func TestLateResponse(t *testing.T) {
	events := []int64{0, 1, 2}
	conf := intent.New(3, intent.Limits{}).WithRoutes(append(routes(), intent.Route{
		Name: "gaps", Host: "h", Prefix: "/gaps/", Kind: intent.Stream, Timeout: 5 * time.Second, LatencyGoal: 500 * time.Millisecond,
		MaxEventGap: 250 * time.Millisecond, AttemptLimit: 1, Targets: []intent.Target{{Service: "s", Weight: 1}}, Anonymous: true,
	})...).WithAccounts(intent.Account{Name: "desk", Keys: []string{"k"}})
	for _, tc := range []struct {
		name, path  string
		step        upstreamStep
		callerPause time.Duration
		late        bool
	}{
		{"first event in time", "/stream/", upstreamStep{status: 200, events: events, end: io.EOF, after: 400 * time.Millisecond}, 0, false},
		{"first event late", "/stream/", upstreamStep{status: 200, events: events, end: io.EOF, after: 600 * time.Millisecond}, 0, true},
		{"broken off late", "/stream/", upstreamStep{err: errIncomplete, after: 600 * time.Millisecond}, 0, true},
		{"gap in time", "/gaps/", upstreamStep{status: 200, events: events, end: io.EOF, gap: 200 * time.Millisecond}, 0, false},
		{"gap late", "/gaps/", upstreamStep{status: 200, events: events, end: io.EOF, gap: 300 * time.Millisecond}, 0, true},
		{"response in time", "/once/", upstreamStep{status: 200, after: 400 * time.Millisecond}, 0, false},
		{"response late", "/once/", upstreamStep{status: 200, after: 600 * time.Millisecond}, 0, true},
		{"slow caller", "/once/", upstreamStep{status: 200}, time.Second, false},
		{"slow caller of an error", "/once/", upstreamStep{status: 404}, time.Second, false},
		{"slow caller of a stream", "/stream/", upstreamStep{status: 200, events: events, end: io.EOF}, time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t, 1, 0)
			svc := direct.New(fixedView{conf, fx.ups}, fx.holder)
			synctest.Test(t, func(t *testing.T) {
				ca := &fakeCaller{script: []upstreamStep{tc.step}}
				svc.Serve(t.Context(), newRequest(tc.path), ca, slowCaller{ca, tc.callerPause})
				ep, _ := fx.ups.Endpoint("i0")
				if diff := cmp.Diff(tc.late, ep.Limit(time.Now()) < 8); diff != "" {
					t.Errorf("limit %.1f is lower (-want +got):\n%s", ep.Limit(time.Now()), diff)
				}
			})
		})
	}
}

// slowCaller takes its time to read each part of a response.
type slowCaller struct {
	*fakeCaller
	pause time.Duration
}

func (ca slowCaller) WriteResponse(rsp proxy.Response, body []byte) error {
	time.Sleep(ca.pause)
	return ca.fakeCaller.WriteResponse(rsp, body)
}

func (ca slowCaller) StartStream(rsp proxy.Response) (proxy.StreamWriter, error) {
	_, err := ca.fakeCaller.StartStream(rsp)
	return ca, err
}

func (ca slowCaller) WriteEvent(ev proxy.Event) error {
	time.Sleep(ca.pause)
	return ca.fakeCaller.WriteEvent(ev)
}

func (ca slowCaller) End() error {
	time.Sleep(ca.pause)
	return ca.fakeCaller.End()
}
