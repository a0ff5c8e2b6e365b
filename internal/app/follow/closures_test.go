package follow_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/port/feed"
)

// decodeClosure decodes rows whose keys begin with "close/". The value "bad" is an error.
func decodeClosure(ro feed.Row) (ident.Domain, bool, error) {
	name, ok := strings.CutPrefix(ro.Key, "close/")
	if string(ro.Value) == "bad" {
		return ident.Domain(name), false, errors.New("bad value")
	}
	return ident.Domain(name), ok, nil
}

// operatorRows returns a batch at a position. A key with a minus sign is deleted, and one
// with a question mark has a value that cannot be used.
func operatorRows(era, version uint64, keys ...string) feed.Batch {
	ba := feed.Batch{Position: epoch.At(era, version)}
	for _, key := range keys {
		ro := feed.Row{Position: ba.Position}
		key, ro.Deleted = strings.CutPrefix(key, "-")
		if key, ok := strings.CutSuffix(key, "?"); ok {
			ro.Value = []byte("bad")
			ro.Key = key
		} else {
			ro.Key = key
		}
		ba.Rows = append(ba.Rows, ro)
	}
	return ba
}

// TestClosures guards against a closure that is missed, forgotten or kept after its end:
// with changes and reads of all rows in any order, after the store has returned from an
// older copy, and when other routers know a later state.
func TestClosures(t *testing.T) {
	const reads, changes, router = "reads", "changes", "router"
	type step struct {
		source string
		batch  feed.Batch
		// at is the time of the step, and want what is closed then.
		at   time.Duration
		want string
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"closed and opened", []step{
			{reads, operatorRows(1, 1, "config"), 0, ""},
			{changes, operatorRows(1, 2, "close/a"), 0, "a"},
			{changes, operatorRows(1, 3, "close/b", "config"), 0, "a b"},
			{changes, operatorRows(1, 4, "-close/a"), 0, "b"},
			{reads, operatorRows(1, 5), 0, ""},
		}},
		{"older reads", []step{
			{reads, operatorRows(1, 5, "close/a"), 0, "a"},
			{reads, operatorRows(1, 4), 0, "a"},
			{changes, operatorRows(1, 4, "-close/a"), 0, "a"},
		}},
		{"unusable row", []step{
			{reads, operatorRows(1, 1, "close/a", "close/b?"), 0, "a"},
			{changes, operatorRows(1, 2, "close/a?"), 0, "a"},
			{reads, operatorRows(1, 2, "close/a?", "close/b?"), 0, "a"},
			{reads, operatorRows(1, 2, "close/a?", "close/b?"), 0, "a"},
		}},
		{"other routers", []step{
			{router, operatorRows(1, 4, "close/a"), 0, "a"},
			{reads, operatorRows(1, 3), 0, "a"},
			{router, operatorRows(1, 4), 0, "a"},
			{router, operatorRows(1, 6, "close/b"), 0, "b"},
			{changes, operatorRows(1, 7, "close/c"), 0, "b c"},
			{router, operatorRows(1, 6), 0, "b c"},
		}},
		{"lost by the store", []step{
			{reads, operatorRows(1, 9, "close/a"), 0, "a"},
			{reads, operatorRows(2, 3), 0, "a"},
			{reads, operatorRows(2, 4), 4900 * time.Millisecond, "a"},
			{reads, operatorRows(2, 5), 5 * time.Second, ""},
		}},
		{"lost by the store, written again", []step{
			{reads, operatorRows(1, 9, "close/a"), 0, "a"},
			{reads, operatorRows(2, 3), 0, "a"},
			{changes, operatorRows(2, 4, "close/a"), time.Second, "a"},
			{changes, operatorRows(2, 5), time.Minute, "a"},
		}},
		{"lost by the store, deleted again", []step{
			{reads, operatorRows(1, 9, "close/a"), 0, "a"},
			{reads, operatorRows(2, 3), 0, "a"},
			{changes, operatorRows(2, 4, "-close/a"), time.Second, ""},
		}},
		{"back with the copy", []step{
			{reads, operatorRows(1, 9), 0, ""},
			{reads, operatorRows(2, 3, "close/a"), 0, "a"},
			{reads, operatorRows(2, 4, "close/a"), time.Minute, "a"},
			{changes, operatorRows(2, 5, "-close/a"), time.Minute, ""},
		}},
		{"lost by the store, as another router knows", []step{
			{reads, operatorRows(1, 9, "close/a"), 0, "a"},
			{router, operatorRows(2, 3, "close/b"), 0, "a b"},
			{reads, operatorRows(2, 3, "close/b"), 5 * time.Second, "b"},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			el := eventLog{counts: map[int]int{}}
			us := follow.NewUpstreams(decodeUpstream, el)
			cs := follow.NewClosures(decodeClosure, us, el)
			start := time.Now()
			if _, ok := cs.State(); ok || cs.Known() {
				t.Error("a state is known before the first read")
			}
			var got, want []string
			for _, st := range tc.steps {
				now := start.Add(st.at)
				switch st.source {
				case reads:
					cs.Replace(st.batch, now)
				case changes:
					cs.ApplyChanges(st.batch, now)
				case router:
					known := follow.ClosureState{Position: st.batch.Position}
					for _, ro := range st.batch.Rows {
						domain, _, _ := decodeClosure(ro)
						known.Closures = append(known.Closures, follow.Closure{Domain: domain, Position: ro.Position})
					}
					cs.Offer(known, "router", now)
				}
				cs.RemoveEnded(now)
				known, _ := cs.State()
				var domains []string
				for _, cl := range known.Closures {
					domains = append(domains, string(cl.Domain))
				}
				got, want = append(got, strings.Join(domains, " ")), append(want, st.want)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("closed domains after each step (-want +got):\n%s", diff)
			}
			if tc.name == "unusable row" {
				if diff := cmp.Diff(map[int]int{5153: 3, 5154: 1}, el.counts); diff != "" {
					t.Errorf("events (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestClosureReachesUpstreams guards against upstreams that stay usable after their
// failure domain was closed, also when they appear later.
func TestClosureReachesUpstreams(t *testing.T) {
	now := time.Now()
	decode := func(ro feed.Row) (place.Entry, error) {
		return place.Entry{Upstream: place.Upstream{ID: ident.Upstream(ro.Key), Service: "s", Domain: "a"}}, nil
	}
	us := follow.NewUpstreams(decode, eventLog{counts: map[int]int{}})
	cs := follow.NewClosures(decodeClosure, us, eventLog{counts: map[int]int{}})
	us.Replace(batch(1, 1, "u"), now)
	cs.Replace(operatorRows(1, 1, "close/a"), now)
	us.ApplyChanges(batch(1, 2, "v"), now)
	for _, ep := range us.Load().Service("s") {
		if ep.Usable(now) {
			t.Errorf("%s is usable in a closed domain", ep.ID)
		}
	}
	cs.ApplyChanges(operatorRows(1, 3, "-close/a"), now)
	if eps := us.Load().Service("s"); len(eps) != 2 || !eps[0].Usable(now) || !eps[1].Usable(now) {
		t.Errorf("%d upstreams, not all usable after the domain was opened", len(eps))
	}
}

// TestClosureGossip guards against a closure that a router learns too late while the
// store refuses it.
func TestClosureGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := &scriptedFeed{rows: []feed.Row{row(10, "4")}, version: 10}
		_, lo := startFollower(t, sc)
		el := eventLog{counts: map[int]int{}}
		cs := follow.NewClosures(decodeClosure, follow.NewUpstreams(decodeUpstream, el), el)
		gs := follow.NewClosureGossip(cs, lo, func() []string { return []string{"down", "empty", "up"} },
			func(_ context.Context, addr string) (follow.ClosureState, bool, error) {
				if addr == "down" {
					return follow.ClosureState{}, false, errDown
				}
				return follow.ClosureState{Position: epoch.At(0, 20), Closures: []follow.Closure{{Domain: "a"}}}, addr == "up", nil
			})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); gs.Run(ctx) }()
		time.Sleep(time.Second)
		sc.set(func(sc *scriptedFeed) { sc.down = true })
		time.Sleep(2 * time.Second)
		if st, ok := cs.State(); !ok || len(st.Closures) != 1 {
			t.Errorf("closures %+v after 2 s without the store, want one", st)
		}
		cancel()
		<-done
	})
}
