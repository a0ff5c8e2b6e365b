// Package errs holds the error types of the programs and their exit codes.
package errs

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Exit codes of the programs, documented in docs/exit-codes.md.
const (
	ExitOK       = 0
	ExitInternal = 1
	ExitUsage    = 2
	ExitSettings = 3
	ExitConfig   = 4
	ExitConflict = 5
	ExitPlatform = 6
	ExitRefused  = 7
)

var space = errorx.NewNamespace("balsamwood")

// Error types of the programs.
var (
	// Usage is for wrong arguments.
	Usage = space.NewType("usage")
	// Settings is for settings that cannot be used.
	Settings = space.NewType("settings")
	// Config is for a configuration or answers with findings.
	Config = space.NewType("config")
	// Conflict is for a change that lost a race.
	Conflict = space.NewType("conflict")
	// Platform is for a table, object store or VM list that does not answer.
	Platform = space.NewType("platform")
	// Refused is for a request that a router or sidecar refused.
	Refused = space.NewType("refused")
	// Internal is for everything that is not expected to happen.
	Internal = space.NewType("internal")
)

// exits pairs the types with their codes.
var exits = []struct {
	kind *errorx.Type
	code int
}{
	{Usage, ExitUsage}, {Settings, ExitSettings}, {Config, ExitConfig},
	{Conflict, ExitConflict}, {Platform, ExitPlatform}, {Refused, ExitRefused},
}

// ExitCode returns the exit code for err. Errors without one of the types are
// internal.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return ExitInternal
	}
	for _, ex := range exits {
		if typed.IsOfType(ex.kind) {
			return ex.code
		}
	}
	return ExitInternal
}
