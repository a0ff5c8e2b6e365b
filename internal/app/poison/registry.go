// Package poison keeps requests from upstreams that a part of their prompts would
// end. Routers share what they have seen through rows of the table.
package poison

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/poison"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

var (
	evEnded    = meter.Event{Number: 5201, Level: slog.LevelWarn, Text: "an upstream ended under a request that had just begun"}
	evBlocked  = meter.Event{Number: 5202, Level: slog.LevelError, Text: "requests with a part of a prompt are refused because upstreams end under it"}
	evSound    = meter.Event{Number: 5203, Level: slog.LevelInfo, Text: "a part of a prompt is sound"}
	evTrial    = meter.Event{Number: 5204, Level: slog.LevelInfo, Text: "one request with a refused part of a prompt is tried"}
	evNotSaved = meter.Event{Number: 5205, Level: slog.LevelWarn, Text: "what is known about a part of a prompt could not be shared with other routers"}
	evBadRow   = meter.Event{Number: 5206, Level: slog.LevelWarn, Text: "the record of a part of a prompt cannot be used"}
)

const (
	// Prefix is the prefix of the keys of the records. They have a partition of their
	// own, so that a burst of them does not delay other rows.
	Prefix = "poison/all/"
	// soundTime is for how long a served request rules its parts out.
	soundTime = 5 * time.Minute
	// maxPending bounds the observations that wait, and workers those that are
	// recorded at the same time. An upstream with 64 slots may end under as many
	// requests.
	maxPending = 512
	workers    = 8
	// maxCommits bounds the attempts to write a record that other routers write too.
	maxCommits = 8
	// soundDelay is the longest random delay before a part is recorded as sound.
	// Many routers may know that, and the first one spares the others the write.
	soundDelay = 60 * time.Millisecond
	// cleanInterval is the mean time between two removals of old records.
	cleanInterval = 30 * time.Second
)

// Refuses reports whether the upstream's address refuses connections, so that its
// process has ended. An upstream that does not respond has not.
type Refuses func(ctx context.Context, up proxy.Upstream) bool

// Clock returns a lower bound of a clock that all routers share, in milliseconds, and
// false while it is not known.
type Clock func() (ms int64, ok bool)

type options struct {
	meter meter.Meter
}

// Option configures a Registry.
type Option func(*options)

// WithMeter sets the meter. By default, nothing is recorded.
func WithMeter(me meter.Meter) Option { return func(op *options) { op.meter = me } }

// Registry is what a router knows about parts of prompts. It is a sink for the feed
// of the table and safe for concurrent use. A request takes no lock.
type Registry struct {
	table   store.Table
	codec   store.Codec[poison.Record]
	clock   Clock
	refuses Refuses
	opts    options

	records *snap.Cell[map[poison.Part]row]
	// served holds the parts of requests that were served lately.
	served  *place.RecentPrefixes
	pending chan observation
	known   atomic.Bool
}

// row is a record with the version of its row in the feed, which is zero if the
// record was not read from there.
type row struct {
	poison.Record
	version uint64
}

// observation is what a worker has to record about parts.
type observation struct {
	upstream proxy.Upstream
	parts    []poison.Part
	sound    bool
}

// NewRegistry returns a registry without records.
func NewRegistry(table store.Table, codec store.Codec[poison.Record], clock Clock, refuses Refuses, opts ...Option) *Registry {
	op := options{meter: meter.Nop{}}
	for _, apply := range opts {
		apply(&op)
	}
	return &Registry{
		table: table, codec: codec, clock: clock, refuses: refuses, opts: op,
		records: snap.NewCell(map[poison.Part]row{}), served: place.NewRecentPrefixes(soundTime),
		pending: make(chan observation, maxPending),
	}
}

// Known reports whether the records have been read at least once.
func (rg *Registry) Known() bool { return rg.known.Load() }

// Admit returns a refusal if upstreams have ended under what the request's parts have
// in common with others. One request is tried from time to time.
func (rg *Registry) Admit(ctx context.Context, parts []poison.Part) *refuse.Refusal {
	records := rg.records.Load()
	if len(records) == 0 {
		return nil
	}
	nowMs, ok := rg.clock()
	var due []poison.Part
	for _, pa := range parts {
		re, listed := records[pa]
		if !listed || !re.Blocks(parts, nowMs) || rg.wasServed(pa) {
			continue
		}
		if !ok || !re.TrialDue(nowMs) {
			return refusal(pa, re.Record, nowMs)
		}
		due = append(due, pa)
	}
	for _, pa := range due {
		if !rg.claimTrial(ctx, pa, nowMs) {
			return refusal(pa, records[pa].WithTrial(nowMs), nowMs)
		}
	}
	return nil
}

func refusal(pa poison.Part, re poison.Record, nowMs int64) *refuse.Refusal {
	left := time.Duration(re.BlockedUntilMs-nowMs) * time.Millisecond
	return refuse.New(refuse.PoisonedPrompt, "%d upstreams have ended under part %s", re.Ends, keyOf(pa)).WithRetryAt(time.Now().Add(left))
}

// Suspect reports whether another attempt of a request with the parts could end
// another upstream. tried are those of its earlier attempts.
func (rg *Registry) Suspect(parts []poison.Part, tried []ident.Upstream) bool {
	records := rg.records.Load()
	if len(records) == 0 {
		return false
	}
	nowMs, _ := rg.clock()
	for _, pa := range parts {
		if re, listed := records[pa]; listed && re.Suspect(tried, nowMs) && !rg.wasServed(pa) {
			return true
		}
	}
	return false
}

// Ended records that the connection to the upstream ended before the first part of
// the response to a request with the parts. It does not block.
func (rg *Registry) Ended(up proxy.Upstream, parts []poison.Part) {
	rg.observe(observation{upstream: up, parts: parts})
}

// Served records that a request with the parts was served.
func (rg *Registry) Served(parts []poison.Part) {
	records, now := rg.records.Load(), time.Now()
	for _, pa := range parts {
		rg.served.Add(uint64(pa), 0, now)
		if re, listed := records[pa]; listed && re.Ends > 0 {
			rg.observe(observation{parts: []poison.Part{pa}, sound: true})
		}
	}
}

func (rg *Registry) wasServed(pa poison.Part) bool {
	return rg.served.Contains(uint64(pa), 0, time.Now())
}

func (rg *Registry) observe(ob observation) {
	select {
	case rg.pending <- ob:
	default:
		rg.opts.meter.Count("poisonDropped", "", "", 1)
	}
}

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
		case ob := <-rg.pending:
			if ob.sound {
				rg.recordSound(ctx, ob.parts[0])
			} else {
				rg.recordEnd(ctx, ob)
			}
		}
	}
}

// recordEnd records the end of an upstream for the parts that no served request has
// ruled out.
func (rg *Registry) recordEnd(ctx context.Context, ob observation) {
	nowMs, ok := rg.clock()
	records := rg.records.Load()
	var suspects []poison.Part
	for _, pa := range ob.parts {
		if !rg.wasServed(pa) && !records[pa].Sound(nowMs) {
			suspects = append(suspects, pa)
		}
	}
	if !ok || len(suspects) == 0 || !rg.refuses(ctx, ob.upstream) {
		return
	}
	rg.opts.meter.Count("poisonEnds", "", "", 1)
	for _, pa := range suspects {
		before, after, saved := rg.update(ctx, pa, func(re poison.Record) poison.Record {
			return re.WithEnd(ob.upstream.ID, suspects, nowMs)
		})
		attrs := []slog.Attr{slog.String("part", keyOf(pa)), slog.String("upstream", string(ob.upstream.ID)),
			slog.Int("ends", after.Ends), slog.Bool("saved", saved)}
		rg.opts.meter.Log(evEnded, attrs...)
		if !before.Blocks(after.Common, nowMs) && after.Blocks(after.Common, nowMs) {
			rg.opts.meter.Log(evBlocked, append(attrs, slog.Int64("untilMs", after.BlockedUntilMs), slog.Int("commonParts", len(after.Common)))...)
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
		rg.opts.meter.Log(evSound, slog.String("part", keyOf(pa)), slog.Int("ends", before.Ends), slog.Bool("saved", saved))
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
		rg.opts.meter.Log(evTrial, slog.String("part", keyOf(pa)))
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
		rg.opts.meter.Log(evNotSaved, slog.String("part", keyOf(pa)), slog.String("error", err.Error()))
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
		after = change(before)
		if !after.NewerThan(before) {
			return before, after, nil
		}
		data, encErr := rg.codec.Encode(after)
		if encErr != nil {
			return before, after, encErr
		}
		if err = rg.table.Commit(ctx, store.Write{Key: key, Value: data, IfVersion: it.Version}); err == nil || ctx.Err() != nil {
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

// Replace replaces the records that were read before.
func (rg *Registry) Replace(ba feed.Batch, _ time.Time) {
	changed := rg.decodeRows(ba.Rows)
	rg.records.Update(func(old map[poison.Part]row) (map[poison.Part]row, bool) {
		next := make(map[poison.Part]row, len(changed))
		for pa, ro := range old {
			// A record without a version was written by this router, perhaps after the
			// read, and one with a later version was.
			if ro.version == 0 || ro.version > ba.Version {
				next[pa] = ro
			}
		}
		maps.Copy(next, changed)
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
			rg.opts.meter.Log(evBadRow, slog.String("key", ro.Key), slog.Uint64("version", ro.Version))
			continue
		}
		out[pa] = row{Record: re, version: ro.Version}
	}
	return out
}

// ruleOut records the suspected parts as sound that this router has served.
func (rg *Registry) ruleOut(changed map[poison.Part]row) {
	for pa, ro := range changed {
		if ro.Ends > 0 && rg.wasServed(pa) {
			rg.observe(observation{parts: []poison.Part{pa}, sound: true})
		}
	}
}

func (rg *Registry) set(changed map[poison.Part]row) {
	rg.records.Update(func(old map[poison.Part]row) (map[poison.Part]row, bool) {
		next := maps.Clone(old)
		maps.Copy(next, changed)
		return next, true
	})
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
