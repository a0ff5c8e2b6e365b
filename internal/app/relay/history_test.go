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

// naive is a sidecar that looks for an outcome and then runs the call, without
// a claim. It is the reference for the random histories.
type naive struct {
	eng *script
	cl  relay.Claims
}

func (na naive) Open(ctx context.Context, di peer.Dispatch) (peer.Stream, error) {
	rc, ok, err := na.cl.Ask(ctx, di.Account, di.Call.Key)
	if err != nil {
		return nil, refuse.New(refuse.StoreUnavailable, "%v", err)
	}
	var ex *claim.Record
	if ok {
		ex = &rc
	}
	if claim.Naive(ex, di.Fingerprint, claim.Asker{}) != claim.Run {
		return nil, refuse.New(refuse.InProgress, "stored")
	}
	if _, err := na.eng.Run(ctx, di.Call, func(engine.Chunk) error { return nil }); err != nil {
		return nil, refuse.New(refuse.UpstreamFailed, "%v", err)
	}
	return nil, refuse.New(refuse.Truncated, "the naive sidecar keeps no output")
}

func (naive) Resume(context.Context, ident.Request, uint32, uint64) (peer.Stream, error) {
	return nil, refuse.New(refuse.Truncated, "not kept")
}

func (naive) Report() (peer.Report, bool) { return peer.Report{}, false }

// verdict sums up the random histories.
type verdict struct{ doubles, falseNotRun, cancelledRan, whole int }

// history lets clients dispatch a few keys at random at two sidecars, with
// cancellations, faults of the table and of the upstream, and pauses. It
// returns what went wrong and how many whole answers arrived.
func history(t *testing.T, seed uint64, sidecar func(*testing.T, *script, *table) peer.Sidecar) verdict {
	var ve verdict
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		var mu sync.Mutex
		draw := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return rnd.IntN(n)
		}
		eng, tab := newScript(5, 300*time.Millisecond), newTable()
		tab.setPlan(func(op string) fault {
			if draw(3) > 0 {
				return fine
			}
			if op == "get" {
				return down
			}
			return []fault{down, lostBefore, lostAfter, lands}[draw(4)]
		})
		sides := []peer.Sidecar{sidecar(t, eng, tab), sidecar(t, eng, tab)}
		cl := relay.NewClaims(tab, rows)
		refused := map[ident.Request]bool{}
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Go(func() {
				time.Sleep(time.Duration(draw(6000)) * time.Millisecond)
				key := ident.Key(fmt.Sprint("k", draw(6)))
				if draw(6) == 0 {
					if won, err := cl.CancelKey(t.Context(), "a", key, []byte("body")); err == nil && won == claim.Won {
						time.Sleep(time.Minute)
						mu.Lock()
						defer mu.Unlock()
						if runs, _ := eng.count(key); runs > 0 {
							ve.cancelledRan++
						}
					}
					return
				}
				di := action(ident.Request(fmt.Sprint("r", i)), key)
				di.Call.Deadline = time.Now().Add(time.Duration(draw(20000)) * time.Millisecond)
				an := ask(t, sides[draw(2)], di)
				mu.Lock()
				defer mu.Unlock()
				refused[di.Request] = an.Outcome == refuse.NotRun
				if an.Kind == peer.Final {
					ve.whole++
					equal(t, fmt.Sprint("text, seed ", seed), "abcde", an.Text)
				}
			})
		}
		wg.Wait()
		ve.doubles = eng.doubles()
		for re, not := range refused {
			if not && eng.ran(re) {
				ve.falseNotRun++
			}
		}
	})
	return ve
}

// TestHistories guards against a double run, a refusal that falsely says
// notRun, and an answer that is not whole, in random histories.
func TestHistories(t *testing.T) {
	const seeds = 150
	sum := func(side func(*testing.T, *script, *table) peer.Sidecar) verdict {
		var all verdict
		for seed := range uint64(seeds) {
			ve := history(t, seed, side)
			all.doubles += ve.doubles
			all.falseNotRun += ve.falseNotRun
			all.cancelledRan += ve.cancelledRan
			all.whole += ve.whole
		}
		return all
	}
	got := sum(func(t *testing.T, eng *script, tab *table) peer.Sidecar {
		return service(t, eng, relay.WithTable(tab, rows), relay.WithRetention(2*time.Second), relay.WithLoadEvery(time.Hour))
	})
	t.Logf("with claims: %+v", got)
	if got.doubles+got.falseNotRun+got.cancelledRan > 0 || got.whole < seeds {
		t.Errorf("with claims: %+v", got)
	}
	ref := sum(func(_ *testing.T, eng *script, tab *table) peer.Sidecar {
		return naive{eng: eng, cl: relay.NewClaims(tab, rows)}
	})
	t.Logf("without claims: %+v", ref)
	if ref.doubles == 0 || ref.cancelledRan == 0 {
		t.Error("the histories do not show the faults of the naive sidecar")
	}
}
