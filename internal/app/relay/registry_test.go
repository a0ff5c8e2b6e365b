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

// registry returns the same refusal, or none, for all incarnations, after a
// second.
type registry struct {
	mu      sync.Mutex
	lookups int
	refusal *refuse.Refusal
}

func (rg *registry) Admit(ctx context.Context, _ ident.Incarnation) *refuse.Refusal {
	rg.mu.Lock()
	rg.lookups++
	rf := rg.refusal
	rg.mu.Unlock()
	select {
	case <-time.After(time.Second):
		return rf
	case <-ctx.Done():
		return refuse.New(refuse.StoreUnavailable, "no response")
	}
}

func (rg *registry) set(rf *refuse.Refusal) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.refusal = rf
}

// TestRegistry guards against a sidecar that runs work of an incarnation which
// was closed before the sidecar started, against a refusal that is cached, and
// against a registry lookup for every request.
func TestRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		eng, rg := newScriptedEngine(26, time.Second), &registry{}
		sv := service(t, eng, relay.WithRegistry(rg))
		for _, re := range []refuse.Reason{refuse.StoreUnavailable, refuse.ClosedIncarnation} {
			rg.set(refuse.New(re, "test"))
			equal(t, "refused", notRun(re), openAndRead(t, sv, dispatch("r1", "")))
		}
		rg.set(nil)
		var wg sync.WaitGroup
		for _, id := range []ident.Request{"r2", "r3", "r4"} {
			wg.Go(func() {
				equal(t, "concurrent attempts", response{Text: alphabet, Kind: peer.Final, Charged: 26}, openAndRead(t, sv, dispatch(id, "")))
			})
		}
		wg.Wait()
		rg.set(refuse.New(refuse.StoreUnavailable, "test"))
		equal(t, "admitted incarnation", response{Text: alphabet, Kind: peer.Final, Charged: 26}, openAndRead(t, sv, dispatch("r5", "")))
		equal(t, "lookups", 3, rg.lookups)
		equal(t, "admitted", []ident.Incarnation{"router1"}, sv.Admitted())
		if _, err := sv.CloseIncarnation(t.Context(), "router1"); err != nil {
			t.Fatal(err)
		}
		rg.set(nil)
		equal(t, "closed", notRun(refuse.ClosedIncarnation), openAndRead(t, sv, dispatch("r6", "")))
		equal(t, "lookups after the closure", 3, rg.lookups)
	})
}
