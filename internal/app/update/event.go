package update

import (
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Events of this package.
var (
	evAccepted   = meter.Event{Number: 4001, Level: slog.LevelInfo, Text: "configuration accepted"}
	evConflict   = meter.Event{Number: 4002, Level: slog.LevelInfo, Text: "configuration change lost a race"}
	evInForce    = meter.Event{Number: 4003, Level: slog.LevelInfo, Text: "configuration in force"}
	evOlder      = meter.Event{Number: 4004, Level: slog.LevelWarn, Text: "table returned an older configuration"}
	evNoArchive  = meter.Event{Number: 4005, Level: slog.LevelWarn, Text: "configuration not yet in the object store"}
	evNoTable    = meter.Event{Number: 4006, Level: slog.LevelWarn, Text: "configuration not read from the table"}
	evBadDoc     = meter.Event{Number: 4007, Level: slog.LevelError, Text: "configuration document cannot be used"}
	evUncertain  = meter.Event{Number: 4008, Level: slog.LevelWarn, Text: "acceptance without an answer, reading back"}
	evTableAgain = meter.Event{Number: 4009, Level: slog.LevelInfo, Text: "configuration read from the table again"}
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
