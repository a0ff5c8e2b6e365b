package follow

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/port/feed"
)

// Sinks passes the rows of one feed to several sinks, in order.
type Sinks []Sink

// Replace calls Replace of each sink.
func (sk Sinks) Replace(ba feed.Batch, now time.Time) {
	for _, si := range sk {
		si.Replace(ba, now)
	}
}

// ApplyChanges calls ApplyChanges of each sink.
func (sk Sinks) ApplyChanges(ba feed.Batch, now time.Time) {
	for _, si := range sk {
		si.ApplyChanges(ba, now)
	}
}

// Lost calls Lost of each sink.
func (sk Sinks) Lost(now time.Time) {
	for _, si := range sk {
		si.Lost(now)
	}
}

// Recovered calls Recovered of each sink.
func (sk Sinks) Recovered(now time.Time) {
	for _, si := range sk {
		si.Recovered(now)
	}
}
