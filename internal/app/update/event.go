package update

import (
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Events of this package.
var (
	evAccepted        = meter.Event{Number: 4001, Level: slog.LevelInfo, Text: "configuration accepted"}
	evConflict        = meter.Event{Number: 4002, Level: slog.LevelInfo, Text: "configuration change refused, its base is not the current revision"}
	evInForce         = meter.Event{Number: 4003, Level: slog.LevelInfo, Text: "configuration in force"}
	evOlderRevision   = meter.Event{Number: 4004, Level: slog.LevelWarn, Text: "table returned an older configuration"}
	evNotArchived     = meter.Event{Number: 4005, Level: slog.LevelWarn, Text: "configuration could not be stored in the object store"}
	evTableFailed     = meter.Event{Number: 4006, Level: slog.LevelWarn, Text: "configuration could not be read from the table"}
	evBadDocument     = meter.Event{Number: 4007, Level: slog.LevelError, Text: "configuration document cannot be used"}
	evCommitUncertain = meter.Event{Number: 4008, Level: slog.LevelWarn, Text: "no response to the commit of a configuration, reading back the outcome"}
	evTableRecovered  = meter.Event{Number: 4009, Level: slog.LevelInfo, Text: "configuration read from the table again"}
)

// Names of metrics.
const (
	mtAccepted  = "config_accepted"
	mtConflicts = "config_conflicts"
	mtFollowed  = "config_followed"
	mtOlder     = "config_older"
	mtFailures  = "config_read_failures"
	mtRevision  = "config_revision"
)
