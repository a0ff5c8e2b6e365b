package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

// TestExplain guards against an explanation that differs from the choice of the policy,
// and against a wrong reason for an upstream that is not chosen.
func TestExplain(t *testing.T) {
	mp := upstreams(6)
	ups := mp.Upstreams()
	ups[0] = ups[0].WithLeaving(true)
	mp = mp.WithUpstreams(ups...)
	list, en, de := mp.Service("llm"), place.NewEnginePolicy(), longPrompt(1)
	list[1].Quiet(now.Add(time.Second))
	list[3].Failed(now)
	de.Tried = []ident.Upstream{"i-02"}
	// The prompt is cached at one engine, which is far cheaper than the random variation.
	en.RecordPrompt(list[4], de.Prompt, now)
	list[5].Reported(70, 0, 64, now)
	got := place.Explain(en, list, de, now)
	var excluded []place.Exclusion
	for _, ca := range got.Candidates {
		excluded = append(excluded, ca.Excluded)
	}
	if diff := cmp.Diff([]place.Exclusion{place.Leaving, place.Quiet, place.Tried, "", "", ""}, excluded); diff != "" {
		t.Errorf("exclusions (-want +got):\n%s", diff)
	}
	type facts struct {
		Choice             ident.Upstream
		Cached             ident.Tokens
		Suspect, OverLimit bool
	}
	want := facts{"i-04", 6300, true, true}
	if diff := cmp.Diff(want, facts{got.Choice, got.Candidates[4].Cached, got.Candidates[3].Terms.Suspect > 0, got.Candidates[5].Terms.OverLimit > 0}); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
	if ep, _ := en.Choose(list, de, now); ep.ID != got.Choice {
		t.Errorf("the policy chooses %s, the explanation %s", ep.ID, got.Choice)
	}
	if diff := cmp.Diff(place.Explanation{}, place.Explain(place.NewPlainPolicy(), nil, de, now)); diff != "" {
		t.Errorf("without upstreams (-want +got):\n%s", diff)
	}
}
