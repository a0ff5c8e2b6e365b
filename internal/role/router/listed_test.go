package router_test

import (
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/bench/stack"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// eventCounter counts log events by their numbers.
type eventCounter struct {
	meter.Nop
	mu     sync.Mutex
	counts map[int]int
}

func (ec *eventCounter) Log(ev meter.Event, _ ...slog.Attr) {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	ec.counts[ev.Number]++
}

func (ec *eventCounter) count(number int) int {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	return ec.counts[number]
}

// TestVMListedAsLeaving guards against new work at an upstream that only the
// platform's list shows as leaving, against interrupted requests in flight, and
// against a sidecar that does not stop.
func TestVMListedAsLeaving(t *testing.T) {
	const tokens, upstreamLeaves, sidecarStopped = 60, 1103, 9203
	ec := &eventCounter{counts: map[int]int{}}
	st := stack.New(stack.WithMeter(ec))
	t.Cleanup(st.Close)
	en := map[ident.Upstream]*model.Engine{}
	vms := map[ident.Upstream]cloud.VM{}
	key := config.NewAPIKey()
	ac := config.Account{ID: "a1", Keys: []config.KeyHash{config.HashAPIKey(key)}, Budgets: []ident.Budget{"b1"}, Preference: config.AvoidRefusal}
	var ups []config.Upstream
	for _, id := range []ident.Upstream{"e1", "e2"} {
		en[id] = model.New(model.WithResponseTokens(tokens, tokens), model.WithTokenTime(50*time.Millisecond))
		up, _, err := st.StartSidecar(config.Upstream{
			ID: id, VM: ident.VM("vm-" + id), Kind: config.Engine, Domain: "d1", Models: []ident.Model{"m1"},
		}, st.Serve(en[id]))
		if err != nil {
			t.Fatal(err)
		}
		ups, vms[id] = append(ups, up), cloud.VM{ID: string(up.VM), Address: up.Sidecar, Domain: "d1", Role: "engine"}
	}
	st.Cloud.SetVMs(vms["e1"], vms["e2"])
	if err := st.ChangeConfig(func(cur config.Snapshot) config.Snapshot {
		return cur.WithUpstream(ups[0]).WithUpstream(ups[1]).WithAccount(ac)
	}); err != nil {
		t.Fatal(err)
	}
	if err := st.CreateBudget(ident.BudgetRef{Account: "a1", Budget: "b1"}, prepaid); err != nil {
		t.Fatal(err)
	}
	ro, _, err := st.StartRouter("vm-r1", "d1")
	if err != nil {
		t.Fatal(err)
	}
	if err := stack.WaitReady(ro.CallerAddr()); err != nil {
		t.Fatal(err)
	}
	ca, wg := call.New(key), sync.WaitGroup{}
	send := func(n int) {
		for range n {
			wg.Go(func() {
				re := ca.Stream(t.Context(), "http://"+ro.CallerAddr(), call.Chat{Model: "m1", Prompt: "wording?", MaxTokens: tokens})
				if re.Status != http.StatusOK || !re.Served || re.Completion != tokens {
					t.Errorf("status %d, %d tokens, %s %s", re.Status, re.Completion, re.Reason, re.Detail)
				}
			})
		}
	}
	// An engine has eight slots, so that both engines get some of the twelve
	// requests.
	send(12)
	until(t, "sent", func() bool { return len(en["e1"].Runs())+len(en["e2"].Runs()) == 12 })
	if len(en["e1"].Runs()) == 0 {
		t.Fatal("e1 got no request")
	}
	listed := vms["e1"]
	listed.Leaving = true
	st.Cloud.SetVMs(listed, vms["e2"])
	until(t, "seen by the router", func() bool { return ec.count(upstreamLeaves) > 0 })
	before := len(en["e1"].Runs())
	send(4)
	wg.Wait()
	if after := len(en["e1"].Runs()); after != before {
		t.Errorf("e1 got %d new requests after the router had seen the list", after-before)
	}
	until(t, "stopped by itself", func() bool { return ec.count(sidecarStopped) == 1 })
}
