package relay_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
	"github.com/balsamwood/balsamwood/internal/port/store"
	"github.com/google/go-cmp/cmp"
)

// fault is a fault of one call to the table.
type fault int

const (
	noFault fault = iota
	unavailable
	lostBefore     // no response, not written
	lostAfter      // no response, written
	appliedLate    // no response, written 3 s later
	appliedBlocked // written, response after 1 h even if the context ends
)

// table is an in-memory store.Table. faultFor chooses the fault of each call.
type table struct {
	mu       sync.Mutex
	rows     map[string]store.Item
	faultFor func(op string) fault
}

func newTable() *table {
	return &table{rows: make(map[string]store.Item), faultFor: func(string) fault { return noFault }}
}

func (tb *table) setFaults(faultFor func(op string) fault) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.faultFor = faultFor
}

// first returns a fault function that applies the faults to the first commits,
// one each.
func first(fs ...fault) func(string) fault {
	return func(op string) fault {
		if op != "commit" || len(fs) == 0 {
			return noFault
		}
		ft := fs[0]
		fs = fs[1:]
		return ft
	}
}

// always returns a fault function that applies the fault to every call.
func always(ft fault) func(string) fault { return func(string) fault { return ft } }

func (tb *table) nextFault(op string) fault {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.faultFor(op)
}

func (tb *table) Get(_ context.Context, key string) (store.Item, bool, error) {
	if tb.nextFault("get") != noFault {
		return store.Item{}, false, store.ErrUnavailable
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	it, ok := tb.rows[key]
	return it, ok, nil
}

func (tb *table) Scan(context.Context, string, string, int) ([]store.Item, error) {
	return nil, store.ErrUnavailable
}

func (tb *table) Commit(ctx context.Context, writes ...store.Write) error {
	switch tb.nextFault("commit") {
	case unavailable:
		return store.ErrUnavailable
	case lostBefore:
		return store.ErrUncertain
	case lostAfter:
		_ = tb.apply(writes)
		return store.ErrUncertain
	case appliedLate:
		time.AfterFunc(3*time.Second, func() { _ = tb.apply(writes) })
		return store.ErrUncertain
	case appliedBlocked:
		err := tb.apply(writes)
		time.Sleep(time.Hour)
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return tb.apply(writes)
}

func (tb *table) apply(writes []store.Write) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, wr := range writes {
		if tb.rows[wr.Key].Version != wr.IfVersion {
			return store.ErrConflict
		}
	}
	for _, wr := range writes {
		tb.rows[wr.Key] = store.Item{Key: wr.Key, Value: wr.Value, Version: wr.IfVersion + 1}
	}
	return nil
}

// scriptedEngine is an upstream that emits chunks at a fixed interval and counts
// the calls.
type scriptedEngine struct {
	mu            sync.Mutex
	runsByKey     map[ident.Key]int
	runsByRequest map[ident.Request]int
	ended         int
	chunks        int
	tokens        ident.Tokens
	prompt        ident.Tokens
	interval      time.Duration
	err           error
}

func newScriptedEngine(chunks int, interval time.Duration) *scriptedEngine {
	return &scriptedEngine{runsByKey: make(map[ident.Key]int), runsByRequest: make(map[ident.Request]int), chunks: chunks, tokens: 1, interval: interval}
}

func (se *scriptedEngine) Run(ctx context.Context, ca engine.Call, emit func(engine.Chunk) error) (engine.Result, error) {
	se.mu.Lock()
	se.runsByKey[ca.Key]++
	se.runsByRequest[ca.Request]++
	se.mu.Unlock()
	defer func() {
		se.mu.Lock()
		se.ended++
		se.mu.Unlock()
	}()
	res := engine.Result{Status: 200, Usage: engine.Usage{Prompt: se.prompt}}
	for i := range se.chunks {
		select {
		case <-time.After(se.interval):
		case <-ctx.Done():
			return res, ctx.Err()
		}
		if err := emit(engine.Chunk{Data: []byte{byte('a' + i%26)}, Tokens: se.tokens}); err != nil {
			return res, err
		}
		res.Usage.Completion += se.tokens
	}
	return res, se.err
}

func (se *scriptedEngine) Load(context.Context) (engine.Load, error) {
	return engine.Load{Slots: 8}, nil
}
func (se *scriptedEngine) Order(context.Context, engine.Order) error { return nil }

// count returns how often the key ran and how many calls of all keys have
// ended.
func (se *scriptedEngine) count(key ident.Key) (int, int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.runsByKey[key], se.ended
}

// ranTwice returns how many keys ran more than once.
func (se *scriptedEngine) ranTwice() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	counts := slices.Collect(maps.Values(se.runsByKey))
	return len(slices.DeleteFunc(counts, func(n int) bool { return n < 2 }))
}

// ran reports whether the request ran.
func (se *scriptedEngine) ran(re ident.Request) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.runsByRequest[re] > 0
}

var rows codec.JSON[claim.Record]

// service returns a sidecar for the engine. It is closed when the test ends.
func service(t *testing.T, eng engine.Upstream, opts ...relay.Option) *relay.Service {
	t.Helper()
	sv := relay.NewService(config.Upstream{ID: "e1", Kind: config.Engine}, ident.NewIncarnation(), eng, opts...)
	t.Cleanup(sv.Close)
	return sv
}

// dispatch returns an idempotent attempt with a deadline in one minute and 100
// reserved tokens.
func dispatch(re ident.Request, key ident.Key) peer.Dispatch {
	return peer.Dispatch{
		Request: re, Attempt: 1, Account: "a", Budget: "b", Router: "router1", Reserved: 100,
		Idempotent: true, Fingerprint: []byte("body"),
		Call: engine.Call{Key: key, MaxTokens: 80, Deadline: time.Now().Add(time.Minute)},
	}
}

// nonIdempotent returns an attempt like that of dispatch, but at a call that must
// run at most once.
func nonIdempotent(re ident.Request, key ident.Key) peer.Dispatch {
	di := dispatch(re, key)
	di.Idempotent = false
	return di
}

// response is the output and the last event that a reader received.
type response struct {
	Text    string
	Kind    peer.EventKind
	Charged ident.Tokens
	Replay  bool
	Outcome refuse.Outcome
	Reason  refuse.Reason
}

// refusalOf returns the response that corresponds to an error.
func refusalOf(err error) response {
	rf := refuse.From(err)
	return response{Kind: peer.Refused, Outcome: rf.Outcome, Reason: rf.Reason}
}

// read reads a stream to its end and fails the test on a chunk out of sequence.
func read(ctx context.Context, t *testing.T, st peer.Stream, next uint64) response {
	t.Helper()
	var text strings.Builder
	for {
		ev, err := st.Recv(ctx)
		if err != nil {
			rsp := refusalOf(err)
			rsp.Text = text.String()
			return rsp
		}
		switch ev.Kind {
		case peer.Accepted:
		case peer.Data:
			if ev.Seq != next {
				t.Fatalf("chunk %d, want %d", ev.Seq, next)
			}
			next++
			text.Write(ev.Chunk.Data)
			st.Ack(ev.Seq)
		default:
			if ev.Kind == peer.Final && ev.Seq != next-1 {
				t.Fatalf("final count %d after %d chunks", ev.Seq, next-1)
			}
			rsp := response{Text: text.String(), Kind: ev.Kind, Charged: ev.Charged, Replay: ev.Replay}
			if ev.Refusal != nil {
				rsp.Outcome, rsp.Reason = ev.Refusal.Outcome, ev.Refusal.Reason
			}
			return rsp
		}
	}
}

// open opens an attempt and fails the test if it is refused.
func open(t *testing.T, sv peer.Sidecar, di peer.Dispatch) peer.Stream {
	t.Helper()
	st, err := sv.Open(t.Context(), di)
	if err != nil {
		t.Fatal(err)
	}
	return st
}

// openAndRead opens the attempt and reads its stream to the end.
func openAndRead(t *testing.T, sv peer.Sidecar, di peer.Dispatch) response {
	t.Helper()
	st, err := sv.Open(t.Context(), di)
	if err != nil {
		return refusalOf(err)
	}
	return read(t.Context(), t, st, 1)
}

func equal[T any](t *testing.T, what string, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// notRun is the response to an attempt that certainly did not run.
func notRun(re refuse.Reason) response {
	return response{Kind: peer.Refused, Outcome: refuse.NotRun, Reason: re}
}

// unknownOutcome is the response to a refused attempt that may have run.
func unknownOutcome(re refuse.Reason) response {
	return response{Kind: peer.Refused, Outcome: refuse.Unknown, Reason: re}
}

var errEngine = errors.New("connection reset")
