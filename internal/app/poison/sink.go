package poison

import (
	"context"
	"log/slog"
	"maps"
	"strconv"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/poison"
	"github.com/balsamwood/balsamwood/internal/port/feed"
)

// Replace replaces the records that were read before.
func (rg *Registry) Replace(ba feed.Batch, _ time.Time) {
	changed := rg.decodeRows(ba.Rows)
	rg.records.Update(func(old map[poison.Part]row) (map[poison.Part]row, bool) {
		next := make(map[poison.Part]row, len(changed))
		for pa, ro := range old {
			// A record without a position was written by this router, perhaps after the
			// read, and one with a later position was.
			if ro.position.IsZero() || ro.position.After(ba.Position) {
				next[pa] = ro
			}
			// The store may have lost a record of an earlier era.
			if ro.position.Era < ba.Position.Era {
				next[pa] = row{Record: ro.Record}
			}
		}
		merge(next, changed)
		return next, true
	})
	rg.known.Store(true)
	rg.ruleOut(changed)
}

// ApplyChanges applies changed records.
func (rg *Registry) ApplyChanges(ba feed.Batch, _ time.Time) {
	for _, ro := range ba.Rows {
		if pa, ok := partOf(ro.Key); ok && ro.Deleted {
			rg.remove(pa)
		}
	}
	changed := rg.decodeRows(ba.Rows)
	rg.set(changed)
	rg.ruleOut(changed)
}

// Lost does nothing: what is known stays in force.
func (rg *Registry) Lost(time.Time) {}

// Recovered does nothing.
func (rg *Registry) Recovered(time.Time) {}

// decodeRows returns the records of the rows that exist.
func (rg *Registry) decodeRows(rows []feed.Row) map[poison.Part]row {
	out := make(map[poison.Part]row, len(rows))
	for _, ro := range rows {
		pa, ok := partOf(ro.Key)
		if ro.Deleted {
			continue
		}
		re, err := rg.decode(ro.Value)
		if !ok || err != nil {
			rg.meter.Log(evBadRow, slog.String("key", ro.Key), slog.Uint64("version", ro.Position.Version))
			continue
		}
		out[pa] = row{Record: re, position: ro.Position}
	}
	return out
}

// ruleOut records the suspected parts as sound that this router has served.
func (rg *Registry) ruleOut(changed map[poison.Part]row) {
	for pa, ro := range changed {
		if ro.Ends > 0 && rg.wasServed(pa) {
			rg.later(func(ctx context.Context) { rg.recordSound(ctx, pa) })
		}
	}
}

func (rg *Registry) set(changed map[poison.Part]row) {
	rg.records.Update(func(old map[poison.Part]row) (map[poison.Part]row, bool) {
		next := maps.Clone(old)
		merge(next, changed)
		return next, true
	})
}

// merge puts the records from the feed into records. What this router could not save
// stays.
func merge(records, changed map[poison.Part]row) {
	for pa, ro := range changed {
		if own, listed := records[pa]; !listed || !own.position.IsZero() || !own.NewerThan(ro.Record) {
			records[pa] = ro
		}
	}
}

func (rg *Registry) remove(pa poison.Part) {
	rg.records.Update(func(old map[poison.Part]row) (map[poison.Part]row, bool) {
		if _, listed := old[pa]; !listed {
			return old, false
		}
		next := maps.Clone(old)
		delete(next, pa)
		return next, true
	})
}

func keyOf(pa poison.Part) string { return strconv.FormatUint(uint64(pa), 16) }

func partOf(key string) (poison.Part, bool) {
	num, err := strconv.ParseUint(key, 16, 64)
	return poison.Part(num), err == nil
}
