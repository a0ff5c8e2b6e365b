// Package poison keeps requests from upstreams that a part of their prompts would
// end. Routers share what they have seen through rows of the table.
package poison

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/poison"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/snap"
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
	// soundTime is for how long a served request rules its parts out. Parts that
	// requests share come back within seconds.
	soundTime = time.Minute
	// anyUpstream is the upstream of all entries of the index of served parts.
	anyUpstream = 0
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

// Option configures a Registry.
type Option func(*Registry)

// WithMeter sets the meter. By default, nothing is recorded.
func WithMeter(me meter.Meter) Option { return func(rg *Registry) { rg.meter = me } }

// Registry is what a router knows about parts of prompts. It is a sink for the feed
// of the table and safe for concurrent use. A request takes no lock.
type Registry struct {
	table   store.Table
	codec   store.Codec[poison.Record]
	clock   Clock
	refuses Refuses
	meter   meter.Meter

	records *snap.Cell[map[poison.Part]row]
	// served holds the parts of requests that were served lately, at any upstream.
	served *place.RecentPrefixes
	// pending holds what workers have to record.
	pending chan func(ctx context.Context)
	known   atomic.Bool
}

// row is a record with the position of its row in the feed, which is zero if the
// record was not read from there.
type row struct {
	poison.Record
	position epoch.Position
}

// NewRegistry returns a registry without records.
func NewRegistry(table store.Table, codec store.Codec[poison.Record], clock Clock, refuses Refuses, opts ...Option) *Registry {
	rg := &Registry{
		table: table, codec: codec, clock: clock, refuses: refuses, meter: meter.Nop{},
		records: snap.NewCell(map[poison.Part]row{}), served: place.NewRecentPrefixes(soundTime),
		pending: make(chan func(ctx context.Context), maxPending),
	}
	for _, opt := range opts {
		opt(rg)
	}
	return rg
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
		re := records[pa]
		if !re.Blocks(parts, nowMs) || rg.wasServed(pa) {
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
		if records[pa].Suspect(tried, nowMs) && !rg.wasServed(pa) {
			return true
		}
	}
	return false
}

// History returns what is known about the parts.
func (rg *Registry) History(parts []poison.Part) poison.History {
	records := rg.records.Load()
	var out poison.History
	for _, pa := range parts {
		if ro, listed := records[pa]; listed {
			if out == nil {
				out = poison.History{}
			}
			out[pa] = ro.Record
		}
	}
	return out
}

// Ended records that the connection to the upstream ended when it had just begun to
// respond to a request with the parts. known is what was known when the request was
// sent. It does not block.
func (rg *Registry) Ended(up proxy.Upstream, parts []poison.Part, known poison.History) {
	rg.later(func(ctx context.Context) { rg.recordEnd(ctx, up, parts, known) })
}

// Served records that a request with the parts did not end its upstream.
func (rg *Registry) Served(parts []poison.Part) {
	records, now := rg.records.Load(), time.Now()
	for _, pa := range parts {
		rg.served.Add(uint64(pa), anyUpstream, now)
		if records[pa].Ends > 0 {
			rg.later(func(ctx context.Context) { rg.recordSound(ctx, pa) })
		}
	}
}

func (rg *Registry) wasServed(pa poison.Part) bool {
	return rg.served.Contains(uint64(pa), anyUpstream, time.Now())
}

// later lets a worker record something.
func (rg *Registry) later(record func(ctx context.Context)) {
	select {
	case rg.pending <- record:
	default:
		rg.meter.Count("poisonDropped", "", "", 1)
	}
}
