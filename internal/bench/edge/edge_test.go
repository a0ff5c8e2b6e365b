package edge_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/bench/edge"
	"github.com/balsamwood/balsamwood/internal/bench/faults"
)

// TestKilledRouter guards against overspend, repeated runs and false notRun
// refusals when a direct router is killed, and against prepaid tokens that cannot
// be used afterwards.
func TestKilledRouter(t *testing.T) {
	bin := t.TempDir()
	if err := faults.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	de, err := edge.New(t.Context(), bin, t.TempDir(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = de.Close() })
	de.SendQuestions(t.Context(), 10)
	de.SendVouchers(t.Context(), 10, 5)
	if err := de.KillAndRestart(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	de.SendQuestions(t.Context(), 200)
	got, err := de.Audit()
	if err != nil {
		t.Fatal(err)
	}
	if got.Free > edge.Prepaid/2 {
		t.Errorf("%d of %d tokens could not be used after one router was killed", got.Free, edge.Prepaid)
	}
	if got.Served == 0 || got.Refused == 0 || got.Unknown != 2 {
		t.Errorf("served %d, refused %d, unknown %d; want at least 1, at least 1, and 2 lost responses", got.Served, got.Refused, got.Unknown)
	}
	want := edge.Result{Served: got.Served, Refused: got.Refused, Unknown: got.Unknown, Free: got.Free}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
}
