package router_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

// TestRemovalInFlight guards against a request that is interrupted or not charged
// because its account and its upstream are removed while it runs, and against
// removals that do not come into force.
func TestRemovalInFlight(t *testing.T) {
	const outputTokens = 40
	addr, key, st := deploy(t, model.New(model.WithResponseTokens(outputTokens, outputTokens), model.WithTokenTime(50*time.Millisecond)))
	// The platform is still read after the stack was closed.
	platform := httptest.NewServer(st.Cloud)
	defer platform.Close()
	ta := dynamo.New(platform.URL)
	adm := admin.New(st.Acceptor, budget.NewLedger(ta, codec.Ledger()), relay.NewClaims(ta, codec.JSON[claim.Record]{}),
		admin.NewNodes(ta, codec.JSON[admin.Node]{}))
	cl := openai.NewClient(option.WithBaseURL("http://"+addr+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	pa := openai.ChatCompletionNewParams{
		Model: "m1", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("wording?")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	sm := cl.Chat.Completions.NewStreaming(t.Context(), pa)
	if !sm.Next() {
		t.Fatal(sm.Err())
	}
	co := admin.ChangeOptions{By: "test"}
	if _, err := adm.RemoveAccount(t.Context(), co, "a1"); err != nil {
		t.Fatal(err)
	}
	ch, err := adm.RemoveUpstream(t.Context(), co, "e1")
	if err != nil {
		t.Fatal(err)
	}
	var usage int64
	for sm.Next() {
		usage = max(usage, sm.Current().Usage.TotalTokens)
	}
	if sm.Err() != nil || usage < outputTokens {
		t.Fatalf("the response ended with %d tokens: %v", usage, sm.Err())
	}
	until(t, "in force", func() bool {
		nodes, err := adm.Nodes(t.Context())
		return err == nil && len(nodes) == 1 && nodes[0].Revision == ch.Revision
	})
	if _, err := cl.Chat.Completions.New(t.Context(), pa); err == nil {
		t.Error("a removed account was served")
	}
	// The router settles the rest of the usage when it stops.
	st.Close()
	ba, err := adm.Balance(t.Context(), ident.BudgetRef{Account: "a1", Budget: "b1"})
	if err != nil || ba.Settled != ident.Tokens(usage) || ba.Held != 0 {
		t.Errorf("balance %+v, want %d settled and none held: %v", ba, usage, err)
	}
}

// until polls until the condition holds, and fails the test after 20 s.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ti := time.NewTicker(20 * time.Millisecond)
	defer ti.Stop()
	timeout := time.After(20 * time.Second)
	for !holds() {
		select {
		case <-ti.C:
		case <-timeout:
			t.Fatalf("timed out: not %s", what)
		}
	}
}
