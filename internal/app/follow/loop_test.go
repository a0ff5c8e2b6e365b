package follow_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var errDown = errors.New("down")

// scriptedFeed is a feed with a list of rows and simulated faults.
type scriptedFeed struct {
	mu           sync.Mutex
	rows         []feed.Row
	version      uint64
	down         bool
	omitsChanges bool
	historyLost  bool
	reads        int
	// transfer is how long a response with rows takes to arrive.
	transfer time.Duration
	sent     int
}

func (sc *scriptedFeed) set(change func(sc *scriptedFeed)) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	change(sc)
}

func (sc *scriptedFeed) All(context.Context) (feed.Batch, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.down {
		return feed.Batch{}, errDown
	}
	sc.reads++
	sc.historyLost = false
	return sc.deliver(feed.Batch{Rows: append([]feed.Row(nil), sc.rows...), Position: epoch.Position{Version: sc.version}}), nil
}

// deliver returns the batch once its rows have arrived.
func (sc *scriptedFeed) deliver(ba feed.Batch) feed.Batch {
	for _, ro := range ba.Rows {
		ba.Bytes += len(ro.Value)
	}
	if sc.sent += ba.Bytes; ba.Bytes > 0 && sc.transfer > 0 {
		ba.Transfer = sc.transfer
		time.Sleep(sc.transfer)
	}
	return ba
}

func (sc *scriptedFeed) Changes(ctx context.Context, after epoch.Position, wait time.Duration) (feed.Batch, error) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	switch {
	case sc.down:
		return feed.Batch{}, errDown
	case sc.historyLost:
		return feed.Batch{}, feed.ErrHistoryTruncated
	}
	ba := feed.Batch{Position: epoch.Position{Version: sc.version}}
	for _, ro := range sc.rows {
		if ro.Position.After(after) && !sc.omitsChanges {
			ba.Rows = append(ba.Rows, ro)
		}
	}
	return sc.deliver(ba), nil
}

// decode returns a configuration whose revision is the row's value.
func decode(ro feed.Row) (intent.Config, bool, error) {
	var rev ident.Revision
	if _, err := fmt.Sscan(string(ro.Value), &rev); err != nil {
		return intent.Config{}, false, err
	}
	return intent.New(rev, intent.Limits{}), true, nil
}

func row(version uint64, value string) feed.Row {
	return feed.Row{Key: "config", Value: []byte(value), Position: epoch.Position{Version: version}}
}

// startFollower starts a loop that passes the feed to a Config.
func startFollower(t *testing.T, sc *scriptedFeed) (*follow.Config, *follow.Loop) {
	co := follow.NewConfig(decode, meter.Nop{})
	lo := follow.NewLoop("configuration", sc, co.Sink())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); lo.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return co, lo
}

// TestConfigNeverReverts guards against an older configuration that is put in
// force when the store returns an older state or another router offers it.
func TestConfigNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := &scriptedFeed{rows: []feed.Row{row(10, "4")}, version: 10}
		co, _ := startFollower(t, sc)
		time.Sleep(3 * time.Second)
		co.Offer(row(12, "6"), "peer")
		var got []ident.Revision
		for _, offer := range []feed.Row{row(11, "5"), row(12, "9"), row(13, "3"), row(14, "broken")} {
			co.Offer(offer, "peer")
			got = append(got, co.Load().Revision())
		}
		sc.set(func(sc *scriptedFeed) { sc.version, sc.historyLost = 9, true })
		time.Sleep(10 * time.Second)
		got = append(got, co.Load().Revision())
		if diff := cmp.Diff([]ident.Revision{6, 6, 6, 6, 6}, got); diff != "" {
			t.Errorf("revisions in force (-want +got):\n%s", diff)
		}
	})
}

// TestChangeInTime guards against a change that is in force too late: after more
// than the required 2 s while the feed works and after its history is lost, and
// after more than 8 s while it omits changes without an error.
func TestChangeInTime(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  func(sc *scriptedFeed)
		within time.Duration
	}{
		{"feed works", func(*scriptedFeed) {}, 2 * time.Second},
		{"history lost", func(sc *scriptedFeed) { sc.historyLost = true }, 2 * time.Second},
		{"feed omits changes", func(sc *scriptedFeed) { sc.omitsChanges = true }, 8 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sc := &scriptedFeed{rows: []feed.Row{row(10, "4")}, version: 10}
				co, _ := startFollower(t, sc)
				time.Sleep(3 * time.Second)
				sc.set(func(sc *scriptedFeed) {
					tc.fault(sc)
					sc.rows, sc.version = []feed.Row{row(11, "5")}, 11
				})
				time.Sleep(tc.within)
				if got := co.Load().Revision(); got != 5 {
					t.Errorf("revision %d is in force after %s, want 5", got, tc.within)
				}
			})
		})
	}
}

// TestGossip guards against a router that gets no newer configuration from other
// routers while the store refuses it, and against requests to other routers while
// the store responds.
func TestGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := &scriptedFeed{rows: []feed.Row{row(10, "4")}, version: 10}
		co, lo := startFollower(t, sc)
		var asked atomic.Int64
		gs := follow.NewGossip(co, lo, func() []string { return []string{"a", "b", "c"} },
			func(_ context.Context, addr string, after ident.Revision) (feed.Row, bool, error) {
				asked.Add(1)
				if addr == "a" {
					return feed.Row{}, false, errDown
				}
				return row(20, "7"), after < 7, nil
			})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); gs.Run(ctx) }()
		time.Sleep(3 * time.Second)
		askedBefore := asked.Load()
		sc.set(func(sc *scriptedFeed) { sc.down = true })
		time.Sleep(2 * time.Second)
		if co.Load().Revision() != 7 || askedBefore != 0 {
			t.Errorf("revision %d after the loss, %d requests before it", co.Load().Revision(), askedBefore)
		}
		cancel()
		<-done
	})
}

// newerPeers returns the gossip of a router whose peers have revision 5 in force.
func newerPeers(co *follow.Config, lo *follow.Loop) *follow.Gossip {
	return follow.NewGossip(co, lo, func() []string { return []string{"a", "b", "c"} },
		func(_ context.Context, _ string, after ident.Revision) (feed.Row, bool, error) {
			return row(11, "5"), after < 5, nil
		})
}

// TestSlowTransfer guards against a change that waits for the transfer of a large
// row on a narrow link although other routers, which send it compressed, have it.
func TestSlowTransfer(t *testing.T) {
	const convergence = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		sc := &scriptedFeed{rows: []feed.Row{row(10, "4")}, version: 10}
		co, lo := startFollower(t, sc)
		gs := newerPeers(co, lo)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); gs.Run(ctx) }()
		time.Sleep(3 * time.Second)
		sc.set(func(sc *scriptedFeed) {
			sc.rows, sc.version, sc.transfer = []feed.Row{row(11, "5")}, 11, 10*time.Second
		})
		time.Sleep(convergence)
		if got := co.Load().Revision(); got != 5 {
			t.Errorf("revision %d is in force %v after the change, want 5", got, convergence)
		}
		cancel()
		<-done
	})
}

// TestChangeDuringLoss guards against a change that the feed omits after a loss, while the
// read of all rows, which is long, waits for its turn.
func TestChangeDuringLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := &scriptedFeed{rows: []feed.Row{row(10, "4")}, version: 10, transfer: 2 * time.Second}
		co, lo := startFollower(t, sc)
		gs := newerPeers(co, lo)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		time.Sleep(3 * time.Second)
		sc.set(func(sc *scriptedFeed) { sc.down = true })
		time.Sleep(time.Second)
		sc.set(func(sc *scriptedFeed) {
			sc.down, sc.omitsChanges, sc.rows, sc.version = false, true, []feed.Row{row(11, "5")}, 11
		})
		time.Sleep(time.Second)
		// The feed is available again and not overdue.
		go func() { defer close(done); gs.Run(ctx) }()
		time.Sleep(time.Second)
		if got := co.Load().Revision(); got != 5 {
			t.Errorf("revision %d is in force 2s after the loss, want 5", got)
		}
		cancel()
		<-done
	})
}

// TestBoundUnchangedRows guards against reads of a large row that has not changed:
// on a narrow link they delay requests and the next change. The planned size
// allows 24 KB of control traffic a second.
func TestBoundUnchangedRows(t *testing.T) {
	const allowed, minutes = 24 << 10, 10
	synctest.Test(t, func(t *testing.T) {
		large := fmt.Sprintf("%d %s", 4, strings.Repeat("x", 1<<20))
		sc := &scriptedFeed{rows: []feed.Row{row(10, large)}, version: 10}
		startFollower(t, sc)
		time.Sleep(minutes * time.Minute)
		sc.set(func(sc *scriptedFeed) {
			if perSecond := sc.sent / (minutes * 60); perSecond > allowed {
				t.Errorf("%d bytes a second for a row that does not change, want at most %d", perSecond, allowed)
			}
		})
	})
}

// lossyFeed loses every second call for changes. Reading all rows takes long.
type lossyFeed struct {
	calls, reads atomic.Int64
	transfer     time.Duration
}

func (lf *lossyFeed) All(context.Context) (feed.Batch, error) {
	lf.reads.Add(1)
	time.Sleep(lf.transfer)
	return feed.Batch{Rows: []feed.Row{row(10, "4")}, Position: epoch.Position{Version: 10}, Bytes: 444 << 10, Transfer: lf.transfer}, nil
}

func (lf *lossyFeed) Changes(_ context.Context, _ epoch.Position, wait time.Duration) (feed.Batch, error) {
	time.Sleep(wait)
	if lf.calls.Add(1)%2 == 0 {
		return feed.Batch{}, errDown
	}
	return feed.Batch{Position: epoch.Position{Version: 10}}, nil
}

// TestBoundReadsAfterLosses guards against a full link that is kept full by reads of a
// large row which has not changed: each lost call led to such a read, and each read to
// lost calls.
func TestBoundReadsAfterLosses(t *testing.T) {
	const span, transfer, share = 10 * time.Minute, 2 * time.Second, 10
	synctest.Test(t, func(t *testing.T) {
		lf := &lossyFeed{transfer: transfer}
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		follow.NewLoop("configuration", lf, follow.NewConfig(decode, meter.Nop{}).Sink()).Run(ctx)
		if reads := time.Duration(lf.reads.Load()); (reads-1)*transfer > span/share {
			t.Errorf("%d reads of %v in %v, want at most a tenth of the time", reads, transfer, span)
		}
	})
}

func decodeUpstream(ro feed.Row) (place.Entry, error) {
	if string(ro.Value) == "broken" {
		return place.Entry{}, errors.New("broken")
	}
	return place.Entry{Upstream: place.Upstream{ID: ident.Upstream(ro.Key), Service: "s", Address: string(ro.Value)}}, nil
}

func ids(us *follow.Upstreams) []string {
	out := []string{}
	for _, up := range us.Load().Upstreams() {
		out = append(out, string(up.ID))
	}
	return out
}

// TestExpiredDuringOutage guards against removing a live upstream whose entry
// expired during an outage of the store, against keeping one whose entry is not
// written again, and against keeping one that is removed without an outage.
func TestExpiredDuringOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	us := follow.NewUpstreams(decodeUpstream, meter.Nop{})
	us.Replace(feed.Batch{Position: epoch.Position{Version: 3}, Rows: []feed.Row{
		{Key: "a", Value: []byte("1"), Position: epoch.Position{Version: 1}}, {Key: "b", Value: []byte("2"), Position: epoch.Position{Version: 2}}, {Key: "c", Value: []byte("3"), Position: epoch.Position{Version: 3}},
	}}, now)
	us.ApplyChanges(feed.Batch{Position: epoch.Position{Version: 4}, Rows: []feed.Row{{Key: "c", Position: epoch.Position{Version: 4}, Deleted: true}}}, now)
	got := [][]string{ids(us)}
	us.Lost(now)
	now = now.Add(5 * time.Second)
	us.Recovered(now)
	us.Replace(feed.Batch{Position: epoch.Position{Version: 9}}, now)
	got = append(got, ids(us))
	us.ApplyChanges(feed.Batch{Position: epoch.Position{Version: 10}, Rows: []feed.Row{{Key: "b", Value: []byte("2"), Position: epoch.Position{Version: 10}}}}, now.Add(time.Second))
	us.RemoveExpired(now.Add(1900 * time.Millisecond))
	got = append(got, ids(us))
	us.RemoveExpired(now.Add(2100 * time.Millisecond))
	got = append(got, ids(us))
	want := [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"b"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}

// TestEntryMissingAfterOutage guards against removing a live upstream, whose entry
// expired during an outage of any length, with the first read after it.
func TestEntryMissingAfterOutage(t *testing.T) {
	for _, outage := range []time.Duration{2 * time.Second, 8 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sc := &scriptedFeed{rows: []feed.Row{{Key: "a", Value: []byte("1"), Position: epoch.Position{Version: 10}}}, version: 10}
				us := follow.NewUpstreams(decodeUpstream, meter.Nop{})
				lo := follow.NewLoop("upstreams", sc, us)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); lo.Run(ctx) }()
				time.Sleep(time.Second)
				sc.set(func(sc *scriptedFeed) { sc.down = true })
				time.Sleep(outage)
				sc.set(func(sc *scriptedFeed) { sc.down, sc.rows, sc.version, sc.historyLost = false, nil, 12, true })
				got := [][]string{}
				for range 2 {
					time.Sleep(1500 * time.Millisecond)
					us.RemoveExpired(time.Now())
					got = append(got, ids(us))
				}
				cancel()
				<-done
				if diff := cmp.Diff([][]string{{"a"}, {}}, got); diff != "" {
					t.Errorf("upstreams 1.5 s and 3 s after the outage (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestForeignEntry guards against an invalid entry, written by another program,
// that adds an upstream or prevents other entries from being used.
func TestForeignEntry(t *testing.T) {
	us := follow.NewUpstreams(decodeUpstream, meter.Nop{})
	us.Replace(feed.Batch{Position: epoch.Position{Version: 2}, Rows: []feed.Row{
		{Key: "a", Value: []byte("1"), Position: epoch.Position{Version: 1}}, {Key: "b", Value: []byte("broken"), Position: epoch.Position{Version: 2}},
	}}, time.Unix(1000, 0))
	if diff := cmp.Diff([]string{"a"}, ids(us)); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}

// eventLog counts the log records of each event.
type eventLog struct {
	meter.Nop
	counts map[int]int
}

func (el eventLog) Log(ev meter.Event, _ ...slog.Attr) { el.counts[ev.Number]++ }

// TestForeignEntryLoggedOnce guards against logs that fill up because an invalid entry
// is reported again whenever all entries are read again.
func TestForeignEntryLoggedOnce(t *testing.T) {
	const evBadEntry = 5124
	now := time.Unix(1000, 0)
	log := eventLog{counts: map[int]int{}}
	us := follow.NewUpstreams(decodeUpstream, log)
	bad := func(version uint64) feed.Row {
		return feed.Row{Key: "b", Value: []byte("broken"), Position: epoch.Position{Version: version}}
	}
	var got []int
	for _, rows := range [][]feed.Row{{bad(1)}, {bad(1)}, {bad(1)}, {bad(5)}, {bad(5)}, {}, {bad(7)}} {
		us.Replace(feed.Batch{Position: epoch.Position{Version: 7}, Rows: rows}, now)
		us.ApplyChanges(feed.Batch{Position: epoch.Position{Version: 7}, Rows: rows}, now)
		got = append(got, log.counts[evBadEntry])
	}
	if diff := cmp.Diff([]int{1, 1, 1, 2, 2, 2, 3}, got); diff != "" {
		t.Errorf("records of the invalid entry after each read (-want +got):\n%s", diff)
	}
}

// TestBadConfigLoggedOnce guards against logs that fill up because a configuration that
// cannot be used is reported again whenever it is read again.
func TestBadConfigLoggedOnce(t *testing.T) {
	const evBadConfig = 5112
	log := eventLog{counts: map[int]int{}}
	co := follow.NewConfig(decode, log)
	var got []int
	for _, ro := range []feed.Row{row(3, "broken"), row(3, "broken"), row(4, "broken"), row(4, "broken"), row(5, "1"), row(6, "broken"), row(6, "broken")} {
		co.Offer(ro, "store")
		got = append(got, log.counts[evBadConfig])
	}
	if diff := cmp.Diff([]int{1, 1, 2, 2, 2, 3, 3}, got); diff != "" || co.Load().Revision() != 1 {
		t.Errorf("revision %d, records after each offer (-want +got):\n%s", co.Load().Revision(), diff)
	}
}

// TestForeignEntryOverLive guards against an upstream that stays in use although its
// entry was overwritten by an invalid one, is used again because of an older state of
// its entry, or is not used again once it has written a valid entry.
func TestForeignEntryOverLive(t *testing.T) {
	now := time.Unix(1000, 0)
	us := follow.NewUpstreams(decodeUpstream, meter.Nop{})
	row := func(version uint64, value string) feed.Row {
		return feed.Row{Key: "a", Value: []byte(value), Position: epoch.Position{Version: version}}
	}
	got := [][]string{}
	for _, ro := range []feed.Row{row(2, "1"), row(4, "broken"), row(3, "1"), row(5, "1"), row(6, "broken"), {Key: "a", Position: epoch.Position{Version: 7}, Deleted: true}, row(8, "1")} {
		us.ApplyChanges(feed.Batch{Position: ro.Position, Rows: []feed.Row{ro, {Key: "z", Value: []byte("2"), Position: epoch.Position{Version: 1}}}}, now)
		got = append(got, ids(us))
	}
	want := [][]string{{"a", "z"}, {"z"}, {"z"}, {"a", "z"}, {"z"}, {"z"}, {"a", "z"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("upstreams after each change (-want +got):\n%s", diff)
	}
}

// TestForeignEntryGone guards against an invalid entry that becomes an upstream in the
// grace period after an outage, in which removed entries stay in use.
func TestForeignEntryGone(t *testing.T) {
	now := time.Unix(1000, 0)
	us := follow.NewUpstreams(decodeUpstream, meter.Nop{})
	us.Replace(feed.Batch{Position: epoch.Position{Version: 3}, Rows: []feed.Row{
		{Key: "a", Value: []byte("1"), Position: epoch.Position{Version: 1}}, {Key: "b", Value: []byte("broken"), Position: epoch.Position{Version: 2}},
	}}, now)
	us.Lost(now)
	now = now.Add(5 * time.Second)
	us.Recovered(now)
	us.Replace(feed.Batch{Position: epoch.Position{Version: 9}}, now)
	if diff := cmp.Diff([]string{"a"}, ids(us)); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}

type incarnations []budget.Incarnation

func (in incarnations) Incarnations(context.Context) ([]budget.Incarnation, error) { return in, nil }

// TestFleet guards against counting a VM once for each start of its router, and
// against listing peers that no longer run, and against a router that divides the capacity
// of cold upstreams with others before they can know it.
func TestFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inc := func(vm ident.VM, opened int64, st escrow.State) budget.Incarnation {
			return budget.Incarnation{ID: ident.Incarnation(fmt.Sprint(vm, opened)), Row: escrow.IncarnationRow{
				VM: vm, Opened: opened, State: st, Address: fmt.Sprint(vm, ":", opened),
			}}
		}
		rows := incarnations{inc("a", 1, escrow.Open), inc("b", 2, escrow.Open), inc("b", 3, escrow.Open), inc("c", 4, escrow.Closing)}
		fl, unlisted := follow.NewFleet(rows, "a", meter.Nop{}), follow.NewFleet(slices.Clone(rows), "d", meter.Nop{})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { fl.Run(ctx) })
		running.Go(func() { unlisted.Run(ctx) })
		time.Sleep(time.Second)
		synctest.Wait()
		none := place.Routers{}
		if diff := cmp.Diff([]bool{true, false}, []bool{fl.Routers() != none, unlisted.Routers() != none}); diff != "" {
			t.Errorf("routers known to a listed router and to another one (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]follow.Peer{{VM: "b", Address: "b:3"}}, fl.Peers()); diff != "" || fl.RouterCount() != 2 {
			t.Errorf("%d routers, peers (-want +got):\n%s", fl.RouterCount(), diff)
		}
		cancel()
		running.Wait()
	})
}
