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
	// readLimit is the table's limit of reads per second.
	readLimit = 2000
	// modelCount is the number of groups of engines, one per model.
	modelCount = 5
	// linksPerModel is the default number of links of a router per model.
	linksPerModel = 64
	// forwardDelay is the time for announcement, request and document on a link
	// between regions, 40 ms each.
	forwardDelay = 3 * 40 * time.Millisecond
)

// paddedCodec encodes only the revision, with padding up to a size, because only
// the number of rows matters here.
type paddedCodec struct{ size int }

func (pc paddedCodec) Encode(sn config.Snapshot) ([]byte, error) {
	return binary.BigEndian.AppendUint64(make([]byte, 0, pc.size), uint64(sn.Revision()))[:pc.size], nil
}

func (paddedCodec) Decode(data []byte) (config.Snapshot, error) {
	if len(data) < 8 {
		return config.Snapshot{}, errors.New("short document")
	}
	return config.Snapshot{}.WithRevision(ident.Revision(binary.BigEndian.Uint64(data)), "ann"), nil
}

// countingTable is a table that counts the reads in each second.
type countingTable struct {
	*port
	mu    sync.Mutex
	reads map[int64]int
}

func (ct *countingTable) Get(ctx context.Context, key string) (store.Item, bool, error) {
	ct.mu.Lock()
	ct.reads[time.Now().Unix()]++
	ct.mu.Unlock()
	return ct.port.Get(ctx, key)
}

// most returns the largest number of reads in one second.
func (ct *countingTable) most() int {
	most := 0
	for _, num := range ct.reads {
		most = max(most, num)
	}
	return most
}

// deployment is a set of routers with links to sidecars.
type deployment struct {
	table    *countingTable
	codecs   update.Codecs
	routers  []*update.Follower
	sidecars map[ident.Upstream]*update.Follower
	members  [modelCount][]route.Member
}

func newDeployment(routers, sidecars, bytes int, delay time.Duration) *deployment {
	de := &deployment{
		table:    &countingTable{port: &port{memory: newMemory(), delay: delay}, reads: map[int64]int{}},
		codecs:   update.Codecs{Head: codecs.Head, Audit: codecs.Audit, Config: paddedCodec{bytes}},
		sidecars: map[ident.Upstream]*update.Follower{},
	}
	for ix := range sidecars {
		me := route.Member{Upstream: ident.Upstream(fmt.Sprint("e", ix)), Domain: ident.Domain(fmt.Sprint("d", ix%7))}
		de.members[ix%modelCount] = append(de.members[ix%modelCount], me)
		de.sidecars[me.Upstream] = update.NewFollower(de.codecs.Config)
	}
	for range routers {
		de.routers = append(de.routers, update.NewFollower(de.codecs.Config))
	}
	return de
}

// run starts all routers within one second.
func (de *deployment) run(ctx context.Context, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(1, 1))
	for ix, fo := range de.routers {
		startDelay := time.Duration(rng.Int64N(int64(time.Second)))
		vm := ident.VM(fmt.Sprint("r", ix))
		wg.Go(func() {
			time.Sleep(startDelay)
			update.NewWatcher(de.table, de.codecs, fo).Run(ctx)
		})
		wg.Go(func() { de.forward(ctx, fo, vm) })
	}
}

// forward sends the configuration in force at a router to its sidecars.
func (de *deployment) forward(ctx context.Context, fo *update.Follower, vm ident.VM) {
	var links []ident.Upstream
	for _, group := range de.members {
		links = append(links, route.Subset(vm, group, linksPerModel)...)
	}
	for {
		changed := fo.Changed()
		if st := fo.InForce(); st.Revision > 0 {
			time.Sleep(forwardDelay)
			for _, id := range links {
				if si := de.sidecars[id]; si.InForce().Revision < st.Revision {
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

// lastInForce returns when the last node started to use the revision.
func (de *deployment) lastInForce(t *testing.T, re ident.Revision) time.Time {
	t.Helper()
	var last time.Time
	behind := 0
	check := func(fo *update.Follower) {
		st := fo.InForce()
		if st.Revision != re {
			behind++
		}
		if st.Since.After(last) {
			last = st.Since
		}
	}
	for _, fo := range de.routers {
		check(fo)
	}
	for _, fo := range de.sidecars {
		check(fo)
	}
	if behind > 0 {
		t.Errorf("%d nodes do not have revision %d in force", behind, re)
	}
	return last
}

// TestBoundSpread guards against a configuration that takes more than 5 s at
// today's size or 18 s at the planned size until it is in force everywhere, and
// against routers that together exceed the table's read limit.
func TestBoundSpread(t *testing.T) {
	for _, tc := range []struct {
		name              string
		routers, sidecars int
		bytes             int
		delay             time.Duration
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
				de := newDeployment(tc.routers, tc.sidecars, tc.bytes, tc.delay)
				ac := update.NewAcceptor(&port{memory: de.table.memory}, de.codecs)
				if _, err := ac.Accept(ctx, proposal(0, "ann", "")); err != nil {
					t.Fatal(err)
				}
				// The start is not measured, because routers start one after
				// the other.
				de.table.delay = 0
				de.run(ctx, &wg)
				time.Sleep(10 * time.Second)
				de.table.set(func(po *port) { po.delay = tc.delay })
				de.table.mu.Lock()
				de.table.reads = map[int64]int{}
				de.table.mu.Unlock()
				var at time.Time
				for re := range ident.Revision(tc.changes) {
					if _, err := ac.Accept(ctx, proposal(re+1, "ann", "")); err != nil {
						t.Fatal(err)
					}
					at = time.Now()
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(30 * time.Second)
				elapsed := de.lastInForce(t, ident.Revision(tc.changes+1)).Sub(at)
				de.table.mu.Lock()
				reads := de.table.most()
				de.table.mu.Unlock()
				t.Logf("in force everywhere %.2f s after the last acceptance, at most %d reads/s", elapsed.Seconds(), reads)
				if elapsed > tc.most || reads >= readLimit {
					t.Errorf("in force after %s, want at most %s; %d reads/s, want less than %d", elapsed, tc.most, reads, readLimit)
				}
			})
		})
	}
}
