package relay_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// registry answers after a second with what is set for all incarnations.
type registry struct {
	mu      sync.Mutex
	asked   int
	refusal *refuse.Refusal
}

func (rg *registry) Admit(ctx context.Context, _ ident.Incarnation) *refuse.Refusal {
	rg.mu.Lock()
	rg.asked++
	rf := rg.refusal
	rg.mu.Unlock()
	select {
	case <-time.After(time.Second):
		return rf
	case <-ctx.Done():
		return refuse.New(refuse.StoreUnavailable, "no answer")
	}
}

func (rg *registry) set(rf *refuse.Refusal) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.refusal = rf
}

// TestRegistry guards against a sidecar that runs work of an incarnation which
// was closed before it started, against a refusal that outlives its cause, and
// against a look at the registry for every request.
func TestRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng, rg := newScript(26, time.Second), &registry{}
		sv := service(t, eng, relay.WithRegistry(rg))
		for _, re := range []refuse.Reason{refuse.StoreUnavailable, refuse.ClosedIncarnation} {
			rg.set(refuse.New(re, "test"))
			equal(t, "refused", notRun(re), ask(t, sv, dispatch("r1", "")))
		}
		rg.set(nil)
		var wg sync.WaitGroup
		for _, id := range []ident.Request{"r2", "r3", "r4"} {
			wg.Go(func() {
				equal(t, "together", answer{Text: alphabet, Kind: peer.Final, Charged: 26}, ask(t, sv, dispatch(id, "")))
			})
		}
		wg.Wait()
		rg.set(refuse.New(refuse.StoreUnavailable, "test"))
		equal(t, "known", answer{Text: alphabet, Kind: peer.Final, Charged: 26}, ask(t, sv, dispatch("r5", "")))
		equal(t, "asked", 3, rg.asked)
		equal(t, "admitted", []ident.Incarnation{"router1"}, sv.Admitted())
		if _, err := sv.CloseIncarnation(t.Context(), "router1"); err != nil {
			t.Fatal(err)
		}
		rg.set(nil)
		equal(t, "closed", notRun(refuse.ClosedIncarnation), ask(t, sv, dispatch("r6", "")))
		equal(t, "asked after the closure", 3, rg.asked)
	})
}
