package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// erasFeed returns one batch after the other, then no changes.
type erasFeed struct {
	mu      sync.Mutex
	batches []feed.Batch
	last    feed.Batch
	reads   []string
}

// All returns the next batch.
func (ef *erasFeed) All(context.Context) (feed.Batch, error) { return ef.next("all", 0), nil }

// Changes returns the next batch.
func (ef *erasFeed) Changes(_ context.Context, _ epoch.Position, wait time.Duration) (feed.Batch, error) {
	return ef.next("changes", wait), nil
}

func (ef *erasFeed) next(call string, wait time.Duration) feed.Batch {
	time.Sleep(wait)
	ef.mu.Lock()
	defer ef.mu.Unlock()
	if len(ef.batches) == 0 {
		return feed.Batch{Position: ef.last.Position}
	}
	ef.reads = append(ef.reads, call)
	ef.last, ef.batches = ef.batches[0], ef.batches[1:]
	return ef.last
}

// batch returns a batch at a position with upstreams by id.
func batch(era, version uint64, ids ...string) feed.Batch {
	ba := feed.Batch{Position: epoch.At(era, version)}
	for _, id := range ids {
		ba.Rows = append(ba.Rows, feed.Row{Key: id, Value: []byte(id), Position: epoch.At(era, version)})
	}
	return ba
}

// TestResponseOfOtherEra guards against a late response of an earlier era that changes
// what is known, and against changes that are missed because the version they are read
// from was given out again in a later era.
func TestResponseOfOtherEra(t *testing.T) {
	for _, tc := range []struct {
		name    string
		batches []feed.Batch
		reads   []string
		want    []string
	}{
		{"changes of an earlier era", []feed.Batch{batch(2, 5, "a"), batch(1, 9, "b"), batch(2, 5), batch(2, 6, "a", "c")},
			[]string{"all", "changes", "changes", "all"}, []string{"a", "c"}},
		{"all rows of an earlier era", []feed.Batch{batch(2, 5, "a"), batch(3, 1), batch(2, 8, "b"), batch(3, 2, "a", "c")},
			[]string{"all", "changes", "all", "all"}, []string{"a", "c"}},
		{"changes of a later era", []feed.Batch{batch(1, 5, "a"), batch(2, 6, "b"), batch(2, 6, "a", "b", "c")},
			[]string{"all", "changes", "all"}, []string{"a", "b", "c"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ef := &erasFeed{batches: tc.batches}
				us := follow.NewUpstreams(decodeUpstream, meter.Nop{})
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { follow.NewLoop("upstreams", ef, us).Run(ctx) })
				time.Sleep(4 * time.Second)
				cancel()
				running.Wait()
				if diff := cmp.Diff(tc.reads, ef.reads); diff != "" {
					t.Errorf("calls (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tc.want, ids(us)); diff != "" {
					t.Errorf("upstreams (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestConfigOfOtherEra guards against a router that ranks the configurations of the
// store and of other routers by versions of different eras.
func TestConfigOfOtherEra(t *testing.T) {
	offer := func(era, version uint64, value string) feed.Row {
		return feed.Row{Key: "config", Value: []byte(value), Position: epoch.At(era, version)}
	}
	co := follow.NewConfig(decode, meter.Nop{})
	var got []ident.Revision
	for _, ro := range []feed.Row{
		offer(2, 90, "8"), offer(1, 2590, "11"), offer(2, 91, "9"), offer(2, 92, "11"), offer(1, 2600, "11"), offer(2, 93, "14"),
	} {
		co.Offer(ro, "store")
		got = append(got, co.Load().Revision())
	}
	if diff := cmp.Diff([]ident.Revision{8, 11, 11, 11, 11, 14}, got); diff != "" {
		t.Errorf("revisions in force (-want +got):\n%s", diff)
	}
}
