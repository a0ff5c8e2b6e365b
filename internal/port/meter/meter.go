// Package meter is the port to metrics and logs.
package meter

import (
	"log/slog"
	"time"
)

// Event is a numbered log event. docs/events.md lists all events.
type Event struct {
	Number int
	Level  slog.Level
	Text   string
}

// Meter records events, counters and durations.
type Meter interface {
	// Log writes an event with its attributes.
	Log(ev Event, attrs ...slog.Attr)
	// Count adds n to the counter name whose label has the given value, for
	// example the refusal reason. Label and value may be empty.
	Count(name, label, value string, n int64)
	// Gauge sets the gauge name whose label has the given value to v.
	Gauge(name, label, value string, v float64)
	// Observe records the duration d under the name and label value.
	Observe(name, label, value string, d time.Duration)
}

// Nop is a meter that discards everything.
type Nop struct{}

// Log discards the event.
func (Nop) Log(Event, ...slog.Attr) {}

// Count discards the count.
func (Nop) Count(string, string, string, int64) {}

// Gauge discards the value.
func (Nop) Gauge(string, string, string, float64) {}

// Observe discards the duration.
func (Nop) Observe(string, string, string, time.Duration) {}
