package follow_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/port/feed"
)

// busyFeed is a feed of upstreams that each write their entry every 1.2 s.
type busyFeed struct {
	start    time.Time
	interval time.Duration
	calls    atomic.Int64
	// changedAt is when the entry with the key "leaving" is written.
	changedAt time.Time
}

func (bf *busyFeed) version(now time.Time) uint64 { return 1 + uint64(now.Sub(bf.start)/bf.interval) }

func (bf *busyFeed) All(context.Context) (feed.Batch, error) {
	return feed.Batch{Position: epoch.Position{Version: bf.version(time.Now())}}, nil
}

func (bf *busyFeed) Changes(_ context.Context, after epoch.Position, wait time.Duration) (feed.Batch, error) {
	bf.calls.Add(1)
	next := bf.start.Add(time.Duration(after.Version) * bf.interval)
	time.Sleep(min(wait, time.Until(next)))
	now := time.Now()
	ba := feed.Batch{Position: epoch.Position{Version: bf.version(now)}}
	for ve := after.Version + 1; ve <= ba.Position.Version; ve++ {
		key := fmt.Sprint(ve % 50)
		if at := bf.start.Add(time.Duration(ve-1) * bf.interval); !bf.changedAt.IsZero() && !at.Before(bf.changedAt) {
			key = "leaving"
		}
		ba.Rows = append(ba.Rows, feed.Row{Key: key, Position: epoch.Position{Version: ve}})
	}
	return ba, nil
}

// leavingSink records when the row with the key "leaving" arrives.
type leavingSink struct{ at time.Time }

func (*leavingSink) Replace(feed.Batch, time.Time) {}
func (*leavingSink) Lost(time.Time)                {}
func (*leavingSink) Recovered(time.Time)           {}

func (ls *leavingSink) ApplyChanges(ba feed.Batch, now time.Time) {
	if ls.at.IsZero() && ba.Rows[len(ba.Rows)-1].Key == "leaving" {
		ls.at = now
	}
}

// TestCallRate guards against a call for each of the entries that 50 upstreams write
// every 1.2 s, and against a change that is known late: half a second is a quarter of the
// time in which a leaving upstream must be known.
func TestCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bf := &busyFeed{start: time.Now(), interval: 24 * time.Millisecond}
		bf.changedAt = bf.start.Add(10 * time.Second)
		si := &leavingSink{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		follow.NewLoop("upstreams", bf, si).Run(ctx)
		t.Logf("%d calls in 20 s, a change known after %v", bf.calls.Load(), si.at.Sub(bf.changedAt))
		if bf.calls.Load() > 100 {
			t.Errorf("%d calls in 20 s, want at most 100", bf.calls.Load())
		}
		if late := si.at.Sub(bf.changedAt); si.at.IsZero() || late > 500*time.Millisecond {
			t.Errorf("a change is known after %v, want at most 500ms", late)
		}
	})
}

// TestChangeAfterQuiet guards against a pause that delays a change of a feed that rarely
// changes.
func TestChangeAfterQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bf := &busyFeed{start: time.Now(), interval: 5 * time.Second}
		bf.changedAt = bf.start.Add(10 * time.Second)
		si := &leavingSink{}
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		follow.NewLoop("configuration", bf, si).Run(ctx)
		if late := si.at.Sub(bf.changedAt); si.at.IsZero() || late > 10*time.Millisecond {
			t.Errorf("a change is known after %v, want at once", late)
		}
	})
}
