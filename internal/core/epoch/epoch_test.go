package epoch_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/epoch"
)

// TestOrder guards against a version of an earlier era that counts as newer because
// its number is higher.
func TestOrder(t *testing.T) {
	got := []epoch.Position{epoch.At(2, 1), epoch.At(1, 9), epoch.At(0, 12), {}, epoch.At(1, 3), epoch.At(2, 5)}
	slices.SortFunc(got, epoch.Position.Compare)
	want := []epoch.Position{{}, epoch.At(0, 12), epoch.At(1, 3), epoch.At(1, 9), epoch.At(2, 1), epoch.At(2, 5)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	one, two := epoch.At(1, 9), epoch.At(2, 1)
	if !one.Before(two) || one.After(two) || !two.After(one) || one.Before(one) || !got[0].IsZero() || one.IsZero() {
		t.Errorf("%+v must come before %+v", one, two)
	}
	if diff := cmp.Diff(epoch.At(2, 8), two.WithVersion(8)); diff != "" {
		t.Errorf("position with another version (-want +got):\n%s", diff)
	}
}
