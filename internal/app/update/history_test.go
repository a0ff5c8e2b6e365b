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
	historyCount = 12
	nodeCount    = 5
	stepCount    = 200
	// stepTime is shorter than the interval of the reads, so that faults start
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

// realNode is a node with the follower and the acceptor of the package.
type realNode struct {
	*node
	acceptor *update.Acceptor
}

func (rn *realNode) revision() ident.Revision { return rn.InForce().Revision }

func (rn *realNode) accept(ctx context.Context, by ident.Operator) (ident.Revision, bool) {
	cur, err := rn.acceptor.Current(ctx)
	if err != nil {
		return 0, false
	}
	time.Sleep(editTime)
	pr := update.Proposal{Base: cur.Revision(), Snapshot: cur.WithAccount(account(string(by))), Author: by}
	got, err := rn.acceptor.Accept(ctx, pr)
	return got.Revision, err == nil
}

// randomPeer returns the configuration of a random node, which may be the caller
// itself. Faults of the table do not affect it.
type randomPeer struct {
	mu    sync.Mutex
	rng   *rand.Rand
	nodes []*realNode
}

func (rp *randomPeer) Newer(_ context.Context, after ident.Revision) ([]byte, bool, error) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	st := rp.nodes[rp.rng.IntN(len(rp.nodes))].InForce()
	return st.Document, st.Revision > after, nil
}

// trial is a random history of faults and changes, with the violations that were
// observed in it.
type trial struct {
	rng         *rand.Rand
	memory      *memory
	ports       []*port
	members     []member
	inForce     []ident.Revision
	regressions int
	mu          sync.Mutex
	accepted    map[ident.Revision]ident.Operator
	duplicates  int
}

func newTrial(seed uint64) *trial {
	tr := &trial{
		rng: rand.New(rand.NewPCG(seed, 1)), memory: newMemory(),
		inForce: make([]ident.Revision, nodeCount), accepted: map[ident.Revision]ident.Operator{},
	}
	for range nodeCount {
		tr.ports = append(tr.ports, &port{memory: tr.memory})
	}
	return tr
}

// injectFault changes the faults of a random node.
func (tr *trial) injectFault() {
	backup := tr.memory.snapshot()
	kind, delay := tr.rng.IntN(6), time.Duration(tr.rng.IntN(4000))*time.Millisecond
	tr.ports[tr.rng.IntN(nodeCount)].set(func(po *port) {
		switch kind {
		case 0:
			po.down = !po.down
		case 1:
			po.delay = delay
		case 2:
			po.fault = append(po.fault, fault(1+int(delay)%3))
		case 3:
			po.stale = backup
		default:
			po.down, po.delay, po.stale = false, 0, nil
		}
	})
}

// observe records the revisions in force and counts regressions.
func (tr *trial) observe() {
	for ix, me := range tr.members {
		now := me.revision()
		if now < tr.inForce[ix] {
			tr.regressions++
		}
		tr.inForce[ix] = now
	}
}

// startChange lets an operator make a change at a random node, and counts
// revisions that two operators have been given.
func (tr *trial) startChange(ctx context.Context, wg *sync.WaitGroup, step int) {
	me, by := tr.members[tr.rng.IntN(nodeCount)], ident.Operator(fmt.Sprint("operator-", step))
	wg.Go(func() {
		re, ok := me.accept(ctx, by)
		if !ok {
			return
		}
		tr.mu.Lock()
		defer tr.mu.Unlock()
		if tr.accepted[re] != "" {
			tr.duplicates++
		}
		tr.accepted[re] = by
	})
}

// run executes the history, removes all faults and waits until all nodes should
// have the last revision in force.
func (tr *trial) run(ctx context.Context) {
	var wg sync.WaitGroup
	for step := range stepCount {
		if tr.rng.IntN(3) == 0 {
			tr.injectFault()
		}
		if tr.rng.IntN(4) == 0 {
			tr.startChange(ctx, &wg, step)
		}
		time.Sleep(stepTime)
		tr.observe()
	}
	for _, po := range tr.ports {
		po.set(func(po *port) { po.down, po.delay, po.stale, po.fault = false, 0, nil, nil })
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	tr.observe()
}

// TestHistories guards against a node that goes back to an older revision, a
// revision that is reported as accepted to two operators, and a node that does not
// follow the last revision, in random histories of faults.
func TestHistories(t *testing.T) {
	total := 0
	for seed := range uint64(historyCount) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			tr := newTrial(seed)
			rp := &randomPeer{rng: rand.New(rand.NewPCG(seed, 2))}
			for _, po := range tr.ports {
				fo := update.NewFollower(codecs.Config)
				opts := []update.Option{update.WithFollower(fo), update.WithPeers(rp)}
				rn := &realNode{&node{Follower: fo, port: po}, update.NewAcceptor(po, codecs, opts...)}
				rp.nodes = append(rp.nodes, rn)
				tr.members = append(tr.members, rn)
			}
			for _, rn := range rp.nodes {
				go update.NewWatcher(rn.port, codecs, rn.Follower, update.WithPeers(rp)).Run(ctx)
			}
			tr.run(ctx)
			if tr.regressions > 0 || tr.duplicates > 0 {
				t.Errorf("seed %d: nodes went back to an older revision %d times, %d revisions were accepted twice", seed, tr.regressions, tr.duplicates)
			}
			tr.checkAudit(t, seed)
			total += len(tr.accepted)
		})
	}
	if total < historyCount*5 {
		t.Errorf("%d acceptances in %d histories are too few for a meaningful test", total, historyCount)
	}
}

// checkAudit checks that the audit is complete and that all nodes have its
// last revision in force.
func (tr *trial) checkAudit(t *testing.T, seed uint64) {
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
			t.Errorf("seed %d: revision %d was accepted for %s, but the audit does not show it", seed, re, by)
		}
	}
	for ix, re := range tr.inForce {
		if int(re) != len(rows) {
			t.Errorf("seed %d: node %d has revision %d in force, want %d", seed, ix, re, len(rows))
		}
	}
}

// TestHistoriesDetectNaive guards against histories that pass for any
// implementation: the naive one, in which the last write wins, must fail in them.
func TestHistoriesDetectNaive(t *testing.T) {
	regressions, duplicates := 0, 0
	for seed := range uint64(historyCount) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			tr := newTrial(seed)
			for _, po := range tr.ports {
				tr.members = append(tr.members, startNaive(ctx, po))
			}
			tr.run(ctx)
			regressions += tr.regressions
			duplicates += tr.duplicates
		})
	}
	t.Logf("naive version: nodes went back to an older revision %d times, %d revisions were accepted twice", regressions, duplicates)
	if regressions == 0 || duplicates == 0 {
		t.Errorf("nodes went back to an older revision %d times, %d revisions were accepted twice, want both above 0", regressions, duplicates)
	}
}
