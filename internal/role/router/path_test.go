package router_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/balsamwood/balsamwood/internal/bench/stack"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

const prepaid = 100_000

// deploy starts one engine with its sidecar and one router, and returns the
// router's address, the API key and the stack.
func deploy(t *testing.T, en http.Handler) (string, string, *stack.Stack) {
	t.Helper()
	st := stack.New()
	t.Cleanup(st.Close)
	up, _, err := st.StartSidecar(config.Upstream{
		ID: "e1", VM: "vm-e1", Kind: config.Engine, Domain: "d1", Models: []ident.Model{"m1"},
	}, st.Serve(en))
	if err != nil {
		t.Fatal(err)
	}
	key := config.NewAPIKey()
	err = st.ChangeConfig(func(sn config.Snapshot) config.Snapshot {
		return sn.WithUpstream(up).WithAccount(config.Account{
			ID: "a1", Keys: []config.KeyHash{config.HashAPIKey(key)},
			Budgets: []ident.Budget{"b1"}, Preference: config.AvoidRefusal,
		})
	})
	if err != nil {
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
	return ro.CallerAddr(), key, st
}

// TestOpenAIClient guards against responses that an unmodified client of the chat
// completions API cannot read.
func TestOpenAIClient(t *testing.T) {
	addr, key, _ := deploy(t, model.New(model.WithResponseTokens(20, 20)))
	cl := openai.NewClient(option.WithBaseURL("http://"+addr+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(5))
	params := openai.ChatCompletionNewParams{
		Model:     "m1",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("how many children may enter?")},
		MaxTokens: openai.Int(64),
	}
	complete, err := cl.Chat.Completions.New(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	if got := complete.Usage.CompletionTokens; got != 20 {
		t.Errorf("completion tokens = %d, want 20", got)
	}
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	st := cl.Chat.Completions.NewStreaming(t.Context(), params)
	var text strings.Builder
	var ac openai.ChatCompletionAccumulator
	for st.Next() {
		ac.AddChunk(st.Current())
		if ch := st.Current().Choices; len(ch) > 0 {
			text.WriteString(ch[0].Delta.Content)
		}
	}
	if err := st.Err(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(complete.Choices[0].Message.Content, text.String()); diff != "" {
		t.Errorf("streamed response differs from the complete one (-complete +streamed):\n%s", diff)
	}
	if got := ac.Usage.CompletionTokens; got != 20 {
		t.Errorf("streamed usage = %d completion tokens, want 20", got)
	}
	models, err := cl.Models.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(models.Data) != 1 || models.Data[0].ID != "m1" {
		t.Errorf("models = %v, want m1", models.Data)
	}
}
