package poison

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/poison"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Run records observations and removes old records until ctx ends.
func (rg *Registry) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for range workers {
		running.Go(func() { rg.work(ctx) })
	}
	for {
		tm := time.NewTimer(cleanInterval/2 + rand.N(cleanInterval))
		select {
		case <-ctx.Done():
			tm.Stop()
			return
		case <-tm.C:
			rg.clean(ctx)
		}
	}
}

func (rg *Registry) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case record := <-rg.pending:
			record(ctx)
		}
	}
}

// recordEnd records the end of an upstream for the parts that no served request has
// ruled out.
func (rg *Registry) recordEnd(ctx context.Context, up proxy.Upstream, parts []poison.Part, known poison.History) {
	nowMs, ok := rg.clock()
	records := rg.records.Load()
	var suspects []poison.Part
	for _, pa := range parts {
		if !rg.wasServed(pa) && !records[pa].Sound(nowMs) {
			suspects = append(suspects, pa)
		}
	}
	if !ok || len(suspects) == 0 || !rg.refuses(ctx, up) {
		return
	}
	rg.meter.Count("poisonEnds", "", "", 1)
	for _, pa := range suspects {
		before, after, saved := rg.update(ctx, pa, func(re poison.Record) poison.Record {
			return re.WithEnd(up.ID, suspects, known[pa], nowMs)
		})
		attrs := []slog.Attr{slog.String("part", keyOf(pa)), slog.String("upstream", string(up.ID)),
			slog.Int("ends", after.Ends), slog.Bool("saved", saved)}
		rg.meter.Log(evEnded, attrs...)
		// Fewer parts in common refuse more requests.
		if !before.Blocks(after.Common, nowMs) && after.Blocks(after.Common, nowMs) {
			rg.meter.Log(evBlocked, append(attrs, slog.Int64("untilMs", after.BlockedUntilMs), slog.Int("commonParts", len(after.Common)))...)
		}
	}
}

// recordSound records that a part is sound, unless another router has done so.
func (rg *Registry) recordSound(ctx context.Context, pa poison.Part) {
	tm := time.NewTimer(rand.N(soundDelay))
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return
	case <-tm.C:
	}
	nowMs, ok := rg.clock()
	if !ok || rg.records.Load()[pa].Ends == 0 {
		return
	}
	if before, _, saved := rg.update(ctx, pa, func(re poison.Record) poison.Record {
		if re.Ends == 0 {
			return re
		}
		return re.WithSound(nowMs)
	}); before.Ends > 0 {
		rg.meter.Log(evSound, slog.String("part", keyOf(pa)), slog.Int("ends", before.Ends), slog.Bool("saved", saved))
	}
}

// claimTrial reports whether this router may try one request with the part. Of all
// routers one may, because the claim is a conditional write.
func (rg *Registry) claimTrial(ctx context.Context, pa poison.Part, nowMs int64) bool {
	claimed := false
	_, _, saved := rg.update(ctx, pa, func(re poison.Record) poison.Record {
		if claimed = re.TrialDue(nowMs); !claimed {
			return re
		}
		return re.WithTrial(nowMs)
	})
	if claimed && saved {
		rg.meter.Log(evTrial, slog.String("part", keyOf(pa)))
	}
	return claimed && saved
}

// update changes the record of a part in the table and in memory. It returns the
// record before and after the change. If the table cannot be written, only this router
// knows of the change.
func (rg *Registry) update(ctx context.Context, pa poison.Part, change func(poison.Record) poison.Record) (before, after poison.Record, saved bool) {
	before, after, err := rg.commit(ctx, pa, change)
	if err != nil {
		before = rg.records.Load()[pa].Record
		after = change(before)
		rg.meter.Log(evNotSaved, slog.String("part", keyOf(pa)), slog.String("error", err.Error()))
	}
	rg.records.Update(func(old map[poison.Part]row) (map[poison.Part]row, bool) {
		// A later record may have come with the feed in the meantime.
		if ro, listed := old[pa]; listed && !after.NewerThan(ro.Record) {
			return old, false
		}
		next := maps.Clone(old)
		next[pa] = row{Record: after}
		return next, true
	})
	return before, after, err == nil
}

// commit changes the row of a part. It reads the row again after a conflict and after
// a write whose result is not known; a change that is applied twice has no further
// effect.
func (rg *Registry) commit(ctx context.Context, pa poison.Part, change func(poison.Record) poison.Record) (before, after poison.Record, err error) {
	key := Prefix + keyOf(pa)
	for range maxCommits {
		it, _, getErr := rg.table.Get(ctx, key)
		if getErr != nil {
			return before, after, getErr
		}
		if before, err = rg.decode(it.Value); err != nil {
			return before, after, err
		}
		// The store may have lost what this router knows, or never got it.
		if known := rg.records.Load()[pa].Record; known.NewerThan(before) {
			before = known
		}
		after = change(before)
		if !after.NewerThan(before) {
			return before, after, nil
		}
		data, encErr := rg.codec.Encode(after)
		if encErr != nil {
			return before, after, encErr
		}
		err = rg.table.Commit(ctx, store.Write{Key: key, Value: data, IfVersion: it.Version})
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUncertain) {
			return before, after, err
		}
	}
	return before, after, err
}

// decode returns the record of a row, which is empty if the row does not exist.
func (rg *Registry) decode(value []byte) (poison.Record, error) {
	if len(value) == 0 {
		return poison.Record{}, nil
	}
	return rg.codec.Decode(value)
}

// clean removes the rows of records that have no effect any more.
func (rg *Registry) clean(ctx context.Context) {
	nowMs, ok := rg.clock()
	if !ok {
		return
	}
	for pa, ro := range rg.records.Load() {
		if ro.Forgotten(nowMs) && rg.deleteRow(ctx, pa, nowMs) {
			rg.remove(pa)
		}
	}
}

// deleteRow removes the row of a part if its record has no effect any more, and
// reports whether there is none left.
func (rg *Registry) deleteRow(ctx context.Context, pa poison.Part, nowMs int64) bool {
	key := Prefix + keyOf(pa)
	it, exists, err := rg.table.Get(ctx, key)
	if err != nil || !exists {
		return err == nil
	}
	if re, err := rg.decode(it.Value); err == nil && !re.Forgotten(nowMs) {
		return false
	}
	return rg.table.Commit(ctx, store.Write{Key: key, IfVersion: it.Version, Mode: store.Delete}) == nil
}
