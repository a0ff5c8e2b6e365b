package config_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

var (
	keyA = config.KeyHash(strings.Repeat("a", 64))
	keyB = config.KeyHash(strings.Repeat("b", 64))
)

func valid() config.Snapshot {
	return config.Snapshot{}.
		WithService(config.Service{ID: "reg", Routes: []config.Route{{Method: "POST", Path: "/v"}, {Method: "GET", Path: "/v"}}}).
		WithUpstream(config.Upstream{ID: "e1", VM: "v1", Kind: config.Engine, Domain: "d", Sidecar: "10.0.0.1:1", Models: []ident.Model{"m"}}).
		WithUpstream(config.Upstream{ID: "s1", VM: "v2", Kind: config.Plain, Domain: "d", Sidecar: "[fd00::1]:1", Service: "reg"}).
		WithAccount(config.Account{
			ID: "club", Keys: []config.KeyHash{keyA}, Budgets: []ident.Budget{"main"}, Preference: config.AvoidRefusal,
			RequestsPerSecond: 5, Burst: 10, Models: []ident.Model{"m"}, Services: []ident.Service{"reg"},
		})
}

// TestCheck guards against a configuration that is accepted although it cannot
// be served, and against a check that reports only the first of several findings.
func TestCheck(t *testing.T) {
	up, _ := valid().Upstream("e1")
	up.ID = "e2"
	ac, _ := valid().Account("club")
	for _, tc := range []struct {
		name string
		sn   config.Snapshot
		want []string
	}{
		{"valid", valid(), nil},
		{"empty", config.Snapshot{}, nil},
		{"key of another account", valid().WithAccount(config.Account{ID: "zoo", Keys: []config.KeyHash{keyB, keyA}, Preference: config.AvoidOverspend}),
			[]string{`accounts.zoo.keys[1]: the key already belongs to account "club"`}},
		{"slash in a name", valid().WithAccount(ac.WithoutKey(keyA).WithBudget("a/b")),
			[]string{`accounts.club.budgets[1]: want a name of 1 to 64 letters, digits, dots, hyphens or underscores, got "a/b"`}},
		{"no service, no engine", valid().WithoutService("reg").WithoutUpstream("e1"), []string{
			`accounts.club.models[0]: no upstream serves the model "m"`,
			`accounts.club.services[0]: unknown service "reg"`,
			`upstreams.s1.service: unknown service "reg"`,
		}},
		{"same sidecar", valid().WithUpstream(up), []string{`upstreams.e2.sidecar: the address already belongs to upstream "e1"`}},
		{"upstream without fields", valid().WithUpstream(config.Upstream{ID: "x", Kind: "engin"}), []string{
			"upstreams.x.domain: the failure domain is missing",
			`upstreams.x.kind: want engine or plain, got "engin"`,
			"upstreams.x.sidecar: the address of the sidecar is missing",
			"upstreams.x.vm: the VM is missing",
		}},
		{"routes", valid().WithService(config.Service{ID: "reg", Routes: []config.Route{
			{Method: "GET", Path: "/a", Idempotent: true}, {Method: "GET", Path: "/a"}, {Method: "get", Path: "a", Cost: -1},
		}}), []string{
			"services.reg.routes[1]: GET /a is already route 0",
			"services.reg.routes[2].cost: want 0 or above, got -1",
			`services.reg.routes[2].method: want an HTTP method in capitals, got "get"`,
			`services.reg.routes[2].path: want a path that starts with /, got "a"`,
		}},
		{"limits", valid().WithAccount(config.Account{ID: "club", Preference: "both", RequestsPerSecond: 1, MaxRunning: -1}), []string{
			"accounts.club.burst: want at least 1 when requestsPerSecond is set, got 0",
			"accounts.club.maxRunning: want 0 or above, got -1",
			`accounts.club.weight: want refusal or overspend, got "both"`,
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, fi := range config.Check(tc.sn) {
				got = append(got, fi.String())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSidecarAddress guards against host names, missing ports and invalid IP
// addresses that are accepted as ip:port.
func TestSidecarAddress(t *testing.T) {
	up, _ := valid().Upstream("e1")
	for addr, ok := range map[string]bool{
		"10.1.2.3:80": true, "[::1]:80": true, "host:80": false, "10.1.2.3": false,
		"10.1.2.256:80": false, "10.1.2:80": false, "10.1.2.3:0": false, "10.1.2.3:70000": false, "::1:80": false,
	} {
		up.Sidecar = addr
		if got := len(config.Check(valid().WithUpstream(up))) == 0; got != ok {
			t.Errorf("%s: valid = %v, want %v", addr, got, ok)
		}
	}
}

// TestDiff guards against an audit that omits a change or lists the changes in a
// random order.
func TestDiff(t *testing.T) {
	ac, _ := valid().Account("club")
	next := valid().WithAccount(ac.WithKey(keyB).WithBudget("trip")).
		WithAccount(config.Account{ID: "arc"}).
		WithoutUpstream("e1").
		WithService(config.Service{ID: "reg", Routes: []config.Route{{Method: "POST", Path: "/v", Cost: 3}}}).
		WithClosedDomain("d1").WithClosedDomain("d2").WithoutClosedDomain("d2")
	var got []string
	for _, ch := range config.Diff(valid(), next) {
		got = append(got, ch.String())
	}
	want := []string{
		"account arc added",
		"account club keys: " + string(keyA) + " -> " + string(keyA) + ", " + string(keyB),
		"account club budgets: main -> main, trip",
		"upstream e1 removed",
		"service reg routes: POST /v idempotent=false cost=0, GET /v idempotent=false cost=0 -> POST /v idempotent=false cost=3",
		"closedDomain d1 added",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	if got := config.Diff(next, next); len(got) != 0 {
		t.Errorf("equal configurations differ: %v", got)
	}
}
