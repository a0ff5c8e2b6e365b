package soak_test

import (
	"context"
	"os/exec"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/soak"
)

// TestSoak guards against wrong or truncated responses, false notRun refusals,
// repeated effects, overspend and inconsistent balances while processes and
// stand-ins fail.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", bin,
		"../../../cmd/balsamwood", "../../../cmd/balsamfake")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	re, err := soak.Run(ctx, soak.Options{Bin: bin, Requests: 1500, Seed: 1})
	t.Logf("\n%s", re)
	if err != nil {
		t.Fatal(err)
	}
	if err := re.Check(); err != nil {
		t.Error(err)
	}
	if re.Served < re.Sent/4 || len(re.Failures) < 5 {
		t.Errorf("%d of %d requests served under %d kinds of failure, want at least a quarter and 5 kinds", re.Served, re.Sent, len(re.Failures))
	}
}
