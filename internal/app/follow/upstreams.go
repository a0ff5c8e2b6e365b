package follow

import (
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evUpstream = meter.Event{Number: 5121, Level: slog.LevelInfo, Text: "upstream entry in force"}
	evGone     = meter.Event{Number: 5122, Level: slog.LevelInfo, Text: "upstream entry removed"}
	evLapsed   = meter.Event{Number: 5123, Level: slog.LevelWarn, Text: "upstream entry lapsed during an outage, the upstream is used until it is confirmed"}
	evBadEntry = meter.Event{Number: 5124, Level: slog.LevelWarn, Text: "upstream entry cannot be used"}
)

const (
	// lapseGrace is how long after the end of an outage an entry may still
	// come back: upstreams that live write it within about two seconds.
	lapseGrace = 2 * time.Second
	// minOutage is the shortest loss of the feed after which entries can have
	// lapsed. They lapse after three missed writes of 1.2 s each.
	minOutage = 1500 * time.Millisecond
)

// DecodeUpstream decodes an entry.
type DecodeUpstream func(ro feed.Row) (place.Upstream, error)

// Upstreams is what is believed about the upstreams.
type Upstreams struct {
	cell   *snap.Cell[place.Map]
	decode DecodeUpstream
	meter  meter.Meter

	mu      sync.Mutex
	entries map[ident.Upstream]entry
	lostAt  time.Time
	// graceUntil is when entries that are missing count as gone.
	graceUntil time.Time
	known      bool
}

// entry is an upstream with the version of its row. Lapsed entries were
// removed while the store was away.
type entry struct {
	upstream place.Upstream
	version  uint64
	lapsed   bool
}

// NewUpstreams returns an empty set.
func NewUpstreams(decode DecodeUpstream, me meter.Meter) *Upstreams {
	return &Upstreams{
		cell: snap.NewCell(place.Map{}), decode: decode, meter: me, entries: map[ident.Upstream]entry{},
	}
}

// Load returns the upstreams in force.
func (us *Upstreams) Load() place.Map { return us.cell.Load() }

// Known reports whether the entries have been read at all.
func (us *Upstreams) Known() bool {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.known
}

// Whole takes over all entries.
func (us *Upstreams) Whole(ba feed.Batch, now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.known = true
	present := make(map[ident.Upstream]bool, len(ba.Rows))
	for _, ro := range ba.Rows {
		present[ident.Upstream(ro.Key)] = true
		us.apply(ro, now)
	}
	for id, en := range us.entries {
		if !present[id] && en.version <= ba.Version {
			us.remove(id, now)
		}
	}
	us.publish()
}

// Changed takes over the changed entries.
func (us *Upstreams) Changed(ba feed.Batch, now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	for _, ro := range ba.Rows {
		us.apply(ro, now)
	}
	us.publish()
}

// Lost notes the beginning of an outage.
func (us *Upstreams) Lost(now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.lostAt = now
}

// Regained begins the time in which lapsed entries may come back.
func (us *Upstreams) Regained(now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if now.Sub(us.lostAt) >= minOutage {
		us.graceUntil = now.Add(lapseGrace)
	}
}

// Expire removes lapsed entries that did not come back.
func (us *Upstreams) Expire(now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if now.Before(us.graceUntil) {
		return
	}
	changed := false
	for id, en := range us.entries {
		if en.lapsed {
			us.remove(id, now)
			changed = true
		}
	}
	if changed {
		us.publish()
	}
}

func (us *Upstreams) apply(ro feed.Row, now time.Time) {
	id := ident.Upstream(ro.Key)
	old, had := us.entries[id]
	if had && ro.Version < old.version {
		return
	}
	if ro.Gone {
		us.remove(id, now)
		return
	}
	up, err := us.decode(ro)
	if err != nil {
		us.meter.Log(evBadEntry, slog.String("upstream", ro.Key), slog.Uint64("version", ro.Version), slog.String("error", err.Error()))
		delete(us.entries, id)
		return
	}
	us.entries[id] = entry{upstream: up, version: ro.Version}
	if !had || old.upstream != up || old.lapsed {
		us.meter.Log(evUpstream, slog.String("upstream", ro.Key), slog.Uint64("version", ro.Version),
			slog.String("service", string(up.Service)), slog.String("address", up.Address), slog.Bool("leaving", up.Leaving))
	}
}

func (us *Upstreams) remove(id ident.Upstream, now time.Time) {
	en, ok := us.entries[id]
	if !ok {
		return
	}
	if now.Before(us.graceUntil) {
		if !en.lapsed {
			us.meter.Log(evLapsed, slog.String("upstream", string(id)), slog.Uint64("version", en.version))
		}
		en.lapsed = true
		us.entries[id] = en
		return
	}
	delete(us.entries, id)
	us.meter.Log(evGone, slog.String("upstream", string(id)), slog.Uint64("version", en.version))
}

func (us *Upstreams) publish() {
	all := make([]place.Upstream, 0, len(us.entries))
	for _, en := range us.entries {
		all = append(all, en.upstream)
	}
	us.cell.Store(us.cell.Load().WithUpstreams(all...))
}
