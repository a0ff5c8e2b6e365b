//go:build !race

package update_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

const (
	// readLimit is the number of reads per second that the table allows.
	readLimit = 2000
	// models is the number of groups of engines.
	models = 5
	// linksPerModel is the default of a router.
	linksPerModel = 64
	// askTrips is the time of announcement, question and document on a link
	// between regions.
	askTrips = 3 * 40 * time.Millisecond
)

// padded encodes the revision alone, with padding up to a size, because only
// the number of rows matters here.
type padded struct{ size int }

func (pa padded) Encode(sn config.Snapshot) ([]byte, error) {
	return binary.BigEndian.AppendUint64(make([]byte, 0, pa.size), uint64(sn.Revision()))[:pa.size], nil
}

func (padded) Decode(data []byte) (config.Snapshot, error) {
	if len(data) < 8 {
		return config.Snapshot{}, errors.New("short document")
	}
	return config.Snapshot{}.WithRevision(ident.Revision(binary.BigEndian.Uint64(data)), "ann"), nil
}

// counting counts the reads in each second.
type counting struct {
	*port
	mu    sync.Mutex
	reads map[int64]int
}

func (co *counting) Get(ctx context.Context, key string) (store.Item, bool, error) {
	co.mu.Lock()
	co.reads[time.Now().Unix()]++
	co.mu.Unlock()
	return co.port.Get(ctx, key)
}

func (co *counting) most() int {
	most := 0
	for _, num := range co.reads {
		most = max(most, num)
	}
	return most
}

// town is a number of routers with links to sidecars.
type town struct {
	table    *counting
	codecs   update.Codecs
	routers  []*update.Follower
	sidecars map[ident.Upstream]*update.Follower
	members  [models][]route.Member
}

func newTown(size, sidecars, bytes int, slow time.Duration) *town {
	to := &town{
		table:    &counting{port: &port{memory: newMemory(), slow: slow}, reads: map[int64]int{}},
		codecs:   update.Codecs{Head: codecs.Head, Audit: codecs.Audit, Config: padded{bytes}},
		sidecars: map[ident.Upstream]*update.Follower{},
	}
	for ix := range sidecars {
		me := route.Member{Upstream: ident.Upstream(fmt.Sprint("e", ix)), Domain: ident.Domain(fmt.Sprint("d", ix%7))}
		to.members[ix%models] = append(to.members[ix%models], me)
		to.sidecars[me.Upstream] = update.NewFollower(to.codecs.Config)
	}
	for range size {
		to.routers = append(to.routers, update.NewFollower(to.codecs.Config))
	}
	return to
}

// run starts all routers within one second.
func (to *town) run(ctx context.Context, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(1, 1))
	for ix, fo := range to.routers {
		late := time.Duration(rng.Int64N(int64(time.Second)))
		vm := ident.VM(fmt.Sprint("r", ix))
		wg.Go(func() {
			time.Sleep(late)
			update.NewWatcher(to.table, to.codecs, fo).Run(ctx)
		})
		wg.Go(func() { to.offer(ctx, fo, vm) })
	}
}

// offer passes what a router follows on to its sidecars.
func (to *town) offer(ctx context.Context, fo *update.Follower, vm ident.VM) {
	var links []ident.Upstream
	for _, group := range to.members {
		links = append(links, route.Subset(vm, group, linksPerModel)...)
	}
	for {
		changed := fo.Changed()
		if st := fo.InForce(); st.Revision > 0 {
			time.Sleep(askTrips)
			for _, id := range links {
				if si := to.sidecars[id]; si.InForce().Revision < st.Revision {
					_, _ = si.Offer(st.Document)
				}
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// slowest returns when the last node began to use the revision.
func (to *town) slowest(t *testing.T, re ident.Revision) time.Time {
	t.Helper()
	var last time.Time
	behind := 0
	note := func(fo *update.Follower) {
		st := fo.InForce()
		if st.Revision != re {
			behind++
		}
		if st.Since.After(last) {
			last = st.Since
		}
	}
	for _, fo := range to.routers {
		note(fo)
	}
	for _, fo := range to.sidecars {
		note(fo)
	}
	if behind > 0 {
		t.Errorf("%d nodes do not have revision %d in force", behind, re)
	}
	return last
}

// TestBoundSpread guards against a configuration that is in force everywhere
// later than 5 s today or 18 s at the planned size, and against routers that
// together read the table more often than it allows.
func TestBoundSpread(t *testing.T) {
	for _, tc := range []struct {
		name              string
		routers, sidecars int
		bytes             int
		slow              time.Duration
		changes           int
		most              time.Duration
	}{
		{"today", 3, 26, 20 << 10, 5 * time.Millisecond, 1, 5 * time.Second},
		{"today, slow table", 3, 26, 20 << 10, time.Second, 1, 5 * time.Second},
		{"planned", 380, 600, 1400 << 10, 5 * time.Millisecond, 1, 18 * time.Second},
		{"planned, slow table", 380, 600, 1400 << 10, time.Second, 1, 18 * time.Second},
		{"planned, 10 changes in 5 s", 380, 600, 1400 << 10, 5 * time.Millisecond, 10, 18 * time.Second},
		{"planned, largest document", 380, 600, 3500 << 10, 5 * time.Millisecond, 1, 18 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				defer wg.Wait()
				defer stop()
				to := newTown(tc.routers, tc.sidecars, tc.bytes, tc.slow)
				ac := update.NewAcceptor(&port{memory: to.table.memory}, to.codecs)
				if _, err := ac.Accept(ctx, proposal(0, "ann", "")); err != nil {
					t.Fatal(err)
				}
				// The start is not measured: routers start one after the other.
				to.table.slow = 0
				to.run(ctx, &wg)
				time.Sleep(10 * time.Second)
				to.table.set(func(po *port) { po.slow = tc.slow })
				to.table.mu.Lock()
				to.table.reads = map[int64]int{}
				to.table.mu.Unlock()
				var at time.Time
				for re := range ident.Revision(tc.changes) {
					if _, err := ac.Accept(ctx, proposal(re+1, "ann", "")); err != nil {
						t.Fatal(err)
					}
					at = time.Now()
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(30 * time.Second)
				took := to.slowest(t, ident.Revision(tc.changes+1)).Sub(at)
				to.table.mu.Lock()
				reads := to.table.most()
				to.table.mu.Unlock()
				t.Logf("in force everywhere %.2f s after the last acceptance, at most %d reads/s", took.Seconds(), reads)
				if took > tc.most || reads >= readLimit {
					t.Errorf("in force after %s, want %s; %d reads/s, want less than %d", took, tc.most, reads, readLimit)
				}
			})
		})
	}
}
