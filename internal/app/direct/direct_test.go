package direct_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/direct"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/fake/table"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// fixedView returns fixed values.
type fixedView struct {
	conf intent.Config
	ups  place.EndpointMap
}

func (fv fixedView) Config() intent.Config        { return fv.conf }
func (fv fixedView) Upstreams() place.EndpointMap { return fv.ups }

// upstreamStep says how an upstream responds to one attempt.
type upstreamStep struct {
	err    error
	status int
	// events lists the event numbers of a stream; end is the error after them, and
	// gap the time before each event and before the end.
	events []int64
	end    error
	gap    time.Duration
	// leaving announces that the upstream leaves, and quietFor asks for no request.
	leaving  bool
	quietFor time.Duration
	// silent blocks the attempt until it is cancelled.
	silent bool
	// after is the time that the upstream takes to respond, unless the attempt is
	// cancelled before.
	after time.Duration
}

// fakeCaller is a request whose attempts follow a script. It also records the
// response to the caller.
type fakeCaller struct {
	script []upstreamStep
	// mu guards attempts, which may go on side by side.
	mu       sync.Mutex
	attempts []proxy.Attempt
	events   []int64
	status   int
	ended    bool
	starts   int
}

func (ca *fakeCaller) Send(ctx context.Context, at proxy.Attempt) (proxy.Response, error) {
	ca.mu.Lock()
	us := ca.script[min(len(ca.attempts), len(ca.script)-1)]
	ca.attempts = append(ca.attempts, at)
	ca.mu.Unlock()
	if us.silent {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", proxy.ErrIncomplete, ctx.Err())
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", proxy.ErrIncomplete, ctx.Err())
	case <-time.After(us.after):
	}
	if us.err != nil {
		return nil, us.err
	}
	return &fakeResponse{upstreamStep: us}, nil
}

func (ca *fakeCaller) WriteResponse(rsp proxy.Response, _ []byte) error {
	ca.status, ca.ended = rsp.Status(), true
	return nil
}
func (ca *fakeCaller) StartStream(rsp proxy.Response) (proxy.StreamWriter, error) {
	ca.status = rsp.Status()
	ca.starts++
	return ca, nil
}
func (ca *fakeCaller) WriteEvent(ev proxy.Event) error {
	ca.events = append(ca.events, ev.Number)
	return nil
}
func (ca *fakeCaller) End() error { ca.ended = true; return nil }

type fakeResponse struct {
	upstreamStep
	next int
}

func (rsp *fakeResponse) Status() int                          { return rsp.status }
func (rsp *fakeResponse) Load() (proxy.Load, bool)             { return proxy.Load{}, false }
func (rsp *fakeResponse) IsStream() bool                       { return rsp.events != nil }
func (rsp *fakeResponse) Body(context.Context) ([]byte, error) { return nil, rsp.end }
func (rsp *fakeResponse) Notice() proxy.Notice {
	no := proxy.Notice{Leaving: rsp.leaving}
	if rsp.quietFor > 0 {
		no.QuietUntil = time.Now().Add(rsp.quietFor)
	}
	return no
}
func (rsp *fakeResponse) Close() {}
func (rsp *fakeResponse) NextEvent(context.Context) (proxy.Event, error) {
	time.Sleep(rsp.gap)
	if rsp.next == len(rsp.events) {
		return proxy.Event{}, rsp.end
	}
	rsp.next++
	return proxy.Event{Number: rsp.events[rsp.next-1]}, nil
}

const prepaid = 10_000

var account = ident.BudgetRef{Account: "desk", Budget: direct.Prepaid}

func routes() []intent.Route {
	base := intent.Route{Host: "h", Timeout: 5 * time.Second, LatencyGoal: 500 * time.Millisecond, AttemptLimit: 2, Targets: []intent.Target{{Service: "s", Weight: 1}}}
	kinds := map[string]func(ro *intent.Route){
		"/idem/":   func(ro *intent.Route) { ro.Kind = intent.Idempotent },
		"/once/":   func(ro *intent.Route) { ro.Kind = intent.NonIdempotent },
		"/stream/": func(ro *intent.Route) { ro.Kind = intent.Stream },
		"/resume/": func(ro *intent.Route) { ro.Kind, ro.Resumable = intent.Stream, true },
		"/three/":  func(ro *intent.Route) { ro.Kind, ro.Resumable, ro.AttemptLimit = intent.Stream, true, 3 },
	}
	var out []intent.Route
	for prefix, change := range kinds {
		ro := base
		ro.Name, ro.Prefix = prefix, prefix
		change(&ro)
		out = append(out, ro)
	}
	return out
}

// fixture is a service with its own upstreams and ledger.
type fixture struct {
	svc    *direct.Service
	ups    place.EndpointMap
	ledger *budget.Ledger
	holder *budget.Holder
	// cold is the limit of the cold upstreams, which is none at first.
	cold *coldView
}

func newFixture(t *testing.T, upstreams int, reserve int, opts ...direct.Option) fixture {
	t.Helper()
	conf := intent.New(3, intent.Limits{}).WithRoutes(routes()...).
		WithServices(intent.Service{Name: "s", Engine: true, EventTokens: 5}).
		WithAccounts(intent.Account{Name: "desk", Keys: []string{"k"}, Prepaid: prepaid, Metered: true})
	var ups []place.Upstream
	for no := range upstreams {
		ups = append(ups, place.Upstream{ID: ident.Upstream(fmt.Sprint("i", no)), Service: "s", Slots: 8})
	}
	le := budget.NewLedger(table.New().Client(), codec.Ledger())
	hd := budget.NewHolder("r1", "vm", "d", le, budget.WithPrepaid(
		func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return prepaid, 3, true }))
	if err := hd.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	opts = append(opts, direct.WithRetries(func() direct.RetryBudget {
		return retry.NewBudget(retry.WithRatio(0), retry.WithReserve(reserve))
	}))
	cold := &coldView{}
	fx := fixture{ups: place.EndpointMap{}.WithColdView(cold).WithUpstreams(ups...), ledger: le, holder: hd, cold: cold}
	fx.svc = direct.New(fixedView{conf, fx.ups}, hd, opts...)
	return fx
}

func newRequest(path string) proxy.RequestInfo {
	return proxy.RequestInfo{ID: "q", Host: "h", Path: path, Key: "k", Arrived: time.Now(), LastEvent: -1,
		Prompt: &proxy.Prompt{Input: 100, MaxOutput: 50, Parts: []proxy.Part{{ID: "a", Tokens: 60}, {ID: "b", Tokens: 40}}}}
}

var (
	errNotSent    = fmt.Errorf("%w: refused", proxy.ErrNotSent)
	errNotRun     = fmt.Errorf("%w: full", proxy.ErrNotRun)
	errIncomplete = fmt.Errorf("%w: reset", proxy.ErrIncomplete)
)

// TestRepeat guards against requests that run twice although the route forbids
// it, that fail although a retry is allowed, that are refused with a false
// outcome, and that are not charged exactly once.
func TestRepeat(t *testing.T) {
	ok := upstreamStep{status: 200}
	complete := upstreamStep{status: 200, events: []int64{0, 1, 2}, end: io.EOF}
	cut := upstreamStep{status: 200, events: []int64{0, 1}, end: errIncomplete}
	rest := upstreamStep{status: 200, events: []int64{2}, end: io.EOF}
	for _, tc := range []struct {
		name, path string
		script     []upstreamStep
		attempts   int
		events     []int64
		refusal    refuse.Reason
		outcome    refuse.Outcome
		charged    ident.Tokens
	}{
		{"served", "/once/", []upstreamStep{ok}, 1, nil, "", "", 100},
		{"once: retried if not sent", "/once/", []upstreamStep{{err: errNotSent}, ok}, 2, nil, "", "", 100},
		{"once: retried if not run", "/once/", []upstreamStep{{err: errNotRun}, ok}, 2, nil, "", "", 100},
		{"once: not retried if unknown", "/once/", []upstreamStep{{err: errIncomplete}, ok}, 1, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"once: error response is forwarded", "/once/", []upstreamStep{{status: 500}}, 1, nil, "", "", 0},
		{"once: no upstream accepts it", "/once/", []upstreamStep{{err: errNotRun}}, 3, nil, refuse.NoUpstream, refuse.NotRun, 0},
		{"once: status 408 without proof", "/once/", []upstreamStep{{status: 408}, ok}, 1, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"once: status 421 without proof", "/once/", []upstreamStep{{status: 421}, ok}, 1, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"once: status 429 without proof", "/once/", []upstreamStep{{status: 429}, ok}, 1, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"once: status 503 without proof", "/once/", []upstreamStep{{status: 503}, ok}, 1, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"once: status 503 after a refusal", "/once/", []upstreamStep{{err: errNotRun}, {status: 503}, ok}, 2, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"stream: status 503 without proof", "/stream/", []upstreamStep{{status: 503}, complete}, 1, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"idempotent: status 429 is retried", "/idem/", []upstreamStep{{status: 429}, ok}, 2, nil, "", "", 100},
		{"idempotent: status 503 twice", "/idem/", []upstreamStep{{status: 503}}, 2, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"idempotent: refused after a run", "/idem/", []upstreamStep{{err: errIncomplete}, {err: errNotRun}}, 3, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"stream: refused after an event", "/resume/", []upstreamStep{cut, {err: errNotRun}}, 3, []int64{0, 1}, refuse.UpstreamFailed, refuse.Unknown, 110},
		{"idempotent: retried if unknown", "/idem/", []upstreamStep{{err: errIncomplete}, ok}, 2, nil, "", "", 100},
		{"idempotent: error response is retried", "/idem/", []upstreamStep{{status: 500}, ok}, 2, nil, "", "", 100},
		{"idempotent: two runs at most", "/idem/", []upstreamStep{{err: errIncomplete}}, 2, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"stream served", "/stream/", []upstreamStep{complete}, 1, []int64{0, 1, 2}, "", "", 115},
		{"broken stream is not retried", "/stream/", []upstreamStep{cut, rest}, 1, []int64{0, 1}, refuse.UpstreamFailed, refuse.Unknown, 110},
		{"stream resumed", "/resume/", []upstreamStep{cut, rest}, 2, []int64{0, 1, 2}, "", "", 115},
		{"repeated events are skipped", "/resume/", []upstreamStep{cut, complete}, 2, []int64{0, 1, 2}, "", "", 115},
		{"missing event ends the stream", "/resume/", []upstreamStep{cut, {status: 200, events: []int64{3}, end: io.EOF}}, 2, []int64{0, 1}, refuse.UpstreamFailed, refuse.Unknown, 110},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t, 3, 10)
			ca := &fakeCaller{script: tc.script}
			_, re := fx.svc.Serve(t.Context(), newRequest(tc.path), ca, ca)
			if re == nil {
				re = &refuse.Refusal{}
			}
			type result struct {
				Attempts int
				Events   []int64
				Reason   refuse.Reason
				Outcome  refuse.Outcome
				Ended    bool
				Charged  ident.Tokens
			}
			want := result{tc.attempts, tc.events, tc.refusal, tc.outcome, tc.refusal == "", tc.charged}
			got := result{len(ca.attempts), ca.events, re.Reason, re.Outcome, ca.ended, fx.holder.Counts(account).Unsettled}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			seen := map[ident.Upstream]bool{}
			for _, at := range ca.attempts {
				if seen[at.Upstream.ID] {
					t.Errorf("%s got the request twice", at.Upstream.ID)
				}
				seen[at.Upstream.ID] = true
			}
		})
	}
}

// TestNoRest guards against charging, retrying or reporting a stream in a wrong way
// whose next upstream responds with an error or without an event, against blaming a
// part of the prompt for that and not only for the end of the first upstream, and
// against avoiding an upstream that is sound.
func TestNoRest(t *testing.T) {
	cut := upstreamStep{status: 200, events: []int64{0, 1}, end: errIncomplete}
	rest := upstreamStep{status: 200, events: []int64{2}, end: io.EOF}
	for _, tc := range []struct {
		name     string
		path     string
		script   []upstreamStep
		attempts int
		reason   refuse.Reason
		charged  ident.Tokens
		suspects int
	}{
		{"client error", "/resume/", []upstreamStep{cut, {status: 404}, rest}, 2, refuse.UpstreamFailed, 110, 1},
		{"server error", "/resume/", []upstreamStep{cut, {status: 500}, rest}, 2, refuse.UpstreamFailed, 110, 2},
		{"client error, then the rest", "/three/", []upstreamStep{cut, {status: 404}, rest}, 3, "", 115, 1},
		{"server error, then the rest", "/three/", []upstreamStep{cut, {status: 500}, rest}, 3, "", 115, 2},
		{"no event", "/resume/", []upstreamStep{cut, {status: 200, events: []int64{}, end: io.EOF}, rest}, 2, refuse.UpstreamFailed, 110, 1},
		{"no event, then the rest", "/three/", []upstreamStep{cut, {status: 200, events: []int64{}, end: io.EOF}, rest}, 3, "", 115, 1},
		{"old events", "/three/", []upstreamStep{cut, {status: 200, events: []int64{0, 1}, end: io.EOF}, rest}, 3, "", 115, 1},
		{"not run, then the rest", "/resume/", []upstreamStep{cut, {err: errNotRun}, rest}, 3, "", 115, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guard := &scriptedGuard{}
				fx := newFixture(t, 4, 10, direct.WithPartGuard(guard))
				ca := &fakeCaller{script: tc.script}
				_, re := fx.svc.Serve(t.Context(), newRequest(tc.path), ca, ca)
				if re == nil {
					re = &refuse.Refusal{}
				}
				suspects := 0
				for _, ep := range fx.ups.Service("s") {
					if ep.Suspect(time.Now()) {
						suspects++
					}
				}
				type result struct {
					Attempts, Starts, Suspects int
					Ended                      []ident.Upstream
					Reason                     refuse.Reason
					Charged                    ident.Tokens
				}
				want := result{tc.attempts, 1, tc.suspects, []ident.Upstream{ca.attempts[0].Upstream.ID}, tc.reason, tc.charged}
				got := result{len(ca.attempts), ca.starts, suspects, guard.ended, re.Reason, fx.holder.Counts(account).Unsettled}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("result (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestResumeFrom guards against resuming a stream at another event than the one
// after the last that the caller has.
func TestResumeFrom(t *testing.T) {
	fx := newFixture(t, 3, 10)
	ca := &fakeCaller{script: []upstreamStep{{status: 200, events: []int64{4, 5}, end: errIncomplete}, {status: 200, events: []int64{6}, end: io.EOF}}}
	ri := newRequest("/resume/")
	ri.LastEvent = 3
	if _, re := fx.svc.Serve(t.Context(), ri, ca, ca); re != nil {
		t.Fatal(re)
	}
	if diff := cmp.Diff([]int64{3, 5}, []int64{ca.attempts[0].LastEvent, ca.attempts[1].LastEvent}); diff != "" || ca.starts != 1 {
		t.Errorf("%d headers; last events (-want +got):\n%s", ca.starts, diff)
	}
}

// TestRefused guards against requests that run without a route, a key or
// tokens, and against refusals with a wrong reason.
func TestRefused(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(ri *proxy.RequestInfo)
		want   refuse.Reason
	}{
		{"no route", func(ri *proxy.RequestInfo) { ri.Path = "/none/" }, refuse.UnknownService},
		{"other host", func(ri *proxy.RequestInfo) { ri.Host = "x" }, refuse.UnknownService},
		{"no key", func(ri *proxy.RequestInfo) { ri.Key = "" }, refuse.Unauthorized},
		{"over the budget", func(ri *proxy.RequestInfo) { ri.Prompt.MaxOutput = prepaid }, refuse.OverBudget},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t, 1, 10)
			ri := newRequest("/once/")
			tc.change(&ri)
			ca := &fakeCaller{script: []upstreamStep{{status: 200}}}
			_, re := fx.svc.Serve(t.Context(), ri, ca, ca)
			if re == nil || re.Reason != tc.want || re.Outcome != refuse.NotRun || len(ca.attempts) != 0 {
				t.Errorf("refusal %v after %d attempts, want %s after none", re, len(ca.attempts), tc.want)
			}
		})
	}
}

// TestRetryBudget guards against retries that multiply the load during a fault.
func TestRetryBudget(t *testing.T) {
	fx := newFixture(t, 3, 2)
	sends := 0
	for range 10 {
		ca := &fakeCaller{script: []upstreamStep{{err: errIncomplete}}}
		_, _ = fx.svc.Serve(t.Context(), newRequest("/idem/"), ca, ca)
		sends += len(ca.attempts)
	}
	if sends != 12 {
		t.Errorf("%d sends for 10 requests with a retry budget of 2", sends)
	}
}

// TestDeadline guards against a response after the timeout of the route, and
// against the outcome notRun for a request that was sent.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1, 10)
		ca := &fakeCaller{script: []upstreamStep{{silent: true}}}
		start := time.Now()
		_, re := fx.svc.Serve(t.Context(), newRequest("/once/"), ca, ca)
		if elapsed := time.Since(start); re == nil || re.Reason != refuse.TimedOut || elapsed != 5*time.Second {
			t.Errorf("refusal %v after %s, want timedOut after 5s", re, elapsed)
		}
	})
}

// TestSilentUpstream guards against waiting for an upstream that stopped sending
// while another one could serve the request in time.
func TestSilentUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2, 10)
		ca := &fakeCaller{script: []upstreamStep{{silent: true}, {status: 200, events: []int64{0}, end: io.EOF}}}
		start := time.Now()
		_, re := fx.svc.Serve(t.Context(), newRequest("/resume/"), ca, ca)
		if elapsed := time.Since(start); re != nil || elapsed > time.Second {
			t.Errorf("refusal %v after %s, want a response within a second", re, elapsed)
		}
	})
}

// TestLongPrefill guards against giving up an engine that is prefilling a long
// prompt, which sends nothing meanwhile, and against waiting as long for a short
// one.
func TestLongPrefill(t *testing.T) {
	for _, tc := range []struct {
		name     string
		tokens   ident.Tokens
		attempts int
	}{{"long prompt", 9000, 1}, {"short prompt", 400, 2}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, 2, 10)
				ca := &fakeCaller{script: []upstreamStep{
					{status: 200, events: []int64{0}, end: io.EOF, after: 800 * time.Millisecond}, {status: 200, events: []int64{0}, end: io.EOF},
				}}
				info := newRequest("/resume/")
				info.Prompt = &proxy.Prompt{Input: tc.tokens, MaxOutput: 50}
				if _, re := fx.svc.Serve(t.Context(), info, ca, ca); re != nil {
					t.Errorf("refused: %v", re)
				}
				if len(ca.attempts) != tc.attempts {
					t.Errorf("%d attempts, want %d", len(ca.attempts), tc.attempts)
				}
			})
		})
	}
}

// TestCallerGone guards against a retry for a caller that has left.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2, 10)
		ca := &fakeCaller{script: []upstreamStep{{silent: true}}}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, re := fx.svc.Serve(ctx, newRequest("/idem/"), ca, ca)
		if re == nil || re.Reason != refuse.Cancelled || len(ca.attempts) != 1 {
			t.Errorf("refusal %v after %d attempts, want cancelled after one", re, len(ca.attempts))
		}
	})
}

// TestLeaving guards against accepting requests that cannot complete before the
// process exits, and against refusing those that can.
func TestLeaving(t *testing.T) {
	for _, tc := range []struct {
		path string
		// left is the time until the process exits, and limit that until the caller's
		// deadline, or 0 if the caller has none and the timeout of the route applies.
		left, limit time.Duration
		served      bool
	}{
		{"/once/", 3 * time.Second, time.Second, true},
		{"/idem/", 3 * time.Second, time.Second, true},
		{"/stream/", 3 * time.Second, time.Second, true},
		{"/once/", 3 * time.Second, 0, false},
		{"/idem/", 3 * time.Second, 4 * time.Second, false},
		{"/stream/", 3 * time.Second, 0, false},
		{"/resume/", 3 * time.Second, 0, false},
		{"/once/", 500 * time.Millisecond, time.Second, false},
		{"/once/", 6 * time.Second, 0, true},
		{"/once/", 6 * time.Second, time.Minute, true},
	} {
		fx := newFixture(t, 1, 10)
		ri := newRequest(tc.path)
		if tc.limit > 0 {
			ri.Deadline = ri.Arrived.Add(tc.limit)
		}
		fx.svc.Leave(ri.Arrived.Add(tc.left))
		ca := &fakeCaller{script: []upstreamStep{{status: 200}}}
		_, re := fx.svc.Serve(t.Context(), ri, ca, ca)
		if served := re == nil; served != tc.served || len(ca.attempts) > 0 != tc.served {
			t.Errorf("%s with %s left and a limit of %s: refusal %v after %d attempts", tc.path, tc.left, tc.limit, re, len(ca.attempts))
		}
		if re != nil && (re.Reason != refuse.Leaving || re.Outcome != refuse.NotRun) {
			t.Errorf("%s: refused with %v", tc.path, re)
		}
	}
}
