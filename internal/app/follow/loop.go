// Package follow keeps a router's view of the configuration, the upstreams and the
// other routers up to date. It reads feeds that may stop responding, lag or lose
// their history.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evFeedLost      = meter.Event{Number: 5101, Level: slog.LevelWarn, Text: "feed lost"}
	evFeedAvailable = meter.Event{Number: 5102, Level: slog.LevelInfo, Text: "feed available again"}
	evHistoryLost   = meter.Event{Number: 5103, Level: slog.LevelInfo, Text: "feed history lost, all rows are read again"}
	evNewEra        = meter.Event{Number: 5105, Level: slog.LevelWarn, Text: "the store returned from an older copy, its rows are taken as its state"}
	evSlowRead      = meter.Event{Number: 5104, Level: slog.LevelInfo, Text: "rows of a feed took long to arrive"}
	evStillLost     = meter.Event{Number: 5107, Level: slog.LevelWarn, Text: "feed is still lost"}
)

// errEarlierEra means that a response is older than the known era of the store.
var errEarlierEra = errors.New("follow: response of an earlier era of the store")

const (
	// defaultLongPoll is how long the store may hold a call while there is no change.
	// With the margin that the adapter adds, a connection without responses is
	// detected within 1 s, half of the 2 s in which a change must be in force.
	defaultLongPoll = 600 * time.Millisecond
	// minPause is the minimum time between the starts of two calls.
	minPause = 50 * time.Millisecond
	// busyPause is the same while each call brings changes. 50 upstreams that write their
	// entries every 1.2 s would otherwise cause 20 calls a second. A leaving upstream must
	// be known within 2 s.
	busyPause = 225 * time.Millisecond
	// retryPause is the mean time between two calls while the feed is lost.
	retryPause = 150 * time.Millisecond
	// rereadInterval is the minimum time between two periodic reads of all rows,
	// which find changes that the feed has omitted.
	rereadInterval = 5 * time.Second
	// rereadBytesPerSecond bounds the traffic of these reads, half of the control
	// traffic that the planned size allows a router. Large rows are read again less
	// often.
	rereadBytesPerSecond = 12 << 10
	// rereadShare is the divisor of the time that reads after a loss may use. On a full
	// link the read of a large row would cause the next loss.
	rereadShare = 10
	// slowTransfer is the transfer time from which a read is logged.
	slowTransfer = 200 * time.Millisecond
	// lossLogInterval is the minimum time between two log records about one loss.
	lossLogInterval = 2 * time.Second
)

// Sink receives the rows of a feed. Its methods are called by one goroutine.
type Sink interface {
	// Replace replaces all rows that were received before. A batch of a later era
	// contains rows of an older copy that the store has returned from.
	Replace(ba feed.Batch, now time.Time)
	// ApplyChanges applies changed rows in order.
	ApplyChanges(ba feed.Batch, now time.Time)
	// Lost is called when a call to the feed fails, but not again for further
	// failures until a call has succeeded.
	Lost(now time.Time)
	// Recovered is called after the first call that succeeds after Lost, before its
	// rows are passed on.
	Recovered(now time.Time)
}

// Option configures a Loop.
type Option func(*Loop)

// WithMeter sets the meter. By default, nothing is recorded.
func WithMeter(me meter.Meter) Option { return func(lo *Loop) { lo.meter = me } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(lo *Loop) { lo.clock = ck } }

// WithLongPoll sets how long the feed may hold a call while there is no change. The
// default is 600 ms. A connection without responses is detected 400 ms later.
func WithLongPoll(wait time.Duration) Option { return func(lo *Loop) { lo.longPoll = wait } }

// Loop reads one feed and passes its rows to a sink.
type Loop struct {
	name  string
	feed  feed.Feed
	sink  Sink
	meter meter.Meter
	clock clock.Clock
	// longPoll is how long the feed may hold a call.
	longPoll time.Duration

	position epoch.Position
	rereadAt time.Time
	// mayRereadAt is when all rows may be read again after a loss.
	mayRereadAt time.Time
	failures    int
	// lossLogAt is when the next failure of a lost feed is logged.
	lossLogAt time.Time
	// busy means that the last call brought changes, and pause is the minimum time between
	// the starts of the last call and the next.
	busy    bool
	pause   time.Duration
	contact *snap.Cell[contact]
}

// contact is when a call to a feed last succeeded, and when the first one failed since,
// or the zero time.
type contact struct {
	succeededAt time.Time
	lostAt      time.Time
	// incomplete says that the feed was lost and not all rows were read since.
	incomplete bool
}

// WithLoss returns a copy in which a call has failed at the time.
func (co contact) WithLoss(at time.Time) contact {
	co.lostAt, co.incomplete = at, true
	return co
}

// WithSuccess returns a copy in which a call has succeeded at the time.
func (co contact) WithSuccess(at time.Time) contact {
	co.succeededAt, co.lostAt = at, time.Time{}
	return co
}

// WithAllRows returns a copy in which all rows were read.
func (co contact) WithAllRows() contact {
	co.incomplete = false
	return co
}

func (co contact) lost() bool { return !co.lostAt.IsZero() }

// NewLoop returns a loop that passes the rows of the feed to the sink. The name
// appears in log records and metrics.
func NewLoop(name string, fe feed.Feed, si Sink, opts ...Option) *Loop {
	lo := &Loop{name: name, feed: fe, sink: si, meter: meter.Nop{}, clock: clock.System{}, longPoll: defaultLongPoll}
	for _, opt := range opts {
		opt(lo)
	}
	lo.contact = snap.NewCell(contact{succeededAt: lo.clock.Now()})
	return lo
}

// OverdueFor returns for how long a change may have been missing: since the last
// call that succeeded, less the time for which the feed may hold a call. It is safe
// for concurrent use.
func (lo *Loop) OverdueFor(now time.Time) time.Duration {
	co := lo.contact.Load()
	overdue := now.Sub(co.succeededAt)
	if !co.lost() {
		overdue -= lo.longPoll
	}
	return max(0, overdue)
}

// MayLackChanges reports whether changes may have been missed while the feed was lost,
// because not all rows were read since. It is safe for concurrent use.
func (lo *Loop) MayLackChanges() bool { return lo.contact.Load().incomplete }

// Run reads the feed until ctx ends.
func (lo *Loop) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := lo.clock.Now()
		err := lo.step(ctx)
		if ctx.Err() != nil {
			return
		}
		now := lo.clock.Now()
		pause := lo.pause - now.Sub(started)
		if err != nil {
			lo.fail(err, now)
			pause = retryPause/2 + rand.N(retryPause)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// step makes one call to the feed: it reads all rows, or waits for changes.
func (lo *Loop) step(ctx context.Context) error {
	now := lo.clock.Now()
	whole := lo.position.IsZero() || !now.Before(lo.rereadAt)
	var ba feed.Batch
	var err error
	lo.meter.Count("tableCalls", "kind", "feed-"+lo.name, 1)
	if whole {
		ba, err = lo.feed.All(ctx)
	} else {
		ba, err = lo.feed.Changes(ctx, lo.position, lo.longPoll)
	}
	truncated := errors.Is(err, feed.ErrHistoryTruncated)
	if err != nil && !truncated {
		return err
	}
	if !truncated && ba.Position.Era < lo.position.Era {
		return errEarlierEra
	}
	lo.recover(lo.clock.Now())
	lo.record(ba)
	if lo.pause = minPause; lo.busy && !whole && len(ba.Rows) > 0 {
		lo.pause = busyPause
	}
	lo.busy = len(ba.Rows) > 0
	switch {
	case truncated:
		lo.meter.Log(evHistoryLost, slog.String("feed", lo.name), slog.Uint64("version", lo.position.Version))
		lo.rereadAt = time.Time{}
	case whole:
		interval := max(rereadInterval, time.Duration(ba.Bytes)*time.Second/rereadBytesPerSecond)
		lo.rereadAt = now.Add(interval + rand.N(interval/4))
		lo.mayRereadAt = now.Add(rereadShare * ba.Transfer)
		lo.contact.Store(lo.contact.Load().WithAllRows())
		lo.replace(ba)
	case ba.Position.Era > lo.position.Era:
		lo.enterEra(ba)
		lo.rereadAt = time.Time{}
	default:
		lo.applyChanges(ba)
	}
	return nil
}

// replace passes on all rows, unless the store returned an older state than the known
// one.
func (lo *Loop) replace(ba feed.Batch) {
	if ba.Position.Before(lo.position) {
		return
	}
	if !lo.position.IsZero() && ba.Position.Era > lo.position.Era {
		lo.enterEra(ba)
	}
	lo.position = ba.Position
	lo.sink.Replace(ba, lo.clock.Now())
}

// enterEra forgets the version of the earlier era, but not that there is a later one.
func (lo *Loop) enterEra(ba feed.Batch) {
	lo.meter.Log(evNewEra, slog.String("feed", lo.name), slog.Uint64("era", ba.Position.Era), slog.Uint64("version", ba.Position.Version),
		slog.Uint64("eraBefore", lo.position.Era), slog.Uint64("versionBefore", lo.position.Version))
	lo.position = ba.Position.WithVersion(0)
}

// applyChanges passes on changed rows, if there are any.
func (lo *Loop) applyChanges(ba feed.Batch) {
	if ba.Position.After(lo.position) {
		lo.position = ba.Position
	}
	if len(ba.Rows) > 0 {
		lo.sink.ApplyChanges(ba, lo.clock.Now())
	}
}

// record counts the bytes of a read and logs a slow one.
func (lo *Loop) record(ba feed.Batch) {
	lo.meter.Count("feedBytes", "feed", lo.name, int64(ba.Bytes))
	if ba.Transfer >= slowTransfer {
		lo.meter.Log(evSlowRead, slog.String("feed", lo.name), slog.Uint64("version", ba.Position.Version), slog.Uint64("after", lo.position.Version),
			slog.Int("bytes", ba.Bytes), slog.Duration("transfer", ba.Transfer))
	}
}

// fail counts a failed call. The first one marks the feed as lost.
func (lo *Loop) fail(err error, now time.Time) {
	lo.failures++
	lo.meter.Count("feedErrors", "feed", lo.name, 1)
	before := lo.contact.Load()
	if before.lost() {
		lo.logLoss(before, err, now)
		return
	}
	lo.lossLogAt = now.Add(lossLogInterval)
	lo.contact.Store(before.WithLoss(now))
	lo.sink.Lost(now)
	lo.meter.Log(evFeedLost, slog.String("feed", lo.name), slog.Uint64("version", lo.position.Version), slog.String("error", err.Error()))
}

// logLoss logs a further failure of a lost feed, unless one was logged lately.
func (lo *Loop) logLoss(before contact, err error, now time.Time) {
	if now.Before(lo.lossLogAt) {
		return
	}
	lo.lossLogAt = now.Add(lossLogInterval)
	lo.meter.Log(evStillLost, slog.String("feed", lo.name), slog.Uint64("version", lo.position.Version),
		slog.Duration("lostFor", now.Sub(before.lostAt)), slog.Int("failures", lo.failures), slog.String("error", err.Error()))
}

// recover records a call that succeeded, before its rows are passed on. It marks a
// lost feed as available and requests a read of all rows, unless the last one took long
// and was made lately.
func (lo *Loop) recover(now time.Time) {
	before := lo.contact.Load()
	lo.contact.Store(before.WithSuccess(now))
	if !before.lost() {
		return
	}
	// The history may lack changes that were made in the meantime.
	if lo.mayRereadAt.Before(lo.rereadAt) {
		lo.rereadAt = lo.mayRereadAt
	}
	lo.sink.Recovered(now)
	lo.meter.Log(evFeedAvailable, slog.String("feed", lo.name), slog.Duration("lostFor", now.Sub(before.lostAt)), slog.Int("failures", lo.failures))
	lo.failures = 0
}

// sleep waits for the duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	tm := time.NewTimer(pause)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
