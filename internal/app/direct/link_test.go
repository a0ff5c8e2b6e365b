package direct_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/direct"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

var errNoConnection = fmt.Errorf("%w: %w", proxy.ErrNotSent, proxy.ErrNoConnection)

// TestAdmit guards against requests that are admitted although they would wait on the
// link for longer than their latency goal allows, and against refusals for any other
// reason, which belong to the service.
func TestAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		li := shed.NewLink(10, time.Now())
		fx, plain := newFixture(t, 1, 0, direct.WithLink(li)), newFixture(t, 1, 0)
		reasons := func() (out []refuse.Reason) {
			for _, re := range []*refuse.Refusal{
				fx.svc.Admit(newRequest("/idem/"), 9000, time.Now()), fx.svc.Admit(newRequest("/idem/"), 100, time.Now()),
				fx.svc.Admit(newRequest("/none/"), 9000, time.Now()), plain.svc.Admit(newRequest("/idem/"), 9000, time.Now()),
			} {
				if re == nil {
					re = &refuse.Refusal{}
				} else if re.Outcome != refuse.NotRun || !re.RetryAt.After(time.Now()) {
					t.Errorf("refusal %+v", re)
				}
				out = append(out, re.Reason)
			}
			return out
		}
		if diff := cmp.Diff([]refuse.Reason{"", "", "", ""}, reasons()); diff != "" {
			t.Errorf("idle link (-want +got):\n%s", diff)
		}
		li.Sent(170_000, shed.Others, time.Now())
		if diff := cmp.Diff([]refuse.Reason{refuse.LinkBusy, "", "", ""}, reasons()); diff != "" {
			t.Errorf("wait of 136 ms and more (-want +got):\n%s", diff)
		}
	})
}

// TestOwnTimeouts guards against upstreams that are avoided because dials or responses
// wait on the router's own link, against requests that are sent again and again over it,
// and against timeouts of single upstreams that are not held against them.
func TestOwnTimeouts(t *testing.T) {
	type result struct {
		Attempts, Suspect int
		Reason            refuse.Reason
		Took              time.Duration
	}
	ok := upstreamStep{status: 200}
	slow := upstreamStep{status: 200, after: 1500 * time.Millisecond}
	for _, tc := range []struct {
		name      string
		congested bool
		script    []upstreamStep
		want      result
	}{
		{"dials", false, []upstreamStep{{err: errNoConnection}}, result{5, 5, refuse.NoUpstream, 0}},
		{"dials, congested", true, []upstreamStep{{err: errNoConnection}}, result{2, 0, refuse.LinkBusy, 0}},
		{"one dial, congested", true, []upstreamStep{{err: errNoConnection}, ok}, result{2, 0, "", 0}},
		{"refused connections, congested", true, []upstreamStep{{err: errNotSent}}, result{5, 5, refuse.NoUpstream, 0}},
		{"silence", false, []upstreamStep{slow, ok}, result{2, 1, "", time.Second}},
		{"silence, congested", true, []upstreamStep{slow, ok}, result{1, 0, "", 1500 * time.Millisecond}},
	} {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, 6, 10, direct.WithCongestion(func(time.Time) bool { return tc.congested }))
			ca := &fakeCaller{script: tc.script}
			rq := newRequest("/idem/")
			rq.Prompt = nil
			start := time.Now()
			_, re := fx.svc.Serve(t.Context(), rq, ca, ca)
			got := result{Attempts: len(ca.attempts), Took: time.Since(start)}
			if re != nil {
				got.Reason = re.Reason
			}
			for _, ep := range fx.ups.Service("s") {
				if ep.Suspect(time.Now()) {
					got.Suspect++
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", tc.name, diff)
			}
		})
	}
}

// TestSimultaneousTimeouts guards against upstreams that are avoided after several of
// them have timed out at the same time, which the router itself causes.
func TestSimultaneousTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		li := shed.NewLink(10, time.Now())
		fx := newFixture(t, 6, 10, direct.WithLink(li), direct.WithCongestion(li.Congested))
		for _, target := range []string{"a", "b"} {
			li.TimedOut(target, time.Now())
		}
		ca := &fakeCaller{script: []upstreamStep{{err: errNoConnection}}}
		_, re := fx.svc.Serve(t.Context(), newRequest("/idem/"), ca, ca)
		suspect := 0
		for _, ep := range fx.ups.Service("s") {
			if ep.Suspect(time.Now()) {
				suspect++
			}
		}
		if re == nil || re.Reason != refuse.LinkBusy || suspect > 0 {
			t.Errorf("refusal %v, %d upstreams are avoided", re, suspect)
		}
	})
}
