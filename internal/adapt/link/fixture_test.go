package link_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// fixture connects a router's client and a sidecar's server by a faulty network.
type fixture struct {
	*testing.T
	name   string
	nw     *network
	cl     *link.Client
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup
	cancel context.CancelFunc
}

// nopControl handles the control messages of a sidecar without effect.
type nopControl struct{}

func (nopControl) OfferConfig(ident.Revision, []byte)        {}
func (nopControl) InForce() (ident.Revision, []byte)         { return 0, nil }
func (nopControl) Order(context.Context, engine.Order) error { return nil }
func (nopControl) CloseIncarnation(context.Context, ident.Incarnation) ([]link.BudgetUsage, error) {
	return nil, nil
}

func newFixture(t *testing.T, name string, si peer.Sidecar, opts ...link.ClientOption) *fixture {
	fx := &fixture{T: t, name: name, nw: newNetwork()}
	fx.ctx, fx.stop = context.WithCancel(t.Context())
	fx.serve("s1", si)
	fx.cl = link.NewClient(link.Identity{VM: "vm-r", Incarnation: "r1"}, fx.nw.dial, opts...)
	fx.wg.Go(func() { fx.cl.Run(fx.ctx) })
	time.Sleep(time.Second)
	if !fx.cl.Connected() {
		t.Fatalf("%s: not connected", name)
	}
	return fx
}

// serve starts a sidecar's server, which fx.cancel stops.
func (fx *fixture) serve(in ident.Incarnation, si peer.Sidecar) {
	ctx, cancel := context.WithCancel(fx.ctx)
	fx.cancel = cancel
	sv := link.NewServer(link.Identity{VM: "vm-s", Incarnation: in, Upstream: "u1"}, si, nopControl{})
	fx.wg.Go(func() { _ = sv.Serve(ctx, fx.nw.listen()) })
}

// restart replaces the sidecar by another incarnation.
func (fx *fixture) restart(in ident.Incarnation, si peer.Sidecar) {
	fx.cancel()
	fx.nw.closeAll()
	fx.serve(in, si)
}

func (fx *fixture) close() {
	fx.stop()
	fx.wg.Wait()
	fx.nw.closeAll()
}

func (fx *fixture) errorf(format string, args ...any) {
	fx.Errorf("%s: %s", fx.name, fmt.Sprintf(format, args...))
}

// upstream is an engine that runs a function for each call and records the
// calls.
type upstream struct {
	mu   sync.Mutex
	runs []ident.Request
	run  func(ctx context.Context, emit func(engine.Chunk) error) error
}

func (up *upstream) Run(ctx context.Context, ca engine.Call, emit func(engine.Chunk) error) (engine.Result, error) {
	up.mu.Lock()
	up.runs = append(up.runs, ca.Request)
	up.mu.Unlock()
	err := up.run(ctx, emit)
	return engine.Result{Status: 200, Usage: engine.Usage{Completion: 7}}, err
}

func (up *upstream) Load(context.Context) (engine.Load, error) { return engine.Load{Slots: 1}, nil }
func (up *upstream) Order(context.Context, engine.Order) error { return nil }

func (up *upstream) count() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	return len(up.runs)
}

// newPacedUpstream returns an upstream that emits count numbered chunks, one in
// each interval.
func newPacedUpstream(count int, every time.Duration) *upstream {
	return &upstream{run: func(ctx context.Context, emit func(engine.Chunk) error) error {
		for ix := range count {
			select {
			case <-time.After(every):
			case <-ctx.Done():
				return ctx.Err()
			}
			if err := emit(engine.Chunk{Data: fmt.Append(nil, ix+1), Tokens: 1}); err != nil {
				return err
			}
		}
		return nil
	}}
}

func newService(up *upstream) *relay.Service {
	return relay.NewService(config.Upstream{ID: "u1", VM: "vm-s", Kind: config.Engine}, "s1", up)
}

func dispatch(id ident.Request, within time.Duration) peer.Dispatch {
	return peer.Dispatch{
		Request: id, Attempt: 1, Account: "a", Budget: "b", Router: "r1", Reserved: 1 << 20, Idempotent: true,
		Call: engine.Call{Request: id, Body: []byte("{}"), Deadline: time.Now().Add(within)},
	}
}

// reading is what a reader of a stream received. gap is the longest time without
// a chunk.
type reading struct {
	seqs    []uint64
	gap     time.Duration
	last    peer.Event
	err     error
	elapsed time.Duration
	onChunk func(seq uint64)
}

// read receives until the last event or an error.
func (re *reading) read(ctx context.Context, st peer.Stream) {
	start := time.Now()
	at := start
	for {
		ev, err := st.Recv(ctx)
		re.elapsed = time.Since(start)
		if err != nil {
			re.err = err
			return
		}
		if ev.Kind == peer.Data {
			re.seqs = append(re.seqs, ev.Seq)
			re.gap = max(re.gap, time.Since(at))
			at = time.Now()
			st.Ack(ev.Seq)
			if re.onChunk != nil {
				re.onChunk(ev.Seq)
			}
			continue
		}
		if ev.Kind != peer.Accepted {
			re.last = ev
			return
		}
	}
}

// complete reports whether the chunks 1 to count and the final event arrived.
func (re *reading) complete(count int) bool {
	want := make([]uint64, count)
	for ix := range want {
		want[ix] = uint64(ix + 1)
	}
	return re.err == nil && re.last.Kind == peer.Final && slices.Equal(want, re.seqs)
}

func (fx *fixture) mustOpen(di peer.Dispatch) peer.Stream {
	st, err := fx.cl.Open(fx.ctx, di)
	if err != nil {
		fx.Fatalf("%s: open: %v", fx.name, err)
	}
	return st
}
