package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// naiveSidecar is a sidecar that runs a call without a claim if no outcome is
// stored. It shows that the random histories detect the faults of this approach.
type naiveSidecar struct {
	eng *scriptedEngine
	cl  relay.Claims
}

func (na naiveSidecar) Open(ctx context.Context, di peer.Dispatch) (peer.Stream, error) {
	rc, ok, err := na.cl.Lookup(ctx, di.Account, di.Call.Key)
	if err != nil {
		return nil, refuse.New(refuse.StoreUnavailable, "%v", err)
	}
	var ex *claim.Record
	if ok {
		ex = &rc
	}
	if claim.DecideWithoutClaim(ex, di.Fingerprint, claim.Claimant{}) != claim.Run {
		return nil, refuse.New(refuse.InProgress, "stored")
	}
	if _, err := na.eng.Run(ctx, di.Call, func(engine.Chunk) error { return nil }); err != nil {
		return nil, refuse.New(refuse.UpstreamFailed, "%v", err)
	}
	return nil, refuse.New(refuse.Truncated, "the naive sidecar buffers no output")
}

func (naiveSidecar) Resume(context.Context, ident.Request, uint32, uint64) (peer.Stream, error) {
	return nil, refuse.New(refuse.Truncated, "the naive sidecar buffers no output")
}

func (naiveSidecar) Report() (peer.Report, bool) { return peer.Report{}, false }

// counts sums up the violations and the complete responses of histories.
type counts struct{ ranTwice, falseNotRun, cancelledRan, complete int }

// runHistory lets 24 clients dispatch or cancel six keys at random times at two
// sidecars, with random deadlines and table faults. It returns the number of
// violations and of complete responses.
func runHistory(t *testing.T, seed uint64, sidecar func(*testing.T, *scriptedEngine, *table) peer.Sidecar) counts {
	var ct counts
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		var mu sync.Mutex
		random := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return rnd.IntN(n)
		}
		eng, tab := newScriptedEngine(5, 300*time.Millisecond), newTable()
		tab.setFaults(func(op string) fault {
			if random(3) > 0 {
				return noFault
			}
			if op == "get" {
				return unavailable
			}
			return []fault{unavailable, lostBefore, lostAfter, appliedLate}[random(4)]
		})
		sidecars := []peer.Sidecar{sidecar(t, eng, tab), sidecar(t, eng, tab)}
		cl := relay.NewClaims(tab, rows)
		refused := map[ident.Request]bool{}
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Go(func() {
				time.Sleep(time.Duration(random(6000)) * time.Millisecond)
				key := ident.Key(fmt.Sprint("k", random(6)))
				if random(6) == 0 {
					if ca, err := cl.CancelKey(t.Context(), "a", key, []byte("body")); err == nil && ca == claim.NeverRun {
						time.Sleep(time.Minute)
						mu.Lock()
						defer mu.Unlock()
						if runs, _ := eng.count(key); runs > 0 {
							ct.cancelledRan++
						}
					}
					return
				}
				di := nonIdempotent(ident.Request(fmt.Sprint("r", i)), key)
				di.Call.Deadline = time.Now().Add(time.Duration(random(20000)) * time.Millisecond)
				rsp := openAndRead(t, sidecars[random(2)], di)
				mu.Lock()
				defer mu.Unlock()
				refused[di.Request] = rsp.Outcome == refuse.NotRun
				if rsp.Kind == peer.Final {
					ct.complete++
					equal(t, fmt.Sprint("text, seed ", seed), "abcde", rsp.Text)
				}
			})
		}
		wg.Wait()
		ct.ranTwice = eng.ranTwice()
		for re, notRun := range refused {
			if notRun && eng.ran(re) {
				ct.falseNotRun++
			}
		}
	})
	return ct
}

// TestHistories guards against a call that runs twice, a refusal that falsely
// says notRun, a call that runs after its key was cancelled, and an incomplete
// response, in random histories.
func TestHistories(t *testing.T) {
	const seeds = 150
	sum := func(side func(*testing.T, *scriptedEngine, *table) peer.Sidecar) counts {
		var all counts
		for seed := range uint64(seeds) {
			ct := runHistory(t, seed, side)
			all.ranTwice += ct.ranTwice
			all.falseNotRun += ct.falseNotRun
			all.cancelledRan += ct.cancelledRan
			all.complete += ct.complete
		}
		return all
	}
	got := sum(func(t *testing.T, eng *scriptedEngine, tab *table) peer.Sidecar {
		return service(t, eng, relay.WithTable(tab, rows), relay.WithRetention(2*time.Second), relay.WithLoadInterval(time.Hour))
	})
	t.Logf("with claims: %+v", got)
	if got.ranTwice+got.falseNotRun+got.cancelledRan > 0 || got.complete < seeds {
		t.Errorf("with claims: %+v", got)
	}
	ref := sum(func(_ *testing.T, eng *scriptedEngine, tab *table) peer.Sidecar {
		return naiveSidecar{eng: eng, cl: relay.NewClaims(tab, rows)}
	})
	t.Logf("without claims: %+v", ref)
	if ref.ranTwice == 0 || ref.cancelledRan == 0 {
		t.Error("the histories do not detect the faults of the naive sidecar")
	}
}
