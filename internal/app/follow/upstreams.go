package follow

import (
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evUpstream = meter.Event{Number: 5121, Level: slog.LevelInfo, Text: "upstream entry in force"}
	evRemoved  = meter.Event{Number: 5122, Level: slog.LevelInfo, Text: "upstream entry removed"}
	evExpired  = meter.Event{Number: 5123, Level: slog.LevelWarn, Text: "upstream entry expired during an outage, the upstream stays in use for a grace period"}
	evBadEntry = meter.Event{Number: 5124, Level: slog.LevelWarn, Text: "upstream entry cannot be used"}
)

const (
	// expiryGrace is how long an expired entry stays in use after the end of an
	// outage. Live upstreams write their entries again within about 2 s.
	expiryGrace = 2 * time.Second
	// minOutage is the shortest loss of the feed after which entries may have
	// expired. They expire after three missed writes, at intervals of 1.2 s.
	minOutage = 1500 * time.Millisecond
)

// DecodeUpstream decodes the row of an upstream.
type DecodeUpstream func(ro feed.Row) (place.Upstream, error)

// Upstreams holds the upstreams known from a feed. It is a Sink.
type Upstreams struct {
	cell   *snap.Cell[place.EndpointMap]
	decode DecodeUpstream
	meter  meter.Meter

	mu      sync.Mutex
	entries map[ident.Upstream]entry
	lostAt  time.Time
	// graceUntil is the end of the grace period. Until then, removed entries are
	// marked as expired and stay in use.
	graceUntil time.Time
	known      bool
}

// entry is an upstream with the position of its row. An expired entry was removed
// from the store during an outage and stays in use for a grace period.
type entry struct {
	upstream place.Upstream
	position epoch.Position
	expired  bool
}

// NewUpstreams returns Upstreams without entries.
func NewUpstreams(decode DecodeUpstream, me meter.Meter) *Upstreams {
	return &Upstreams{
		cell: snap.NewCell(place.EndpointMap{}), decode: decode, meter: me, entries: map[ident.Upstream]entry{},
	}
}

// Load returns the upstreams in force.
func (us *Upstreams) Load() place.EndpointMap { return us.cell.Load() }

// Known reports whether the entries have been read at least once.
func (us *Upstreams) Known() bool {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.known
}

// Replace replaces all entries.
func (us *Upstreams) Replace(ba feed.Batch, now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.known = true
	present := make(map[ident.Upstream]bool, len(ba.Rows))
	for _, ro := range ba.Rows {
		present[ident.Upstream(ro.Key)] = true
		us.apply(ro, now)
	}
	for id, en := range us.entries {
		if !present[id] && !en.position.After(ba.Position) {
			us.remove(id, now)
		}
	}
	us.publish()
}

// ApplyChanges applies the changed entries.
func (us *Upstreams) ApplyChanges(ba feed.Batch, now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	for _, ro := range ba.Rows {
		us.apply(ro, now)
	}
	us.publish()
}

// Lost records the start of an outage.
func (us *Upstreams) Lost(now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.lostAt = now
}

// Recovered starts the grace period for expired entries if the outage was long
// enough.
func (us *Upstreams) Recovered(now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if now.Sub(us.lostAt) >= minOutage {
		us.graceUntil = now.Add(expiryGrace)
	}
}

// RemoveExpired removes expired entries that were not written again in the grace
// period.
func (us *Upstreams) RemoveExpired(now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if now.Before(us.graceUntil) {
		return
	}
	changed := false
	for id, en := range us.entries {
		if en.expired {
			us.remove(id, now)
			changed = true
		}
	}
	if changed {
		us.publish()
	}
}

// apply updates the entry of a row unless its position is older.
func (us *Upstreams) apply(ro feed.Row, now time.Time) {
	id := ident.Upstream(ro.Key)
	old, exists := us.entries[id]
	if exists && ro.Position.Before(old.position) {
		return
	}
	if ro.Deleted {
		us.remove(id, now)
		return
	}
	up, err := us.decode(ro)
	if err != nil {
		us.meter.Log(evBadEntry, slog.String("upstream", ro.Key), slog.Uint64("version", ro.Position.Version), slog.String("error", err.Error()))
		delete(us.entries, id)
		return
	}
	us.entries[id] = entry{upstream: up, position: ro.Position}
	if !exists || old.upstream != up || old.expired {
		us.meter.Log(evUpstream, slog.String("upstream", ro.Key), slog.Uint64("version", ro.Position.Version),
			slog.String("service", string(up.Service)), slog.String("address", up.Address), slog.Bool("leaving", up.Leaving))
	}
}

// remove removes an entry, or marks it as expired during the grace period.
func (us *Upstreams) remove(id ident.Upstream, now time.Time) {
	en, ok := us.entries[id]
	if !ok {
		return
	}
	if now.Before(us.graceUntil) {
		if !en.expired {
			us.meter.Log(evExpired, slog.String("upstream", string(id)), slog.Uint64("version", en.position.Version))
		}
		en.expired = true
		us.entries[id] = en
		return
	}
	delete(us.entries, id)
	us.meter.Log(evRemoved, slog.String("upstream", string(id)), slog.Uint64("version", en.position.Version))
}

// publish makes the entries visible to Load.
func (us *Upstreams) publish() {
	all := make([]place.Upstream, 0, len(us.entries))
	for _, en := range us.entries {
		all = append(all, en.upstream)
	}
	us.cell.Store(us.cell.Load().WithUpstreams(all...))
}
