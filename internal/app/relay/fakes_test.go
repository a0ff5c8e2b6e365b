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

// fault is what happens to one call to the table.
type fault int

const (
	fine fault = iota
	down
	lostBefore // no answer, not written
	lostAfter  // no answer, written
	lands      // no answer, written 3 s later
	sleeps     // answers after 1 h, whatever the context says
)

// table is an in-memory store.Table. plan chooses the fault of each call.
type table struct {
	mu   sync.Mutex
	rows map[string]store.Item
	plan func(op string) fault
}

func newTable() *table {
	return &table{rows: make(map[string]store.Item), plan: func(string) fault { return fine }}
}

func (tb *table) setPlan(plan func(op string) fault) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.plan = plan
}

// first returns a plan that applies the faults to the first commits.
func first(fs ...fault) func(string) fault {
	return func(op string) fault {
		if op != "commit" || len(fs) == 0 {
			return fine
		}
		ft := fs[0]
		fs = fs[1:]
		return ft
	}
}

func always(ft fault) func(string) fault { return func(string) fault { return ft } }

func (tb *table) next(op string) fault {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.plan(op)
}

func (tb *table) Get(_ context.Context, key string) (store.Item, bool, error) {
	if tb.next("get") != fine {
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
	switch tb.next("commit") {
	case down:
		return store.ErrUnavailable
	case lostBefore:
		return store.ErrUncertain
	case lostAfter:
		_ = tb.apply(writes)
		return store.ErrUncertain
	case lands:
		time.AfterFunc(3*time.Second, func() { _ = tb.apply(writes) })
		return store.ErrUncertain
	case sleeps:
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

// script is an upstream that answers with chunks at a fixed pace.
type script struct {
	mu     sync.Mutex
	runs   map[ident.Key]int
	by     map[ident.Request]int
	ended  int
	chunks int
	tokens ident.Tokens
	prompt ident.Tokens
	pace   time.Duration
	err    error
}

func newScript(chunks int, pace time.Duration) *script {
	return &script{runs: make(map[ident.Key]int), by: make(map[ident.Request]int), chunks: chunks, tokens: 1, pace: pace}
}

func (sc *script) Run(ctx context.Context, ca engine.Call, emit func(engine.Chunk) error) (engine.Result, error) {
	sc.mu.Lock()
	sc.runs[ca.Key]++
	sc.by[ca.Request]++
	sc.mu.Unlock()
	defer func() {
		sc.mu.Lock()
		sc.ended++
		sc.mu.Unlock()
	}()
	res := engine.Result{Status: 200, Usage: engine.Usage{Prompt: sc.prompt}}
	for i := range sc.chunks {
		select {
		case <-time.After(sc.pace):
		case <-ctx.Done():
			return res, ctx.Err()
		}
		if err := emit(engine.Chunk{Data: []byte{byte('a' + i%26)}, Tokens: sc.tokens}); err != nil {
			return res, err
		}
		res.Usage.Completion += sc.tokens
	}
	return res, sc.err
}

func (sc *script) Load(context.Context) (engine.Load, error) { return engine.Load{Slots: 8}, nil }
func (sc *script) Order(context.Context, engine.Order) error { return nil }

// count returns how often the key ran and how many calls have ended.
func (sc *script) count(key ident.Key) (int, int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.runs[key], sc.ended
}

// doubles returns how many keys ran more than once.
func (sc *script) doubles() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	counts := slices.Collect(maps.Values(sc.runs))
	return len(slices.DeleteFunc(counts, func(n int) bool { return n < 2 }))
}

// ran reports whether the request ran.
func (sc *script) ran(re ident.Request) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.by[re] > 0
}

var rows codec.JSON[claim.Record]

// service returns a sidecar for the script that is stopped with the test.
func service(t *testing.T, eng engine.Upstream, opts ...relay.Option) *relay.Service {
	t.Helper()
	sv := relay.NewService(config.Upstream{ID: "e1", Kind: config.Engine}, ident.NewIncarnation(), eng, opts...)
	t.Cleanup(sv.Close)
	return sv
}

// dispatch returns an idempotent attempt that has one minute and 100 tokens.
func dispatch(re ident.Request, key ident.Key) peer.Dispatch {
	return peer.Dispatch{
		Request: re, Attempt: 1, Account: "a", Budget: "b", Router: "router1", Reserved: 100,
		Idempotent: true, Fingerprint: []byte("body"),
		Call: engine.Call{Key: key, MaxTokens: 80, Deadline: time.Now().Add(time.Minute)},
	}
}

// action returns an attempt that must run at most once.
func action(re ident.Request, key ident.Key) peer.Dispatch {
	di := dispatch(re, key)
	di.Idempotent = false
	return di
}

// answer is what a reader received.
type answer struct {
	Text    string
	Kind    peer.EventKind
	Charged ident.Tokens
	Replay  bool
	Outcome refuse.Outcome
	Reason  refuse.Reason
}

// refusal returns the answer that stands for an error.
func refusal(err error) answer {
	rf := refuse.From(err)
	return answer{Kind: peer.Refused, Outcome: rf.Outcome, Reason: rf.Reason}
}

// read reads a stream to its end, and fails on a chunk out of sequence.
func read(ctx context.Context, t *testing.T, st peer.Stream, next uint64) answer {
	t.Helper()
	var text strings.Builder
	for {
		ev, err := st.Recv(ctx)
		if err != nil {
			an := refusal(err)
			an.Text = text.String()
			return an
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
			an := answer{Text: text.String(), Kind: ev.Kind, Charged: ev.Charged, Replay: ev.Replay}
			if ev.Refusal != nil {
				an.Outcome, an.Reason = ev.Refusal.Outcome, ev.Refusal.Reason
			}
			return an
		}
	}
}

// open opens an attempt that must be accepted.
func open(t *testing.T, sv peer.Sidecar, di peer.Dispatch) peer.Stream {
	t.Helper()
	st, err := sv.Open(t.Context(), di)
	if err != nil {
		t.Fatal(err)
	}
	return st
}

// ask opens the attempt and reads it to its end.
func ask(t *testing.T, sv peer.Sidecar, di peer.Dispatch) answer {
	t.Helper()
	st, err := sv.Open(t.Context(), di)
	if err != nil {
		return refusal(err)
	}
	return read(t.Context(), t, st, 1)
}

func equal[T any](t *testing.T, what string, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// notRun is the answer to an attempt that was refused with proof.
func notRun(re refuse.Reason) answer {
	return answer{Kind: peer.Refused, Outcome: refuse.NotRun, Reason: re}
}

// unknown is the refusal of an attempt that may have run.
func unknown(re refuse.Reason) answer {
	return answer{Kind: peer.Refused, Outcome: refuse.Unknown, Reason: re}
}

var errEngine = errors.New("connection reset")
