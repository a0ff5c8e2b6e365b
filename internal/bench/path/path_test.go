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

// short and long are answer lengths. The difference between their results,
// divided by the difference in tokens, is the cost of a token.
const short, long = 10, 110

// deploy starts one engine, its sidecar and a router in this process, and
// returns the URLs of engine and router.
func deploy(tb testing.TB, key string, tokens int) (engine, router string) {
	tb.Helper()
	st := stack.New()
	tb.Cleanup(st.Close)
	engine = st.Serve(model.New(model.WithAnswer(tokens, tokens), model.WithSlots(1024)))
	up, _, err := st.Sidecar(config.Upstream{
		ID: "e1", VM: "vm-e1", Kind: config.Engine, Domain: "d1", Models: []ident.Model{"m1"},
	}, engine)
	if err != nil {
		tb.Fatal(err)
	}
	rf := ident.BudgetRef{Account: "a1", Budget: "b1"}
	err = st.Accept(func(sn config.Snapshot) config.Snapshot {
		return sn.WithUpstream(up).WithAccount(config.Account{
			ID: rf.Account, Budgets: []ident.Budget{rf.Budget}, Weight: config.WeighRefusal,
			Keys: []config.KeyHash{config.HashAPIKey(key)},
		})
	})
	if err != nil {
		tb.Fatal(err)
	}
	if err := st.Fund(rf, 1<<40); err != nil {
		tb.Fatal(err)
	}
	ro, _, err := st.Router("vm-r1", "d1")
	if err != nil {
		tb.Fatal(err)
	}
	if err := stack.Ready(ro.CallerAddr()); err != nil {
		tb.Fatal(err)
	}
	return engine, "http://" + ro.CallerAddr()
}

// BenchmarkPath compares a routed request with a direct one. Both include the
// caller and the engine, so their difference is the cost of router and sidecar.
func BenchmarkPath(bb *testing.B) {
	for _, tokens := range []int{short, long} {
		key := config.NewAPIKey()
		engine, router := deploy(bb, key, tokens)
		for _, way := range []struct{ name, url string }{{"direct", engine}, {"routed", router}} {
			bb.Run(fmt.Sprintf("%s/tokens=%d", way.name, tokens), func(bb *testing.B) {
				ca := call.New(key)
				bb.ReportAllocs()
				bb.SetParallelism(20)
				bb.RunParallel(func(pb *testing.PB) {
					for ix := 0; pb.Next(); ix++ {
						stream(bb, ca, way.url, ix, tokens)
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

// TestBoundAllocs guards against a path whose cost per token grows: router and
// sidecar together add at most three times the allocations that the caller and
// the engine make for a token.
func TestBoundAllocs(t *testing.T) {
	const requests = 200
	per := func(way func(engine, router string) string, tokens int) float64 {
		key := config.NewAPIKey()
		url := way(deploy(t, key, tokens))
		ca := call.New(key)
		number := 0
		return testing.AllocsPerRun(requests, func() {
			number++
			stream(t, ca, url, number, tokens)
		})
	}
	direct := func(engine, _ string) string { return engine }
	routed := func(_, router string) string { return router }
	base := (per(direct, long) - per(direct, short)) / (long - short)
	all := (per(routed, long) - per(routed, short)) / (long - short)
	t.Logf("allocations per token: direct %.1f, routed %.1f", base, all)
	if added := all - base; added > 3*base {
		t.Errorf("router and sidecar add %.1f allocations per token, caller and engine make %.1f", added, base)
	}
}
