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

var namespace = errorx.NewNamespace("balsamwood")

// Error types of the programs.
var (
	// Usage is for invalid arguments.
	Usage = namespace.NewType("usage")
	// Settings is for settings that cannot be used.
	Settings = namespace.NewType("settings")
	// Config is for a configuration or intake answers with findings.
	Config = namespace.NewType("config")
	// Conflict is for a change that conflicts with a concurrent change.
	Conflict = namespace.NewType("conflict")
	// Platform is for a table, object store or VM list that does not respond.
	Platform = namespace.NewType("platform")
	// Refused is for a request that a router or sidecar refused.
	Refused = namespace.NewType("refused")
	// Internal is for unexpected errors.
	Internal = namespace.NewType("internal")
)

// exitCodes maps the error types to exit codes.
var exitCodes = []struct {
	kind *errorx.Type
	code int
}{
	{Usage, ExitUsage}, {Settings, ExitSettings}, {Config, ExitConfig},
	{Conflict, ExitConflict}, {Platform, ExitPlatform}, {Refused, ExitRefused},
}

// ExitCode returns the exit code for err. Errors of no listed type are internal.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return ExitInternal
	}
	for _, ex := range exitCodes {
		if typed.IsOfType(ex.kind) {
			return ex.code
		}
	}
	return ExitInternal
}
