package follow

import (
	"log/slog"
	"maps"
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
	evUpstream    = meter.Event{Number: 5121, Level: slog.LevelInfo, Text: "upstream entry in force"}
	evRemoved     = meter.Event{Number: 5122, Level: slog.LevelInfo, Text: "upstream entry removed"}
	evExpired     = meter.Event{Number: 5123, Level: slog.LevelWarn, Text: "upstream entry expired during an outage, the upstream stays in use for a grace period"}
	evBadEntry    = meter.Event{Number: 5124, Level: slog.LevelWarn, Text: "upstream entry cannot be used"}
	evAnnounced   = meter.Event{Number: 5125, Level: slog.LevelInfo, Text: "upstream announced in a response that it leaves"}
	evCold        = meter.Event{Number: 5126, Level: slog.LevelInfo, Text: "upstream is cold, it gets few requests"}
	evWarm        = meter.Event{Number: 5127, Level: slog.LevelInfo, Text: "upstream is warm"}
	evOddEntry    = meter.Event{Number: 5128, Level: slog.LevelWarn, Text: "a figure of an upstream entry cannot be used and is ignored"}
	evLate        = meter.Event{Number: 5129, Level: slog.LevelInfo, Text: "the store wrote an earlier report of an upstream late, it is ignored"}
	evUnconfirmed = meter.Event{Number: 5130, Level: slog.LevelInfo, Text: "removed upstream reported again, it is used after its next report"}
)

const (
	// expiryGrace is how long an expired entry stays in use after the end of an
	// outage. Live upstreams write their entries again within about 2 s.
	expiryGrace = 2 * time.Second
	// minOutage is the shortest loss of the feed after which entries may have
	// expired. They expire after three missed writes, at intervals of 1.2 s.
	minOutage = 1500 * time.Millisecond
	// expiryTime is the time after which the entry of an upstream that has ended has
	// expired, with a margin.
	expiryTime = 5 * time.Second
	// removedRetention is how long a removed upstream is remembered. The store returns
	// from copies that are some seconds old.
	removedRetention = 10 * time.Minute
	// lateWriteTime is how long the store may take to perform a write that it has not
	// answered, which is 6 s at most, with a margin.
	lateWriteTime = 10 * time.Second
)

// DecodeUpstream decodes the row of an upstream.
type DecodeUpstream func(ro feed.Row) (place.Entry, error)

// Upstreams holds the upstreams known from a feed. It is a Sink.
//
// The store may perform a write seconds after the later ones of the same upstream. The
// reports of an upstream are therefore ordered by its lifetime and their number, not by
// the store's version. One that follows a removal may have been made before it, and the
// upstream is used once another report has followed.
//
// When the store returns from an older copy, the rows of the copy are taken as its
// state, except that an upstream that has left since stays so until it reports itself
// again.
type Upstreams struct {
	cell   *snap.Cell[place.EndpointMap]
	decode DecodeUpstream
	meter  meter.Meter

	mu      sync.Mutex
	entries map[ident.Upstream]entry
	// removed holds the last entries of the upstreams that were removed lately.
	removed map[ident.Upstream]removal
	// late holds the positions of the rows that were written late and are ignored.
	late map[ident.Upstream]epoch.Position
	// eraStart is the position of the first read in the store's era. Rows up to it may
	// be those of the copy that the store returned from.
	eraStart epoch.Position
	lostAt   time.Time
	// graceUntil is the end of the grace period. Until then, removed entries are
	// marked as expired and stay in use.
	graceUntil time.Time
	known      bool
	// view gives the cold times of services, or is nil.
	view place.ColdView
	// cooled holds the upstreams whose endpoints have yet to learn the end of their cold
	// time.
	cooled map[ident.Upstream]time.Time
	// cold holds the upstreams that were cold at the last check.
	cold map[ident.Upstream]bool
}

// UpstreamsOption configures Upstreams.
type UpstreamsOption func(*Upstreams)

// WithColdView sets the limits of cold upstreams. By default, no upstream is ever cold.
func WithColdView(view place.ColdView) UpstreamsOption {
	return func(us *Upstreams) {
		us.view = view
		us.cell = snap.NewCell(place.EndpointMap{}.WithColdView(view))
	}
}

// NewUpstreams returns Upstreams without entries.
func NewUpstreams(decode DecodeUpstream, me meter.Meter, opts ...UpstreamsOption) *Upstreams {
	us := &Upstreams{
		cell: snap.NewCell(place.EndpointMap{}), decode: decode, meter: me,
		entries: map[ident.Upstream]entry{}, removed: map[ident.Upstream]removal{},
		late:   map[ident.Upstream]epoch.Position{},
		cooled: map[ident.Upstream]time.Time{}, cold: map[ident.Upstream]bool{},
	}
	for _, opt := range opts {
		opt(us)
	}
	return us
}

// Load returns the upstreams in force.
func (us *Upstreams) Load() place.EndpointMap { return us.cell.Load() }

// SetClosed sets the failure domains that are closed.
func (us *Upstreams) SetClosed(ds place.DomainSet, now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.cell.Store(us.cell.Load().WithClosed(ds, now))
}

// CheckCold records which upstreams are cold, and logs those that have become cold or
// warm.
func (us *Upstreams) CheckCold(now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	before, next := us.cold, map[ident.Upstream]bool{}
	mp := us.cell.Load()
	for id := range us.entries {
		ep, ok := mp.Endpoint(id)
		if !ok || !ep.IsCold(now) {
			continue
		}
		next[id] = true
		if !before[id] {
			us.meter.Log(evCold, slog.String("upstream", string(id)), slog.String("service", string(ep.Service)), slog.Duration("left", ep.ColdLeft(now)))
		}
	}
	for id := range before {
		if !next[id] {
			us.meter.Log(evWarm, slog.String("upstream", string(id)))
		}
	}
	us.cold = next
	if len(before) != len(next) {
		us.meter.Gauge("coldUpstreams", "", "", float64(len(next)))
	}
}

// Known reports whether the entries have been read at least once.
func (us *Upstreams) Known() bool {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.known
}

// Replace replaces all entries. In a new era, entries that are not among them stay in
// use for a grace period, because the copy may lack them.
func (us *Upstreams) Replace(ba feed.Batch, now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if ba.Position.Era > us.eraStart.Era || !us.known {
		us.eraStart = ba.Position
		if us.known {
			us.graceUntil = now.Add(expiryGrace)
		}
	}
	first := !us.known
	us.known = true
	present := make(map[ident.Upstream]bool, len(ba.Rows))
	for _, ro := range ba.Rows {
		present[ident.Upstream(ro.Key)] = true
		us.apply(ro, now, first)
	}
	for id, en := range us.entries {
		if !present[id] && !en.position.After(ba.Position) {
			us.remove(id, now)
		}
	}
	for id, rm := range us.removed {
		if !present[id] {
			us.removed[id] = rm.WithoutUnconfirmed()
		}
	}
	maps.DeleteFunc(us.late, func(id ident.Upstream, _ epoch.Position) bool { return !present[id] })
	us.publish(now)
}

// ApplyChanges applies the changed entries.
func (us *Upstreams) ApplyChanges(ba feed.Batch, now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	for _, ro := range ba.Rows {
		us.apply(ro, now, false)
	}
	us.publish(now)
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
// period, and forgets upstreams that were removed long ago. Unconfirmed entries of removed
// upstreams that have not expired since are used again.
func (us *Upstreams) RemoveExpired(now time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	changed := false
	for id, rm := range us.removed {
		switch {
		case rm.unconfirmed != nil && now.Sub(rm.unconfirmedAt) >= expiryTime:
			delete(us.removed, id)
			us.put(id, *rm.unconfirmed)
			changed = true
		case now.Sub(rm.at) >= removedRetention:
			delete(us.removed, id)
		}
	}
	for id, en := range us.entries {
		if en.expired && !now.Before(us.graceUntil) {
			us.remove(id, now)
			changed = true
		}
	}
	if changed {
		us.publish(now)
	}
}

// apply updates the entry of a row unless its position is older. first says that no
// entries were read before.
func (us *Upstreams) apply(ro feed.Row, now time.Time, first bool) {
	id := ident.Upstream(ro.Key)
	old, exists := us.entries[id]
	if exists && ro.Position.Before(old.position) {
		return
	}
	if ro.Deleted {
		delete(us.late, id)
		us.remove(id, now)
		return
	}
	if late, ok := us.late[id]; ok && late == ro.Position {
		return
	}
	next, err := us.decode(ro)
	if err != nil {
		us.entries[id] = old.WithUnusable(ro.Position)
		if !old.unusable || old.position != ro.Position {
			us.meter.Log(evBadEntry, slog.String("upstream", ro.Key), slog.Uint64("version", ro.Position.Version), slog.String("error", err.Error()))
		}
		return
	}
	rm, wasRemoved := us.removed[id]
	known := old
	// An entry that was unusable from the start holds no report.
	if known.ID == "" {
		known = rm.entry
	}
	if us.isLate(ro, next, known, now) {
		us.ignoreLate(ro, next, known)
		return
	}
	delete(us.late, id)
	en := us.newEntry(ro, next, known, now, first)
	switch {
	case exists && us.outdated(ro, next, old) && next.StartedMs < old.StartedMs:
		us.remove(id, now)
	case exists && us.outdated(ro, next, old) && old.Leaving:
	case wasRemoved && us.outdated(ro, next, rm.entry):
		if !rm.Leaving {
			us.removed[id] = rm.WithUnconfirmed(en, now)
		}
	case wasRemoved && rm.mayPrecede(en):
		us.removed[id] = rm.WithUnconfirmed(en, now)
		us.meter.Log(evUnconfirmed, slog.String("upstream", ro.Key), slog.Uint64("version", ro.Position.Version),
			slog.Int64("startedMs", next.StartedMs), slog.Int64("sequence", next.Sequence), slog.Int64("knownSequence", rm.Sequence))
	default:
		delete(us.removed, id)
		us.put(id, en)
	}
}

// newEntry returns the entry of a row. known is what was known of the upstream before, and
// first says that nothing was read before.
func (us *Upstreams) newEntry(ro feed.Row, next place.Entry, known entry, now time.Time, first bool) entry {
	en := entry{Entry: next, position: ro.Position, lateUntil: known.lateUntil}
	if en.position != known.position {
		en.lateUntil = now.Add(lateWriteTime)
	}
	if first {
		known = en
	}
	en = us.withCold(en, known, now)
	if known.announced && next.StartedMs <= known.StartedMs {
		en = en.WithAnnounced()
	}
	return en
}

// withCold returns the entry with the end of its cold time: as it reports, or else that
// of the service if its lifetime is not the one known before.
func (us *Upstreams) withCold(en, known entry, now time.Time) entry {
	switch {
	case en.position == known.position && known.ColdKnown && !known.coldUntil.IsZero():
		return en.WithColdUntil(known.coldUntil)
	case en.ColdKnown:
		return en.WithColdUntil(now.Add(en.ColdLeft))
	case us.view != nil && (known.ID == "" || en.StartedMs != known.StartedMs || en.Address != known.Address):
		return en.WithColdUntil(now.Add(us.view.ColdLimit(en.Service).Time))
	default:
		return en.WithColdUntil(known.coldUntil)
	}
}

// put sets the entry of an upstream.
func (us *Upstreams) put(id ident.Upstream, en entry) {
	old, exists := us.entries[id]
	us.entries[id] = en
	if reported := en.ColdKnown && old.position != en.position; reported || !en.coldUntil.Equal(old.coldUntil) {
		us.cooled[id] = en.coldUntil
	}
	if en.Fault != "" && en.Fault != old.Fault {
		us.meter.Log(evOddEntry, slog.String("upstream", string(id)), slog.Uint64("version", en.position.Version), slog.String("fault", en.Fault))
	}
	if !exists || old.Upstream != en.Upstream || old.expired || old.unusable {
		us.meter.Log(evUpstream, slog.String("upstream", string(id)), slog.Uint64("version", en.position.Version),
			slog.String("service", string(en.Service)), slog.String("address", en.Address), slog.Bool("leaving", en.Leaving),
			slog.Int64("startedMs", en.StartedMs), slog.Int64("sequence", en.Sequence))
	}
}

// RecordLeaving records that an upstream has announced in a response that it leaves. It
// stays so until it reports a new lifetime, whatever its entry says until then, and
// whether the store can be reached or not.
func (us *Upstreams) RecordLeaving(up place.Upstream) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if rm, ok := us.removed[up.ID]; ok && up.StartedMs >= rm.StartedMs {
		rm.entry = rm.WithAnnounced()
		us.removed[up.ID] = rm.WithoutUnconfirmed()
	}
	en, ok := us.entries[up.ID]
	if !ok || en.announced || up.StartedMs < en.StartedMs {
		return
	}
	us.entries[up.ID] = en.WithAnnounced()
	us.meter.Log(evAnnounced, slog.String("upstream", string(up.ID)), slog.Uint64("version", en.position.Version), slog.Int64("startedMs", up.StartedMs))
	us.cell.Store(us.endpoints())
}

// isLate reports whether the row is an earlier report than the known one, which the store
// has written later. A report without a lifetime cannot be ordered and is never late.
func (us *Upstreams) isLate(ro feed.Row, next place.Entry, known entry, now time.Time) bool {
	switch {
	case next.StartedMs == 0 || known.StartedMs == 0 || us.mayBeCopied(ro, known):
		return false
	case next.StartedMs < known.StartedMs:
		return now.Before(known.lateUntil)
	default:
		return next.Compare(known.Entry) < 0
	}
}

// ignoreLate records that the row is late, so that it stays ignored when it is read again.
func (us *Upstreams) ignoreLate(ro feed.Row, next place.Entry, known entry) {
	us.late[ident.Upstream(ro.Key)] = ro.Position
	us.meter.Log(evLate, slog.String("upstream", ro.Key), slog.Uint64("version", ro.Position.Version),
		slog.Int64("startedMs", next.StartedMs), slog.Int64("sequence", next.Sequence), slog.Bool("leaving", next.Leaving),
		slog.Uint64("knownVersion", known.position.Version), slog.Int64("knownStartedMs", known.StartedMs), slog.Int64("knownSequence", known.Sequence))
}

// outdated reports whether the row may be that of a copy that does not contain what the
// upstream has reported since.
func (us *Upstreams) outdated(ro feed.Row, next place.Entry, known entry) bool {
	return us.mayBeCopied(ro, known) && next.Compare(known.Entry) <= 0
}

// mayBeCopied reports whether the row may be that of a copy from which the store has
// returned since the known entry was written.
func (us *Upstreams) mayBeCopied(ro feed.Row, known entry) bool {
	return known.position.Era < ro.Position.Era && !ro.Position.After(us.eraStart)
}

// remove removes an entry, or marks it as expired during the grace period.
func (us *Upstreams) remove(id ident.Upstream, now time.Time) {
	if rm, ok := us.removed[id]; ok {
		us.removed[id] = rm.WithoutUnconfirmed()
	}
	en, ok := us.entries[id]
	if !ok {
		return
	}
	if en.unusable {
		delete(us.entries, id)
		if en.ID != "" {
			us.removed[id] = removal{entry: en, at: now}
		}
		return
	}
	if now.Before(us.graceUntil) {
		if !en.expired {
			us.meter.Log(evExpired, slog.String("upstream", string(id)), slog.Uint64("version", en.position.Version))
		}
		us.entries[id] = en.WithExpired()
		return
	}
	delete(us.entries, id)
	us.removed[id] = removal{entry: en, at: now}
	us.meter.Log(evRemoved, slog.String("upstream", string(id)), slog.Uint64("version", en.position.Version))
}

// publish makes the entries visible to Load. The cold times are set before, so that no
// request is sent in between.
func (us *Upstreams) publish(now time.Time) {
	next := us.endpoints()
	for id, until := range us.cooled {
		if ep, ok := next.Endpoint(id); ok {
			ep.SetCold(until, now)
		}
	}
	clear(us.cooled)
	us.cell.Store(next)
}

// endpoints returns the endpoints of the entries.
func (us *Upstreams) endpoints() place.EndpointMap {
	all := make([]place.Upstream, 0, len(us.entries))
	for _, en := range us.entries {
		if !en.unusable {
			all = append(all, en.Upstream)
		}
	}
	return us.cell.Load().WithUpstreams(all...)
}
