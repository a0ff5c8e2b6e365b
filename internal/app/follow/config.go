package follow

import (
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evConfig    = meter.Event{Number: 5111, Level: slog.LevelInfo, Text: "routing configuration in force"}
	evFaults    = meter.Event{Number: 5113, Level: slog.LevelWarn, Text: "figures of the routing configuration cannot be used, those before stay in force"}
	evBadConfig = meter.Event{Number: 5112, Level: slog.LevelError, Text: "routing configuration cannot be used"}
)

// DecodeConfig decodes the row of the configuration. It reports false for other
// rows.
type DecodeConfig func(ro feed.Row) (intent.Config, bool, error)

// Config holds the configuration in force. It never goes back to an older
// revision while the process runs.
type Config struct {
	cell   *snap.Cell[intent.Config]
	decode DecodeConfig
	meter  meter.Meter

	mu      sync.Mutex
	row     feed.Row
	changed chan struct{}
	known   bool
	// refused is the position of the last row that could not be decoded.
	refused epoch.Position
}

// NewConfig returns a Config without a configuration.
func NewConfig(decode DecodeConfig, me meter.Meter) *Config {
	return &Config{
		cell: snap.NewCell(intent.Config{}), decode: decode, meter: me, changed: make(chan struct{}),
	}
}

// Load returns the configuration in force; its revision is zero while there is
// none.
func (co *Config) Load() intent.Config { return co.cell.Load() }

// Changed returns a channel that is closed at the next change.
func (co *Config) Changed() <-chan struct{} {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.changed
}

// Row returns the row of the configuration in force, which other routers may
// request, and its revision, which is zero while there is none.
func (co *Config) Row() (feed.Row, ident.Revision) {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.row, co.cell.Load().Revision()
}

// Offer decodes a row and puts its configuration in force if its revision is higher,
// or if the row has the same revision and was written later. The source appears in
// log records.
func (co *Config) Offer(ro feed.Row, source string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.known && ro.Position == co.row.Position {
		return
	}
	next, ok, err := co.decode(ro)
	if err != nil {
		if ro.Position != co.refused {
			co.meter.Log(evBadConfig, slog.Uint64("version", ro.Position.Version), slog.String("source", source), slog.String("error", err.Error()))
		}
		co.refused = ro.Position
		return
	}
	current := co.cell.Load().Revision()
	if !ok || next.Revision() < current || co.known && next.Revision() == current && ro.Position.Before(co.row.Position) {
		return
	}
	if faults := next.Faults(); len(faults) > 0 {
		co.meter.Log(evFaults, slog.Uint64("revision", uint64(next.Revision())), slog.Any("faults", faults))
		next = next.WithoutFaults(co.cell.Load())
	}
	co.cell.Store(next)
	co.row, co.known = ro, true
	close(co.changed)
	co.changed = make(chan struct{})
	co.meter.Log(evConfig, slog.Uint64("revision", uint64(next.Revision())), slog.Uint64("version", ro.Position.Version),
		slog.String("source", source), slog.Any("prepaid", prepaidTotals(next)))
}

// prepaidTotals returns the prepaid total of each metered account.
func prepaidTotals(co intent.Config) map[ident.Account]ident.Tokens {
	out := map[ident.Account]ident.Tokens{}
	for _, ac := range co.Accounts() {
		if ac.Metered {
			out[ac.Name] = ac.Prepaid
		}
	}
	return out
}

// Sink returns the sink for the feed that contains the configuration.
func (co *Config) Sink() Sink { return configSink{co} }

type configSink struct{ co *Config }

// Replace offers each row.
func (cs configSink) Replace(ba feed.Batch, now time.Time) { cs.ApplyChanges(ba, now) }

// ApplyChanges offers each row.
func (cs configSink) ApplyChanges(ba feed.Batch, _ time.Time) {
	for _, ro := range ba.Rows {
		cs.co.Offer(ro, "store")
	}
}

// Lost does nothing: the configuration in force stays in force.
func (configSink) Lost(time.Time) {}

// Recovered does nothing.
func (configSink) Recovered(time.Time) {}
