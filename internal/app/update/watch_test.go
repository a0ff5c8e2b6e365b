package update_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// recorder records the numbers of events and the sums of counters.
type recorder struct {
	meter.Nop
	mu     sync.Mutex
	events []int
	counts map[string]int64
}

func (re *recorder) Log(ev meter.Event, _ ...slog.Attr) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.events = append(re.events, ev.Number)
}

func (re *recorder) Count(name, _, _ string, num int64) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.counts == nil {
		re.counts = map[string]int64{}
	}
	re.counts[name] += num
}

func (re *recorder) sum(name string) int64 {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.counts[name]
}

func (re *recorder) numbers() []int {
	re.mu.Lock()
	defer re.mu.Unlock()
	return append([]int(nil), re.events...)
}

// node is a process with a follower and an archive.
type node struct {
	*update.Follower
	port    *port
	meter   *recorder
	archive *update.Archive
}

// startNode starts a node that runs until ctx ends.
func startNode(ctx context.Context, po *port, peers update.Peers) *node {
	no := &node{port: po, meter: &recorder{}}
	opts := []update.Option{update.WithMeter(no.meter)}
	no.Follower = update.NewFollower(codecs.Config, opts...)
	no.archive = update.NewArchive(bucket{po}, opts...)
	opts = append(opts, update.WithArchive(no.archive))
	if peers != nil {
		opts = append(opts, update.WithPeers(peers))
	}
	go update.NewWatcher(po, codecs, no.Follower, opts...).Run(ctx)
	return no
}

// followerPeer returns the configuration of another node's follower.
type followerPeer struct{ from *update.Follower }

func (fp followerPeer) Newer(_ context.Context, after ident.Revision) ([]byte, bool, error) {
	st := fp.from.InForce()
	return st.Document, st.Revision > after, nil
}

// acceptRevisions accepts count configurations and stores them in the object store.
func acceptRevisions(t *testing.T, me *memory, count int) {
	t.Helper()
	po := &port{memory: me}
	ac := update.NewAcceptor(po, codecs, update.WithArchive(update.NewArchive(bucket{po})))
	for range count {
		cur, err := ac.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ac.Accept(t.Context(), proposal(cur.Revision(), "ann", "")); err != nil {
			t.Fatal(err)
		}
	}
}

// TestWatcher guards against nodes that follow too late, follow an older revision,
// or lose the configuration in force while the table is not available.
func TestWatcher(t *testing.T) {
	for _, tc := range []struct {
		name   string
		during func(t *testing.T, me *memory, no *node)
		want   ident.Revision
		older  bool
	}{
		{"new revision", func(t *testing.T, me *memory, _ *node) { acceptRevisions(t, me, 2) }, 5, false},
		{"table down", func(t *testing.T, me *memory, no *node) {
			no.port.set(func(po *port) { po.down = true })
			acceptRevisions(t, me, 1)
		}, 3, false},
		{"table slow", func(t *testing.T, me *memory, no *node) {
			no.port.set(func(po *port) { po.delay = 800 * time.Millisecond })
			acceptRevisions(t, me, 1)
		}, 4, false},
		{"table does not respond", func(t *testing.T, me *memory, no *node) {
			no.port.set(func(po *port) { po.delay = time.Hour })
			acceptRevisions(t, me, 1)
		}, 3, false},
		{"table available after an outage", func(t *testing.T, me *memory, no *node) {
			no.port.set(func(po *port) { po.down = true })
			acceptRevisions(t, me, 1)
			time.Sleep(time.Hour)
			no.port.set(func(po *port) { po.down = false })
		}, 4, false},
		{"table restored with an older revision", func(t *testing.T, me *memory, no *node) {
			backup := me.snapshot()
			acceptRevisions(t, me, 1)
			time.Sleep(2 * time.Second)
			no.port.set(func(po *port) { po.stale = backup })
		}, 4, true},
		{"table restored empty", func(_ *testing.T, _ *memory, no *node) {
			no.port.set(func(po *port) { po.stale = newMemory().rows })
		}, 3, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				me := newMemory()
				acceptRevisions(t, me, 3)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				no := startNode(ctx, &port{memory: me}, nil)
				time.Sleep(1500 * time.Millisecond)
				if got := no.InForce().Revision; got != 3 {
					t.Fatalf("revision %d in force after the start, want 3", got)
				}
				tc.during(t, me, no)
				time.Sleep(5 * time.Second)
				if got := no.InForce().Revision; got != tc.want {
					t.Errorf("revision %d in force, want %d", got, tc.want)
				}
				if got := no.meter.sum("config_older") > 0; got != tc.older {
					t.Errorf("older revision counted = %v, want %v", got, tc.older)
				}
			})
		})
	}
}

// TestStartDuringOutage guards against a process that becomes ready without a
// configuration, or does not become ready although a peer or the object store has
// one.
func TestStartDuringOutage(t *testing.T) {
	for _, tc := range []struct {
		name    string
		table   bool
		peer    ident.Revision
		objects int
		delay   time.Duration
		want    ident.Revision
		source  string
	}{
		{"no source available", false, 0, 0, 0, 0, ""},
		{"peer before object store", false, 5, 3, 0, 5, "peer"},
		{"object store only", false, 0, 3, 0, 3, "object store"},
		{"slow object store only", false, 0, 3, 300 * time.Millisecond, 3, "object store"},
		{"table older than the peers", true, 5, 0, 0, 5, "peer"},
		{"table only", true, 0, 0, 0, 2, "table"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				me := newMemory()
				if tc.table {
					acceptRevisions(t, me, 2)
				}
				po := &port{memory: me, down: !tc.table}
				other := newMemory()
				acceptRevisions(t, other, tc.objects)
				peer := update.NewFollower(codecs.Config)
				if tc.peer > 0 {
					doc, _ := codecs.Config.Encode(proposal(0, "a", "").Snapshot.WithRevision(tc.peer, "a"))
					if ok, err := peer.Offer(doc); !ok || err != nil {
						t.Fatal(ok, err)
					}
				}
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				fo := update.NewFollower(codecs.Config)
				ar := update.NewArchive(bucket{&port{memory: other, delay: tc.delay}})
				started := time.Now()
				go update.NewWatcher(po, codecs, fo, update.WithArchive(ar), update.WithPeers(followerPeer{peer})).Run(ctx)
				time.Sleep(2*time.Second + 40*tc.delay)
				st := fo.InForce()
				if st.Revision != tc.want || st.Source != tc.source || fo.Ready() != (tc.want > 0) {
					t.Errorf("revision %d from %q, ready %v", st.Revision, st.Source, fo.Ready())
				}
				if tc.want > 0 && tc.delay == 0 && !st.Since.Equal(started) {
					t.Errorf("in force since %v, want %v", st.Since, started)
				}
			})
		})
	}
}

// TestPartitionedNode guards against a node that is partitioned from the table
// and does not follow its peers. The partition starts between two reads: if it
// started during a read, the peer could see any of the three revisions first.
func TestPartitionedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		me := newMemory()
		acceptRevisions(t, me, 1)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		connected := startNode(ctx, &port{memory: me}, nil)
		partitioned := startNode(ctx, &port{memory: me}, followerPeer{connected.Follower})
		time.Sleep(2500 * time.Millisecond)
		partitioned.port.set(func(po *port) { po.down = true })
		acceptRevisions(t, me, 3)
		time.Sleep(3 * time.Second)
		if got := partitioned.InForce(); got.Revision != 4 || got.Source != "peer" {
			t.Errorf("revision %d from %s, want 4 from peer", got.Revision, got.Source)
		}
		if diff := cmp.Diff([]int{4003, 4006, 4003}, partitioned.meter.numbers()); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
	})
}

// TestTableBehind guards against a revision number that is assigned to a second
// configuration after the table was restored from a backup.
func TestTableBehind(t *testing.T) {
	me := newMemory()
	acceptRevisions(t, me, 1)
	po := &port{memory: me}
	fo := update.NewFollower(codecs.Config)
	ac := update.NewAcceptor(po, codecs, update.WithFollower(fo))
	backup := me.snapshot()
	if _, err := ac.Accept(t.Context(), proposal(1, "ann", "")); err != nil {
		t.Fatal(err)
	}
	me.rows = backup
	_, err := ac.Accept(t.Context(), proposal(1, "bob", ""))
	tb, ok := err.(*update.TableBehindError)
	if !ok || tb.Table != 1 || tb.InForce != 2 {
		t.Errorf("error is %v, want a table that is behind, at revision 1 with 2 in force", err)
	}
}

// TestArchive guards against documents that are not stored in the object store
// after an outage, against a search that stops at missing revisions, and against
// a search that needs more reads than the time for a start allows.
func TestArchive(t *testing.T) {
	for _, gap := range [][2]ident.Revision{{60, 66}, {60, 140}, {1, 198}, {128, 128}} {
		synctest.Test(t, func(t *testing.T) {
			po := &port{memory: newMemory()}
			ar := update.NewArchive(bucket{po})
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go ar.Run(ctx)
			for re := range ident.Revision(200) {
				// The revisions of the gap are never stored.
				if re > 0 && (re < gap[0] || re > gap[1]) {
					po.set(func(po *port) { po.down = re > 190 })
					ar.Store(ctx, re, []byte{byte(re)})
				}
			}
			po.set(func(po *port) { po.down = false })
			time.Sleep(6 * time.Second)
			po.set(func(po *port) { po.delay = 50 * time.Millisecond })
			started := time.Now()
			doc, ok, err := update.NewArchive(bucket{po}).Newest(ctx)
			if !ok || err != nil || doc[0] != 199 {
				t.Errorf("gap %v: newest is %v, %v, %v, want 199", gap, doc, ok, err)
			}
			if elapsed := time.Since(started); elapsed > 3*time.Second {
				t.Errorf("gap %v: the search took %s", gap, elapsed)
			}
		})
	}
}

// TestChanged guards against a link that is not notified of a new revision, and
// against a notification without one.
func TestChanged(t *testing.T) {
	fo := update.NewFollower(codecs.Config)
	first := fo.Changed()
	for _, re := range []ident.Revision{2, 1, 2} {
		doc, _ := codecs.Config.Encode(proposal(0, "a", "").Snapshot.WithRevision(re, "a"))
		if _, err := fo.Offer(doc); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-first:
	default:
		t.Error("the channel is open after revision 2")
	}
	select {
	case <-fo.Changed():
		t.Error("the channel is closed without a higher revision")
	default:
	}
	if _, err := fo.Offer([]byte("{")); err == nil || fo.InForce().Revision != 2 {
		t.Errorf("broken document: %v, revision %d", err, fo.InForce().Revision)
	}
}
