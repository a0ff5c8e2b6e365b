package claim_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/google/go-cmp/cmp"
)

var (
	body  = []byte("body")
	own   = claim.Claimant{Sidecar: "s1", Request: "r1", Attempt: 1}
	other = claim.Claimant{Sidecar: "s2", Request: "r2", Attempt: 1}
)

// TestDecide guards against a second run of a claimed, cancelled or finished
// call, and against an outcome that is returned for another body.
func TestDecide(t *testing.T) {
	rec := claim.New(body, own, time.Unix(1, 0))
	ptr := func(rc claim.Record) *claim.Record { return &rc }
	cases := map[string]struct {
		ex           *claim.Record
		print        string
		cl           claim.Claimant
		want         claim.Decision
		cancel       claim.Cancellation
		withoutClaim claim.Decision
	}{
		"none":                     {print: "body", cl: own, want: claim.Insert, cancel: claim.Cancellable, withoutClaim: claim.Run},
		"own claim":                {ex: &rec, print: "body", cl: own, want: claim.Run, cancel: claim.MayBeRunning, withoutClaim: claim.Run},
		"other claim":              {ex: &rec, print: "body", cl: other, want: claim.InProgress, cancel: claim.MayBeRunning, withoutClaim: claim.Run},
		"other attempt":            {ex: &rec, print: "body", cl: claim.Claimant{Sidecar: "s1", Request: "r1", Attempt: 2}, want: claim.InProgress, cancel: claim.MayBeRunning, withoutClaim: claim.Run},
		"restarted":                {ex: &rec, print: "body", cl: claim.Claimant{Sidecar: "s3", Request: "r1", Attempt: 1}, want: claim.InProgress, cancel: claim.MayBeRunning, withoutClaim: claim.Run},
		"other body":               {ex: &rec, print: "x", cl: own, want: claim.KeyReused, cancel: claim.FingerprintMismatch, withoutClaim: claim.KeyReused},
		"cancelled":                {ex: ptr(rec.WithState(claim.Cancelled)), print: "body", cl: own, want: claim.Refused, cancel: claim.NeverRun, withoutClaim: claim.Run},
		"cancelled, never claimed": {ex: ptr(claim.NewCancelled(body)), print: "body", cl: own, want: claim.Refused, cancel: claim.NeverRun, withoutClaim: claim.Run},
		"released":                 {ex: ptr(rec.WithState(claim.Released)), print: "body", cl: other, want: claim.Insert, cancel: claim.Cancellable, withoutClaim: claim.Run},
		"done":                     {ex: ptr(rec.WithOutcome(claim.Outcome{Status: 200})), print: "body", cl: own, want: claim.Replay, cancel: claim.AlreadyRun, withoutClaim: claim.Replay},
		"done other body":          {ex: ptr(rec.WithOutcome(claim.Outcome{})), print: "x", cl: own, want: claim.KeyReused, cancel: claim.FingerprintMismatch, withoutClaim: claim.KeyReused},
	}
	type result struct {
		WithClaim    claim.Decision
		Cancel       claim.Cancellation
		WithoutClaim claim.Decision
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fp := []byte(tc.print)
			got := result{claim.Decide(tc.ex, fp, tc.cl), claim.DecideCancel(tc.ex, fp), claim.DecideWithoutClaim(tc.ex, fp, tc.cl)}
			if diff := cmp.Diff(result{tc.want, tc.cancel, tc.withoutClaim}, got); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRowKey guards against two accounts that share a row because a name
// contains the separator.
func TestRowKey(t *testing.T) {
	if a, b := claim.RowKey("a", "b/c"), claim.RowKey("a/b", "c"); a == b {
		t.Errorf("both are %q", a)
	}
}

// TestRecordForm guards against a changed encoding of the rows in the table, and
// against a With method that changes its receiver.
func TestRecordForm(t *testing.T) {
	rec := claim.New(body, own, time.Unix(1, 0).UTC())
	done := rec.WithOutcome(claim.Outcome{Status: 201, Header: []claim.Field{{Name: "A", Value: "b"}}, Body: []byte("ok")})
	got, err := json.Marshal(done)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"fingerprint":"Ym9keQ==","state":"done","sidecar":"s1","request":"r1","attempt":1,` +
		`"claimedAt":"1970-01-01T00:00:01Z","outcome":{"status":201,"header":[{"name":"A","value":"b"}],"body":"b2s="}}`
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("row (-want +got):\n%s", diff)
	}
	if rec.State != claim.Claimed || rec.Outcome != nil {
		t.Errorf("the receiver changed: %+v", rec)
	}
}
