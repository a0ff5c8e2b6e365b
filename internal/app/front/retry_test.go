package front_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// hold records how the escrow ended.
type hold struct{ end string }

func (ho *hold) Settle(ident.Tokens) { ho.end = "settled" }
func (ho *hold) Release()            { ho.end = "released" }
func (ho *hold) Keep()               { ho.end = "kept" }

func (ho *hold) Reserve(context.Context, ident.BudgetRef, ident.Tokens, config.Weight) (front.Hold, error) {
	return ho, nil
}

// sidecars refuse one attempt after the other. A nil refusal stands for an
// attempt without an upstream.
type sidecars struct {
	peer.Sidecar
	ends []*refuse.Refusal
}

func (si *sidecars) Admit(front.Request, time.Time) (func(), error) { return func() {}, nil }

func (si *sidecars) Place(context.Context, front.Request, front.Placing) (front.Target, error) {
	if si.ends[0] == nil {
		return front.Target{}, refuse.New(refuse.NoUpstream, "none left")
	}
	return front.Target{Sidecar: si, Done: func(front.Verdict) {}}, nil
}

func (si *sidecars) Open(context.Context, peer.Dispatch) (peer.Stream, error) {
	rf := si.ends[0]
	si.ends = si.ends[1:]
	return nil, rf
}

// always allows attempts while there are ends.
type always struct{ si *sidecars }

func (always) First() {}

func (al always) Next(retry.Failure, time.Time) retry.Decision {
	if len(al.si.ends) == 0 {
		return retry.Decision{Action: retry.Stop, Code: retry.Permanent}
	}
	return retry.Decision{Action: retry.Elsewhere, Code: retry.Proved}
}

// TestEarlierAttempt guards against a refusal that says notRun because the last
// attempt did not run, although an earlier one may have run.
func TestEarlierAttempt(t *testing.T) {
	busy, failed := refuse.New(refuse.Busy, "full"), refuse.New(refuse.UpstreamFailed, "gone")
	type want struct {
		Outcome refuse.Outcome
		Reason  refuse.Reason
	}
	for name, tc := range map[string]struct {
		ends []*refuse.Refusal
		want want
	}{
		"all refused":        {[]*refuse.Refusal{busy, busy}, want{refuse.NotRun, refuse.Busy}},
		"first may have run": {[]*refuse.Refusal{failed, busy}, want{refuse.Unknown, refuse.UpstreamFailed}},
		"then no upstream":   {[]*refuse.Refusal{failed, nil}, want{refuse.Unknown, refuse.UpstreamFailed}},
		"middle one":         {[]*refuse.Refusal{busy, failed, busy}, want{refuse.Unknown, refuse.UpstreamFailed}},
		"last may have run":  {[]*refuse.Refusal{busy, failed}, want{refuse.Unknown, refuse.UpstreamFailed}},
	} {
		si, ho := &sidecars{ends: tc.ends}, &hold{}
		sv := front.New("r1", ho, si, front.WithRetries(always{si}))
		_, err := sv.Serve(t.Context(), front.Request{
			ID: "q", Idempotent: true, Deadline: time.Now().Add(time.Hour), Kind: config.Engine,
		}, func(engine.Chunk) error { return nil })
		rf := refuse.From(err)
		if diff := cmp.Diff(tc.want, want{rf.Outcome, rf.Reason}); diff != "" || ho.end != "released" {
			t.Errorf("%s: escrow %s, refusal (-want +got):\n%s", name, ho.end, diff)
		}
	}
}
