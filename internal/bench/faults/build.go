// Package faults runs small deployments of real processes, injects process
// failures, and compares the balance of the budget with the stand-ins' records.
package faults

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"runtime"
)

// Build builds the programs of the module into dir.
func Build(ctx context.Context, dir string) error {
	_, file, _, _ := runtime.Caller(0)
	cm := exec.CommandContext(ctx, "go", "build", "-o", dir, "./cmd/...")
	cm.Dir = filepath.Join(filepath.Dir(file), "..", "..", "..")
	if out, err := cm.CombinedOutput(); err != nil {
		return fmt.Errorf("faults: build: %w: %s", err, out)
	}
	return nil
}
