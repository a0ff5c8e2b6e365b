package update_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	histories = 12
	nodes     = 5
	steps     = 200
	// stepTime is shorter than the interval of the reads, so that faults begin
	// and end between and during reads.
	stepTime = 350 * time.Millisecond
	// editTime is how long an operator takes between reading and writing.
	editTime = 700 * time.Millisecond
)

// member is one node under test.
type member interface {
	revision() ident.Revision
	accept(ctx context.Context, by ident.Operator) (ident.Revision, bool)
}

// proper is a node with the package's own follower and acceptor.
type proper struct {
	*node
	acceptor *update.Acceptor
}

func (re *proper) revision() ident.Revision { return re.InForce().Revision }

func (re *proper) accept(ctx context.Context, by ident.Operator) (ident.Revision, bool) {
	cur, err := re.acceptor.Current(ctx)
	if err != nil {
		return 0, false
	}
	time.Sleep(editTime)
	pr := update.Proposal{Base: cur.Revision(), Snapshot: cur.WithAccount(account(string(by))), Author: by}
	got, err := re.acceptor.Accept(ctx, pr)
	return got.Revision, err == nil
}

// gossip asks a random other node that is not cut off.
type gossip struct {
	mu    sync.Mutex
	rng   *rand.Rand
	nodes []*proper
}

func (gs *gossip) Newer(_ context.Context, than ident.Revision) ([]byte, bool, error) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	st := gs.nodes[gs.rng.IntN(len(gs.nodes))].InForce()
	return st.Document, st.Revision > than, nil
}

// trial is a random history and what was seen in it.
type trial struct {
	rng      *rand.Rand
	memory   *memory
	ports    []*port
	members  []member
	seen     []ident.Revision
	fell     int
	mu       sync.Mutex
	accepted map[ident.Revision]ident.Operator
	twice    int
}

func newTrial(seed uint64) *trial {
	tr := &trial{
		rng: rand.New(rand.NewPCG(seed, 1)), memory: newMemory(),
		seen: make([]ident.Revision, nodes), accepted: map[ident.Revision]ident.Operator{},
	}
	for range nodes {
		tr.ports = append(tr.ports, &port{memory: tr.memory})
	}
	return tr
}

// disturb changes the faults of one node.
func (tr *trial) disturb() {
	backup := tr.memory.snapshot()
	kind, delay := tr.rng.IntN(6), time.Duration(tr.rng.IntN(4000))*time.Millisecond
	tr.ports[tr.rng.IntN(nodes)].set(func(po *port) {
		switch kind {
		case 0:
			po.down = !po.down
		case 1:
			po.slow = delay
		case 2:
			po.fault = append(po.fault, fault(1+int(delay)%3))
		case 3:
			po.stale = backup
		default:
			po.down, po.slow, po.stale = false, 0, nil
		}
	})
}

// observe notes the revisions in force.
func (tr *trial) observe() {
	for ix, me := range tr.members {
		now := me.revision()
		if now < tr.seen[ix] {
			tr.fell++
		}
		tr.seen[ix] = now
	}
}

// operate lets an operator make a change at a random node.
func (tr *trial) operate(ctx context.Context, wg *sync.WaitGroup, step int) {
	me, by := tr.members[tr.rng.IntN(nodes)], ident.Operator(fmt.Sprint("operator-", step))
	wg.Go(func() {
		re, ok := me.accept(ctx, by)
		if !ok {
			return
		}
		tr.mu.Lock()
		defer tr.mu.Unlock()
		if tr.accepted[re] != "" {
			tr.twice++
		}
		tr.accepted[re] = by
	})
}

// run plays the history, heals everything and waits until it has settled.
func (tr *trial) run(ctx context.Context) {
	var wg sync.WaitGroup
	for step := range steps {
		if tr.rng.IntN(3) == 0 {
			tr.disturb()
		}
		if tr.rng.IntN(4) == 0 {
			tr.operate(ctx, &wg, step)
		}
		time.Sleep(stepTime)
		tr.observe()
	}
	for _, po := range tr.ports {
		po.set(func(po *port) { po.down, po.slow, po.stale, po.fault = false, 0, nil, nil })
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	tr.observe()
}

// TestHistories guards against a revision that falls at some node, a revision
// that two operators both believe is theirs, and a node that stays behind.
func TestHistories(t *testing.T) {
	total := 0
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			tr := newTrial(seed)
			gs := &gossip{rng: rand.New(rand.NewPCG(seed, 2))}
			for _, po := range tr.ports {
				fo := update.NewFollower(codecs.Config)
				opts := []update.Option{update.WithFollower(fo), update.WithPeers(gs)}
				re := &proper{&node{Follower: fo, port: po}, update.NewAcceptor(po, codecs, opts...)}
				gs.nodes = append(gs.nodes, re)
				tr.members = append(tr.members, re)
			}
			for _, re := range gs.nodes {
				go update.NewWatcher(re.port, codecs, re.Follower, update.WithPeers(gs)).Run(ctx)
			}
			tr.run(ctx)
			if tr.fell > 0 || tr.twice > 0 {
				t.Errorf("seed %d: a revision fell %d times, %d revisions were accepted twice", seed, tr.fell, tr.twice)
			}
			tr.compareAudit(t, seed)
			total += len(tr.accepted)
		})
	}
	if total < histories*5 {
		t.Errorf("%d acceptances in %d histories are too few to show anything", total, histories)
	}
}

// compareAudit checks that the audit is complete and that all nodes have its
// last revision in force.
func (tr *trial) compareAudit(t *testing.T, seed uint64) {
	t.Helper()
	ac := update.NewAcceptor(&port{memory: tr.memory}, codecs)
	rows, err := ac.History(t.Context(), 0, 1000)
	if err != nil {
		t.Fatal(err)
	}
	for ix, au := range rows {
		if au.Revision != ident.Revision(ix+1) {
			t.Fatalf("seed %d: audit row %d has revision %d", seed, ix, au.Revision)
		}
	}
	for re, by := range tr.accepted {
		if int(re) > len(rows) || rows[re-1].Author != by {
			t.Errorf("seed %d: revision %d was accepted for %s, the audit says otherwise", seed, re, by)
		}
	}
	for ix, re := range tr.seen {
		if int(re) != len(rows) {
			t.Errorf("seed %d: node %d has revision %d in force, want %d", seed, ix, re, len(rows))
		}
	}
}

// TestHistoriesSeeNaive guards against histories that would pass any version:
// last write wins must be seen to fail in them.
func TestHistoriesSeeNaive(t *testing.T) {
	fell, twice := 0, 0
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			tr := newTrial(seed)
			for _, po := range tr.ports {
				tr.members = append(tr.members, startNaive(ctx, po))
			}
			tr.run(ctx)
			fell += tr.fell
			twice += tr.twice
		})
	}
	t.Logf("naive version: a revision fell %d times, %d revisions were accepted twice", fell, twice)
	if fell == 0 || twice == 0 {
		t.Errorf("a revision fell %d times and %d were accepted twice, want both above 0", fell, twice)
	}
}
