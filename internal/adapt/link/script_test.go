package link_test

import (
	"context"
	"sync"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// scriptedSidecar is a sidecar whose responses to dispatches are set by the
// test.
type scriptedSidecar struct {
	mu      sync.Mutex
	opens   int
	resumes int
	respond func(number int, di peer.Dispatch) (peer.Stream, error)
}

func (sc *scriptedSidecar) Open(_ context.Context, di peer.Dispatch) (peer.Stream, error) {
	sc.mu.Lock()
	sc.opens++
	number := sc.opens
	sc.mu.Unlock()
	return sc.respond(number, di)
}

func (sc *scriptedSidecar) Resume(context.Context, ident.Request, uint32, uint64) (peer.Stream, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.resumes++
	return nil, refuse.New(refuse.Truncated, "not held")
}

func (sc *scriptedSidecar) Report() (peer.Report, bool) { return peer.Report{}, false }

func (sc *scriptedSidecar) counts() (opens, resumes int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.opens, sc.resumes
}

// scriptedStream is a stream that returns the given events and then blocks.
type scriptedStream struct {
	mu        sync.Mutex
	list      []peer.Event
	cancelled bool
}

func (ss *scriptedStream) Recv(ctx context.Context) (peer.Event, error) {
	ss.mu.Lock()
	if len(ss.list) > 0 {
		defer ss.mu.Unlock()
		next := ss.list[0]
		ss.list = ss.list[1:]
		return next, nil
	}
	ss.mu.Unlock()
	<-ctx.Done()
	return peer.Event{}, ctx.Err()
}

func (ss *scriptedStream) Ack(uint64) {}
func (ss *scriptedStream) Close()     {}

func (ss *scriptedStream) Cancel() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.cancelled = true
}

// respondWith returns a sidecar that responds to each dispatch with the events.
// Events without a request are addressed to the attempt.
func respondWith(list ...peer.Event) *scriptedSidecar {
	return &scriptedSidecar{respond: func(_ int, di peer.Dispatch) (peer.Stream, error) {
		out := &scriptedStream{}
		for _, ev := range list {
			if ev.Request == "" {
				ev.Request, ev.Attempt = di.Request, di.Attempt
			}
			out.list = append(out.list, ev)
		}
		return out, nil
	}}
}
