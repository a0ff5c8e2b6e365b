package link_test

import (
	"context"
	"sync"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// script is a sidecar that answers each dispatch as the test says.
type script struct {
	mu      sync.Mutex
	opens   int
	resumes int
	answer  func(number int, di peer.Dispatch) (peer.Stream, error)
}

func (sc *script) Open(_ context.Context, di peer.Dispatch) (peer.Stream, error) {
	sc.mu.Lock()
	sc.opens++
	number := sc.opens
	sc.mu.Unlock()
	return sc.answer(number, di)
}

func (sc *script) Resume(context.Context, ident.Request, uint32, uint64) (peer.Stream, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.resumes++
	return nil, refuse.New(refuse.Truncated, "not held")
}

func (sc *script) Report() (peer.Report, bool) { return peer.Report{}, false }

func (sc *script) counts() (opens, resumes int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.opens, sc.resumes
}

// events is a stream of given events that then stays quiet.
type events struct {
	mu        sync.Mutex
	list      []peer.Event
	cancelled bool
}

func (ev *events) Recv(ctx context.Context) (peer.Event, error) {
	ev.mu.Lock()
	if len(ev.list) > 0 {
		defer ev.mu.Unlock()
		next := ev.list[0]
		ev.list = ev.list[1:]
		return next, nil
	}
	ev.mu.Unlock()
	<-ctx.Done()
	return peer.Event{}, ctx.Err()
}

func (ev *events) Ack(uint64) {}
func (ev *events) Close()     {}

func (ev *events) Cancel() {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	ev.cancelled = true
}

// answers returns a script that sends the events addressed to the attempt.
func answers(list ...peer.Event) *script {
	return &script{answer: func(_ int, di peer.Dispatch) (peer.Stream, error) {
		out := &events{}
		for _, ev := range list {
			if ev.Request == "" {
				ev.Request, ev.Attempt = di.Request, di.Attempt
			}
			out.list = append(out.list, ev)
		}
		return out, nil
	}}
}
