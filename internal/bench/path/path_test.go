package path_test

import (
	"fmt"
	"testing"

	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/bench/stack"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

// shortResponse and longResponse are lengths of responses in tokens. The
// difference between their results, divided by the difference in tokens, is the
// cost of a token.
const shortResponse, longResponse = 10, 110

// startStack starts one engine, its sidecar and a router in this process, and
// returns the URLs of the engine and the router.
func startStack(tb testing.TB, key string, tokens int) (engine, router string) {
	tb.Helper()
	st := stack.New()
	tb.Cleanup(st.Close)
	engine = st.Serve(model.New(model.WithResponseTokens(tokens, tokens), model.WithSlots(1024)))
	up, _, err := st.StartSidecar(config.Upstream{
		ID: "e1", VM: "vm-e1", Kind: config.Engine, Domain: "d1", Models: []ident.Model{"m1"},
	}, engine)
	if err != nil {
		tb.Fatal(err)
	}
	rf := ident.BudgetRef{Account: "a1", Budget: "b1"}
	err = st.ChangeConfig(func(sn config.Snapshot) config.Snapshot {
		return sn.WithUpstream(up).WithAccount(config.Account{
			ID: rf.Account, Budgets: []ident.Budget{rf.Budget}, Preference: config.AvoidRefusal,
			Keys: []config.KeyHash{config.HashAPIKey(key)},
		})
	})
	if err != nil {
		tb.Fatal(err)
	}
	if err := st.CreateBudget(rf, 1<<40); err != nil {
		tb.Fatal(err)
	}
	ro, _, err := st.StartRouter("vm-r1", "d1")
	if err != nil {
		tb.Fatal(err)
	}
	if err := stack.WaitReady(ro.CallerAddr()); err != nil {
		tb.Fatal(err)
	}
	return engine, "http://" + ro.CallerAddr()
}

// BenchmarkPath compares routed requests with direct ones. Both include the caller
// and the engine, so their difference is the cost of the router and the sidecar.
func BenchmarkPath(bb *testing.B) {
	for _, tokens := range []int{shortResponse, longResponse} {
		key := config.NewAPIKey()
		engine, router := startStack(bb, key, tokens)
		for _, target := range []struct{ name, url string }{{"direct", engine}, {"routed", router}} {
			bb.Run(fmt.Sprintf("%s/tokens=%d", target.name, tokens), func(bb *testing.B) {
				ca := call.New(key)
				bb.ReportAllocs()
				bb.SetParallelism(20)
				bb.RunParallel(func(pb *testing.PB) {
					for ix := 0; pb.Next(); ix++ {
						stream(bb, ca, target.url, ix, tokens)
					}
				})
			})
		}
	}
}

func stream(tb testing.TB, ca *call.Caller, url string, number, tokens int) {
	re := ca.Stream(tb.Context(), url, call.Chat{
		Model: "m1", Prompt: fmt.Sprintf("question %d", number), MaxTokens: 2 * tokens, Class: config.Urgent,
	})
	if !re.Served {
		tb.Errorf("not served: %s %s", re.Reason, re.Detail)
	}
}

// TestBoundAllocs guards against a growing cost per token on the routed path: the
// router and the sidecar together add at most three times the allocations that the
// caller and the engine make for a token.
func TestBoundAllocs(t *testing.T) {
	const requests = 200
	allocsPerRequest := func(target func(engine, router string) string, tokens int) float64 {
		key := config.NewAPIKey()
		url := target(startStack(t, key, tokens))
		ca := call.New(key)
		number := 0
		return testing.AllocsPerRun(requests, func() {
			number++
			stream(t, ca, url, number, tokens)
		})
	}
	direct := func(engine, _ string) string { return engine }
	routed := func(_, router string) string { return router }
	directPerToken := (allocsPerRequest(direct, longResponse) - allocsPerRequest(direct, shortResponse)) / (longResponse - shortResponse)
	routedPerToken := (allocsPerRequest(routed, longResponse) - allocsPerRequest(routed, shortResponse)) / (longResponse - shortResponse)
	t.Logf("allocations per token: direct %.1f, routed %.1f", directPerToken, routedPerToken)
	if added := routedPerToken - directPerToken; added > 3*directPerToken {
		t.Errorf("router and sidecar add %.1f allocations per token, want at most 3 times the %.1f of caller and engine", added, directPerToken)
	}
}
