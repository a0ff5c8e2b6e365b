package errs_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/errs"
)

// TestExitCodes guards against scripts that cannot distinguish failures, and
// against a page that lacks a code that the programs return.
func TestExitCodes(t *testing.T) {
	page, err := os.ReadFile("../../../docs/exit-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	cause := errors.New("cause")
	for _, tc := range []struct {
		name string
		err  error
		want int
	}{
		{"success", nil, 0},
		{"internal", errs.Internal.New("x"), 1},
		{"untyped", cause, 1},
		{"usage", errs.Usage.New("x"), 2},
		{"settings", errs.Settings.Wrap(cause, "x"), 3},
		{"config", fmt.Errorf("outer: %w", errs.Config.Wrap(cause, "x")), 4},
		{"conflict", errs.Conflict.New("x"), 5},
		{"platform", errs.Platform.New("x"), 6},
		{"refused", errs.Refused.New("x"), 7},
	} {
		if got := errs.ExitCode(tc.err); got != tc.want {
			t.Errorf("%s: exit code %d, want %d", tc.name, got, tc.want)
		}
		if !strings.Contains(string(page), fmt.Sprintf("\n| %d | ", tc.want)) {
			t.Errorf("docs/exit-codes.md lacks code %d", tc.want)
		}
	}
}
