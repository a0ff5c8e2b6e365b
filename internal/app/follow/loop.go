// Package follow keeps a router's belief about the configuration and the
// upstreams up to date from feeds that may fall silent, lag or lose history.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evLost     = meter.Event{Number: 5101, Level: slog.LevelWarn, Text: "feed lost"}
	evRegained = meter.Event{Number: 5102, Level: slog.LevelInfo, Text: "feed regained"}
	evHistory  = meter.Event{Number: 5103, Level: slog.LevelInfo, Text: "feed lost its history, everything is read again"}
)

const (
	// waitFor is how long the store may hold a call without a change. With the
	// adapter's margin a silent connection is found within a second, half of
	// the two seconds in which a change is to be in force.
	waitFor = 600 * time.Millisecond
	// minPause is the shortest time between two calls, which bounds the calls
	// while upstreams change all the time.
	minPause = 50 * time.Millisecond
	// retryPause is the mean time between two calls while the feed is lost.
	retryPause = 150 * time.Millisecond
	// rereadEvery is the time between two reads of everything, which find
	// changes that a feed has left out.
	rereadEvery = 5 * time.Second
)

// Sink receives what a feed says. Its methods are called by one goroutine.
type Sink interface {
	// Whole replaces everything that was known before.
	Whole(ba feed.Batch, now time.Time)
	// Changed adds changes in order.
	Changed(ba feed.Batch, now time.Time)
	// Lost and Regained tell about the connection to the feed.
	Lost(now time.Time)
	Regained(now time.Time)
}

// Option configures a Loop.
type Option func(*Loop)

// WithMeter sets the meter. By default nothing is recorded.
func WithMeter(me meter.Meter) Option { return func(lo *Loop) { lo.meter = me } }

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(lo *Loop) { lo.clock = ck } }

// Loop follows one feed.
type Loop struct {
	name  string
	feed  feed.Feed
	sink  Sink
	meter meter.Meter
	clock clock.Clock

	version  uint64
	reread   time.Time
	lost     bool
	lostAt   time.Time
	failures int
}

// NewLoop returns a loop that passes what the feed says on to the sink. The
// name appears in log records.
func NewLoop(name string, fe feed.Feed, si Sink, opts ...Option) *Loop {
	lo := &Loop{name: name, feed: fe, sink: si, meter: meter.Nop{}, clock: clock.System{}}
	for _, opt := range opts {
		opt(lo)
	}
	return lo
}

// Run follows until ctx ends.
func (lo *Loop) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := lo.clock.Now()
		err := lo.step(ctx)
		if ctx.Err() != nil {
			return
		}
		now := lo.clock.Now()
		pause := minPause - now.Sub(began)
		if err != nil {
			lo.fail(err, now)
			pause = retryPause/2 + rand.N(retryPause)
		} else {
			lo.recover(now)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// step makes one call.
func (lo *Loop) step(ctx context.Context) error {
	now := lo.clock.Now()
	if lo.version == 0 || !now.Before(lo.reread) {
		ba, err := lo.feed.All(ctx)
		if err != nil {
			return err
		}
		lo.reread = now.Add(rereadEvery + rand.N(rereadEvery/4))
		if ba.Version < lo.version {
			// An older state than the one that is known already is not followed.
			return nil
		}
		lo.version = ba.Version
		lo.sink.Whole(ba, lo.clock.Now())
		return nil
	}
	ba, err := lo.feed.Changes(ctx, lo.version, waitFor)
	if errors.Is(err, feed.ErrHistory) {
		lo.meter.Log(evHistory, slog.String("feed", lo.name), slog.Uint64("version", lo.version))
		lo.reread = time.Time{}
		return nil
	}
	if err != nil {
		return err
	}
	if ba.Version > lo.version {
		lo.version = ba.Version
	}
	if len(ba.Rows) > 0 {
		lo.sink.Changed(ba, lo.clock.Now())
	}
	return nil
}

func (lo *Loop) fail(err error, now time.Time) {
	lo.failures++
	lo.meter.Count("feedErrors", "feed", lo.name, 1)
	if lo.lost {
		return
	}
	lo.lost, lo.lostAt = true, now
	lo.sink.Lost(now)
	lo.meter.Log(evLost, slog.String("feed", lo.name), slog.Uint64("version", lo.version), slog.String("error", err.Error()))
}

func (lo *Loop) recover(now time.Time) {
	if !lo.lost {
		return
	}
	lo.lost = false
	// What happened meanwhile may be missing in the history.
	lo.reread = time.Time{}
	lo.sink.Regained(now)
	lo.meter.Log(evRegained, slog.String("feed", lo.name), slog.Duration("lostFor", now.Sub(lo.lostAt)), slog.Int("failures", lo.failures))
	lo.failures = 0
}

// sleep waits and reports whether ctx is still in force.
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
