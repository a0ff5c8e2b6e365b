// Package meter is the port to metrics and logs.
package meter

import (
	"log/slog"
	"time"
)

// Event is a numbered log event. The catalogue is docs/events.md.
type Event struct {
	Number int
	Level  slog.Level
	Text   string
}

// Meter records events, counters and durations.
type Meter interface {
	// Log writes a numbered event with its attributes.
	Log(ev Event, attrs ...slog.Attr)
	// Count adds n to the counter name with the given label, for example the
	// refusal reason. Label and value may be empty.
	Count(name, label, value string, n int64)
	// Gauge sets a gauge.
	Gauge(name, label, value string, v float64)
	// Observe records a duration.
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
