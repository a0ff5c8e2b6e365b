package intent_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
)

func exampleConfig() intent.Config {
	return intent.New(7, intent.Limits{MaxHeaderBytes: 1}).
		WithRoutes(
			intent.Route{Name: "root", Host: "a.example", Prefix: "/"},
			intent.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			intent.Route{Name: "short", Host: "a.example", Prefix: "/x/"},
			intent.Route{Name: "other", Host: "B.example", Prefix: "/"},
		).
		WithAccounts(
			intent.Account{Name: "desk", Keys: []string{"k1", "k2"}, Prepaid: 10, Metered: true},
			intent.Account{Name: "firm", Keys: []string{"k3"}},
		)
}

// TestRoute guards against requests that do not go to the host's route with the
// longest matching prefix, and against paths that are decoded before the
// comparison.
func TestRoute(t *testing.T) {
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x%2Fy/", "root"},
		{"A.example", "/other", "root"},
		{"b.example", "/x/", "other"},
		{"c.example", "/x/", ""},
	} {
		ro, ok := exampleConfig().Route(tc.host, tc.path)
		if ro.Name != tc.want || ok != (tc.want != "") {
			t.Errorf("%s%s goes to %q (%v), want %q", tc.host, tc.path, ro.Name, ok, tc.want)
		}
	}
}

// TestAccountByKey guards against keys that are accepted after their removal.
func TestAccountByKey(t *testing.T) {
	co := exampleConfig()
	next := co.WithAccounts(intent.Account{Name: "desk", Keys: []string{"k2"}})
	var got []string
	for _, key := range []string{"k1", "k2", "k3", ""} {
		ac, _ := next.AccountByKey(key)
		got = append(got, string(ac.Name))
	}
	if diff := cmp.Diff([]string{"", "desk", "", ""}, got); diff != "" {
		t.Errorf("accounts (-want +got):\n%s", diff)
	}
	if ac, ok := co.AccountByKey("k1"); !ok || ac.Name != "desk" {
		t.Error("the first configuration was changed")
	}
}

// TestServiceFor guards against a split that does not follow its weights.
func TestServiceFor(t *testing.T) {
	ro := intent.Route{Targets: []intent.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	got := map[ident.Service]int{}
	for num := range uint64(1000) {
		got[ro.ServiceFor(num)]++
	}
	if diff := cmp.Diff(map[ident.Service]int{"a": 900, "b": 100}, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
	if se := (intent.Route{}).ServiceFor(3); se != "" {
		t.Errorf("a route without targets chose %q", se)
	}
}

// TestRepeatable guards against repeating requests that must run at most once.
func TestRepeatable(t *testing.T) {
	for _, tc := range []struct {
		kind      intent.Kind
		resumable bool
		want      bool
	}{
		{intent.Idempotent, false, true},
		{intent.NonIdempotent, false, false},
		{intent.NonIdempotent, true, false},
		{intent.Stream, false, false},
		{intent.Stream, true, true},
	} {
		ro := intent.Route{Kind: tc.kind, Resumable: tc.resumable, Timeout: time.Second}
		if got := ro.Repeatable(); got != tc.want {
			t.Errorf("%s resumable=%v: %v, want %v", tc.kind, tc.resumable, got, tc.want)
		}
	}
}
