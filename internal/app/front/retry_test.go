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

// fakeHold records how the escrow ended.
type fakeHold struct{ end string }

func (ho *fakeHold) Settle(ident.Tokens) { ho.end = "settled" }
func (ho *fakeHold) Release()            { ho.end = "released" }
func (ho *fakeHold) MarkUnknown()        { ho.end = "unknown" }

func (ho *fakeHold) Reserve(context.Context, ident.BudgetRef, ident.Tokens, config.Preference) (front.Hold, error) {
	return ho, nil
}

// refusingSidecars is a gate whose sidecars refuse each attempt with the next of
// the refusals. At a nil refusal, no upstream is placed.
type refusingSidecars struct {
	peer.Sidecar
	refusals []*refuse.Refusal
}

func (si *refusingSidecars) Admit(front.Request, time.Time) (func(), error) { return func() {}, nil }

func (si *refusingSidecars) Place(context.Context, front.Request, front.Placement) (front.Target, error) {
	if si.refusals[0] == nil {
		return front.Target{}, refuse.New(refuse.NoUpstream, "none left")
	}
	return front.Target{Sidecar: si, Done: func(front.AttemptResult) {}}, nil
}

func (si *refusingSidecars) Open(context.Context, peer.Dispatch) (peer.Stream, error) {
	rf := si.refusals[0]
	si.refusals = si.refusals[1:]
	return nil, rf
}

// retryAlways allows retries until all refusals were returned.
type retryAlways struct{ si *refusingSidecars }

func (retryAlways) RecordFirst() {}

func (ra retryAlways) Next(retry.Failure, time.Time) retry.Decision {
	if len(ra.si.refusals) == 0 {
		return retry.Decision{Action: retry.Stop, Code: retry.Permanent}
	}
	return retry.Decision{Action: retry.OtherUpstream, Code: retry.Proved}
}

// TestEarlierAttempt guards against a refusal with the outcome notRun although
// an earlier attempt than the last one may have run.
func TestEarlierAttempt(t *testing.T) {
	busy, failed := refuse.New(refuse.Busy, "full"), refuse.New(refuse.UpstreamFailed, "gone")
	type want struct {
		Outcome refuse.Outcome
		Reason  refuse.Reason
	}
	for name, tc := range map[string]struct {
		refusals []*refuse.Refusal
		want     want
	}{
		"all refused":        {[]*refuse.Refusal{busy, busy}, want{refuse.NotRun, refuse.Busy}},
		"first may have run": {[]*refuse.Refusal{failed, busy}, want{refuse.Unknown, refuse.UpstreamFailed}},
		"then no upstream":   {[]*refuse.Refusal{failed, nil}, want{refuse.Unknown, refuse.UpstreamFailed}},
		"middle one":         {[]*refuse.Refusal{busy, failed, busy}, want{refuse.Unknown, refuse.UpstreamFailed}},
		"last may have run":  {[]*refuse.Refusal{busy, failed}, want{refuse.Unknown, refuse.UpstreamFailed}},
	} {
		si, ho := &refusingSidecars{refusals: tc.refusals}, &fakeHold{}
		sv := front.New("r1", ho, si, front.WithRetries(retryAlways{si}))
		_, err := sv.Serve(t.Context(), front.Request{
			ID: "q", Idempotent: true, Deadline: time.Now().Add(time.Hour), Kind: config.Engine,
		}, func(engine.Chunk) error { return nil })
		rf := refuse.From(err)
		if diff := cmp.Diff(tc.want, want{rf.Outcome, rf.Reason}); diff != "" || ho.end != "released" {
			t.Errorf("%s: escrow %s, refusal (-want +got):\n%s", name, ho.end, diff)
		}
	}
}
