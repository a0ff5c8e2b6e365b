package direct_test

import (
	"context"
	"fmt"
	"io"
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
	"github.com/balsamwood/balsamwood/internal/port/hop"
)

// belief holds fixed values.
type belief struct {
	conf intent.Config
	ups  place.Map
}

func (be belief) Config() intent.Config { return be.conf }
func (be belief) Upstreams() place.Map  { return be.ups }

// act is what an upstream does with one attempt.
type act struct {
	err    error
	status int
	// events are the numbers of a stream; end is how it ends.
	events []int64
	end    error
	// silent holds the attempt until it is cancelled.
	silent bool
}

// caller is a request whose attempts follow a script, and its reply.
type caller struct {
	script   []act
	attempts []hop.Attempt
	events   []int64
	status   int
	ended    bool
	begun    int
}

func (ca *caller) Send(ctx context.Context, at hop.Attempt) (hop.Answer, error) {
	ac := ca.script[min(len(ca.attempts), len(ca.script)-1)]
	ca.attempts = append(ca.attempts, at)
	if ac.silent {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", hop.ErrBroken, ctx.Err())
	}
	if ac.err != nil {
		return nil, ac.err
	}
	return &answer{act: ac}, nil
}

func (ca *caller) Whole(an hop.Answer, _ []byte) error {
	ca.status, ca.ended = an.Status(), true
	return nil
}
func (ca *caller) Begin(an hop.Answer) error { ca.status = an.Status(); ca.begun++; return nil }
func (ca *caller) Event(ev hop.Event) error  { ca.events = append(ca.events, ev.Number); return nil }
func (ca *caller) End() error                { ca.ended = true; return nil }

type answer struct {
	act
	next int
}

func (an *answer) Status() int                          { return an.status }
func (an *answer) Load() (hop.Load, bool)               { return hop.Load{}, false }
func (an *answer) Events() bool                         { return an.events != nil }
func (an *answer) Body(context.Context) ([]byte, error) { return nil, an.end }
func (an *answer) Close()                               {}
func (an *answer) Next(context.Context) (hop.Event, error) {
	if an.next == len(an.events) {
		return hop.Event{}, an.end
	}
	an.next++
	return hop.Event{Number: an.events[an.next-1]}, nil
}

const prepaid = 10_000

var account = ident.BudgetRef{Account: "desk", Budget: direct.Prepaid}

func routes() []intent.Route {
	base := intent.Route{Host: "h", Timeout: 5 * time.Second, Goal: 500 * time.Millisecond, Attempts: 2, Targets: []intent.Target{{Service: "s", Weight: 1}}}
	kinds := map[string]func(ro *intent.Route){
		"/idem/":   func(ro *intent.Route) { ro.Kind = intent.Idempotent },
		"/once/":   func(ro *intent.Route) { ro.Kind = intent.NonIdempotent },
		"/stream/": func(ro *intent.Route) { ro.Kind = intent.Stream },
		"/resume/": func(ro *intent.Route) { ro.Kind, ro.Resumable = intent.Stream, true },
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

// setup composes the use case over three upstreams and a ledger.
type setup struct {
	svc    *direct.Service
	ledger *budget.Ledger
	holder *budget.Holder
}

func newSetup(t *testing.T, upstreams int, slack int) setup {
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
	svc := direct.New(belief{conf, place.Map{}.WithUpstreams(ups...)}, hd, direct.WithRetries(func() direct.Retries {
		return retry.NewBudget(retry.WithRatio(0), retry.WithReserve(slack))
	}))
	return setup{svc: svc, ledger: le, holder: hd}
}

func ask(path string) hop.Ask {
	return hop.Ask{ID: "q", Host: "h", Path: path, Key: "k", Arrived: time.Now(), After: -1,
		Prompt: &hop.Prompt{Input: 100, MaxOutput: 50, Parts: []hop.Part{{ID: "a", Tokens: 60}, {ID: "b", Tokens: 40}}}}
}

var (
	errNotSent = fmt.Errorf("%w: refused", hop.ErrNotSent)
	errNotRun  = fmt.Errorf("%w: full", hop.ErrNotRun)
	errBroken  = fmt.Errorf("%w: reset", hop.ErrBroken)
)

// TestRepeat guards against a request that runs twice though it may not, is
// given up though it may be repeated, is refused with a promise that does not
// hold, and is charged more or less than once.
func TestRepeat(t *testing.T) {
	ok := act{status: 200}
	whole := act{status: 200, events: []int64{0, 1, 2}, end: io.EOF}
	cut := act{status: 200, events: []int64{0, 1}, end: errBroken}
	rest := act{status: 200, events: []int64{2}, end: io.EOF}
	for _, tc := range []struct {
		name, path string
		script     []act
		attempts   int
		events     []int64
		refusal    refuse.Reason
		outcome    refuse.Outcome
		charged    ident.Tokens
	}{
		{"served", "/once/", []act{ok}, 1, nil, "", "", 100},
		{"once: not sent goes elsewhere", "/once/", []act{{err: errNotSent}, ok}, 2, nil, "", "", 100},
		{"once: not run goes elsewhere", "/once/", []act{{err: errNotRun}, ok}, 2, nil, "", "", 100},
		{"once: unknown ends", "/once/", []act{{err: errBroken}, ok}, 1, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"once: failure is passed on", "/once/", []act{{status: 500}}, 1, nil, "", "", 0},
		{"once: nobody takes it", "/once/", []act{{err: errNotRun}}, 3, nil, refuse.NoUpstream, refuse.NotRun, 0},
		{"idempotent: unknown is repeated", "/idem/", []act{{err: errBroken}, ok}, 2, nil, "", "", 100},
		{"idempotent: failure is repeated", "/idem/", []act{{status: 500}, ok}, 2, nil, "", "", 100},
		{"idempotent: two runs at most", "/idem/", []act{{err: errBroken}}, 2, nil, refuse.UpstreamFailed, refuse.Unknown, 0},
		{"stream served", "/stream/", []act{whole}, 1, []int64{0, 1, 2}, "", "", 115},
		{"stream cut is not repeated", "/stream/", []act{cut, rest}, 1, []int64{0, 1}, refuse.UpstreamFailed, refuse.Unknown, 110},
		{"stream resumed", "/resume/", []act{cut, rest}, 2, []int64{0, 1, 2}, "", "", 115},
		{"repeated events are left out", "/resume/", []act{cut, whole}, 2, []int64{0, 1, 2}, "", "", 115},
		{"missing event ends the stream", "/resume/", []act{cut, {status: 200, events: []int64{3}, end: io.EOF}}, 2, []int64{0, 1}, refuse.UpstreamFailed, refuse.Unknown, 110},
	} {
		t.Run(tc.name, func(t *testing.T) {
			se := newSetup(t, 3, 10)
			ca := &caller{script: tc.script}
			_, re := se.svc.Serve(t.Context(), ask(tc.path), ca, ca)
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
			got := result{len(ca.attempts), ca.events, re.Reason, re.Outcome, ca.ended, se.holder.Counts(account).Unsettled}
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

// TestResumeFrom guards against a resumed stream that begins at another event.
func TestResumeFrom(t *testing.T) {
	se := newSetup(t, 3, 10)
	ca := &caller{script: []act{{status: 200, events: []int64{4, 5}, end: errBroken}, {status: 200, events: []int64{6}, end: io.EOF}}}
	as := ask("/resume/")
	as.After = 3
	if _, re := se.svc.Serve(t.Context(), as, ca, ca); re != nil {
		t.Fatal(re)
	}
	if diff := cmp.Diff([]int64{3, 5}, []int64{ca.attempts[0].After, ca.attempts[1].After}); diff != "" || ca.begun != 1 {
		t.Errorf("%d headers; last events (-want +got):\n%s", ca.begun, diff)
	}
}

// TestRefused guards against requests that run without a route, a key or
// tokens, and against refusals whose reason is wrong.
func TestRefused(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(as *hop.Ask)
		want   refuse.Reason
	}{
		{"no route", func(as *hop.Ask) { as.Path = "/none/" }, refuse.UnknownService},
		{"other host", func(as *hop.Ask) { as.Host = "x" }, refuse.UnknownService},
		{"no key", func(as *hop.Ask) { as.Key = "" }, refuse.Unauthorized},
		{"over the budget", func(as *hop.Ask) { as.Prompt.MaxOutput = prepaid }, refuse.OverBudget},
	} {
		t.Run(tc.name, func(t *testing.T) {
			se := newSetup(t, 1, 10)
			as := ask("/once/")
			tc.change(&as)
			ca := &caller{script: []act{{status: 200}}}
			_, re := se.svc.Serve(t.Context(), as, ca, ca)
			if re == nil || re.Reason != tc.want || re.Outcome != refuse.NotRun || len(ca.attempts) != 0 {
				t.Errorf("refusal %v after %d attempts, want %s after none", re, len(ca.attempts), tc.want)
			}
		})
	}
}

// TestRetryAllowance guards against retries that multiply the load of a fault.
func TestRetryAllowance(t *testing.T) {
	se := newSetup(t, 3, 2)
	sends := 0
	for range 10 {
		ca := &caller{script: []act{{err: errBroken}}}
		_, _ = se.svc.Serve(t.Context(), ask("/idem/"), ca, ca)
		sends += len(ca.attempts)
	}
	if sends != 12 {
		t.Errorf("%d sends for 10 requests with an allowance of 2", sends)
	}
}

// TestDeadline guards against an answer later than the route allows, and
// against a promise for a request that was sent.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		se := newSetup(t, 1, 10)
		ca := &caller{script: []act{{silent: true}}}
		began := time.Now()
		_, re := se.svc.Serve(t.Context(), ask("/once/"), ca, ca)
		if took := time.Since(began); re == nil || re.Reason != refuse.TimedOut || took != 5*time.Second {
			t.Errorf("refusal %v after %s, want timedOut after 5s", re, took)
		}
	})
}

// TestSilentUpstream guards against waiting for an upstream that went dark
// while another one could serve the request in time.
func TestSilentUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		se := newSetup(t, 2, 10)
		ca := &caller{script: []act{{silent: true}, {status: 200, events: []int64{0}, end: io.EOF}}}
		began := time.Now()
		_, re := se.svc.Serve(t.Context(), ask("/resume/"), ca, ca)
		if took := time.Since(began); re != nil || took > time.Second {
			t.Errorf("refusal %v after %s, want an answer within a second", re, took)
		}
	})
}

// TestCallerGone guards against a repetition for a caller that has left.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		se := newSetup(t, 2, 10)
		ca := &caller{script: []act{{silent: true}}}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, re := se.svc.Serve(ctx, ask("/idem/"), ca, ca)
		if re == nil || re.Reason != refuse.Cancelled || len(ca.attempts) != 1 {
			t.Errorf("refusal %v after %d attempts, want cancelled after one", re, len(ca.attempts))
		}
	})
}

// TestLeaving guards against work that a router which is about to end cannot
// complete, and against refusing what it can.
func TestLeaving(t *testing.T) {
	for _, tc := range []struct {
		path   string
		left   time.Duration
		served bool
	}{
		{"/once/", 3 * time.Second, true},
		{"/idem/", 3 * time.Second, true},
		{"/stream/", 3 * time.Second, false},
		{"/resume/", 3 * time.Second, false},
		{"/once/", 500 * time.Millisecond, false},
	} {
		se := newSetup(t, 1, 10)
		as := ask(tc.path)
		se.svc.Leave(as.Arrived.Add(tc.left))
		ca := &caller{script: []act{{status: 200}}}
		_, re := se.svc.Serve(t.Context(), as, ca, ca)
		if served := re == nil; served != tc.served || len(ca.attempts) > 0 != tc.served {
			t.Errorf("%s with %s left: refusal %v after %d attempts", tc.path, tc.left, re, len(ca.attempts))
		}
	}
}
