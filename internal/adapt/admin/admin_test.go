package admin_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

const engineJSON = `{"id":"e1","vm":"vm-e1","kind":"engine","domain":"d1","sidecar":"127.0.0.1:7443","models":["m1"]}`

// TestRaces guards against concurrent changes of which one overwrites the other,
// and against a conflict without the author and the revision of the accepted
// change.
func TestRaces(t *testing.T) {
	fx := newFixture(t)
	for ro := range 10 {
		keys := []string{"operator", "second"}
		got := make([]response, len(keys))
		var wg sync.WaitGroup
		for ix, key := range keys {
			wg.Go(func() {
				got[ix] = fx.call(key, "POST", fmt.Sprintf("/accounts?base=%d", ro), fmt.Sprintf(`{"id":"a-%d-%d"}`, ro, ix))
			})
		}
		wg.Wait()
		won, lost := 0, 1
		if got[0].Status != 201 {
			won, lost = 1, 0
		}
		names := []string{"the-operator", "second"}
		if got[won].Status != 201 || got[lost].Status != 409 || got[lost].Reason != "conflict" ||
			got[lost].Revision != uint64(ro+1) || got[lost].Author != names[won] || got[lost].Outcome != "notRun" {
			t.Fatalf("round %d: %+v", ro, got)
		}
	}
	if rs := fx.must(200, "GET", "/accounts", ""); len(rs.Items) != 10 || rs.Revision != 10 {
		t.Errorf("%d accounts at revision %d, want 10 at 10", len(rs.Items), rs.Revision)
	}
	if rs := fx.must(200, "GET", "/audit?limit=3", ""); len(rs.Items) != 3 || !strings.Contains(string(rs.Items[2]), `"revision":10`) {
		t.Errorf("audit: %s", rs.Items)
	}
}

// TestTopUpRepeated guards against tokens that are added twice after a lost
// response, whether of the table or to the operator.
func TestTopUpRepeated(t *testing.T) {
	fx := newFixture(t)
	fx.must(201, "POST", "/accounts", `{"id":"a1"}`)
	fx.must(201, "POST", "/accounts/a1/budgets", `{"budget":"b1"}`)
	const path = "/accounts/a1/budgets/b1"
	fx.cloud.Faults().Set(fault.Setting{}.WithLoseNext(1))
	first := fx.must(201, "POST", path+"/topups", `{"amount":100}`)
	if first.Op == "" || first.Balance.Prepaid != 100 || fx.cloud.Counts().Lost != 1 {
		t.Fatalf("lost at the table: %+v", first)
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { fx.call("operator", "POST", path+"/topups?op="+first.Op, `{"amount":100}`) })
	}
	wg.Wait()
	if rs := fx.must(200, "GET", path, ""); rs.Prepaid != 100 || rs.Free != 100 {
		t.Errorf("after repeats: %+v", rs)
	}
	if rs := fx.must(409, "POST", path+"/topups?op="+first.Op, `{"amount":101}`); rs.Reason != "opReused" {
		t.Errorf("other amount: %+v", rs)
	}
	fx.cloud.Faults().Set(fault.Setting{}.WithDown(true))
	down := fx.must(503, "POST", path+"/topups", `{"amount":50}`)
	fx.cloud.Faults().Set(fault.Setting{})
	if down.Op == "" || down.Outcome != "unknown" {
		t.Errorf("table down: %+v", down)
	}
	fx.must(201, "POST", path+"/topups?op="+down.Op, `{"amount":50}`)
	if rs := fx.must(200, "GET", path, ""); rs.Prepaid != 150 {
		t.Errorf("after the outage: %+v", rs)
	}
	for _, body := range []string{`{"amount":0}`, `{"amount":-5}`, `{}`} {
		fx.must(422, "POST", path+"/topups", body)
	}
	fx.must(404, "POST", "/accounts/a1/budgets/none/topups", `{"amount":5}`)
}

// TestChangeRepeated guards against a change that is reported as failed or made
// twice when the operator sends it again after a lost response.
func TestChangeRepeated(t *testing.T) {
	fx := newFixture(t)
	fx.cloud.Faults().Set(fault.Setting{}.WithLoseNext(1))
	first := fx.must(201, "POST", "/accounts?op=o1&base=0", `{"id":"a1"}`)
	again := fx.must(201, "POST", "/accounts?op=o1&base=0", `{"id":"a1"}`)
	if first.Repeated || !again.Repeated || again.Revision != 1 {
		t.Errorf("account: %+v, then %+v", first, again)
	}
	if diff := cmp.Diff(first.Changes, again.Changes); diff != "" || len(first.Changes) != 1 {
		t.Errorf("changes of the repeat (-first +again):\n%s", diff)
	}
	if rs := fx.call("second", "POST", "/accounts?op=o1", `{"id":"a9"}`); rs.Status != 409 || rs.Reason != "opReused" {
		t.Errorf("op of another operator: %+v", rs)
	}
	for _, want := range []bool{false, true} {
		if rs := fx.must(201, "POST", "/accounts/a1/budgets?op=o2&base=1", `{"budget":"b1"}`); rs.Repeated != want || rs.Revision != 2 {
			t.Errorf("budget: %+v, want repeated %t", rs, want)
		}
	}
	key := fx.must(201, "POST", "/accounts/a1/keys?op=o3", "")
	if rs := fx.must(201, "POST", "/accounts/a1/keys?op=o3", ""); !rs.Repeated || rs.Key != "" || key.Key == "" {
		t.Errorf("key: %+v, then %+v", key, rs)
	}
	fx.must(409, "POST", "/accounts?op=o4", `{"id":"a1"}`)
}

// TestAccess guards against requests that are served or write rows although the
// key, the role or the request is not valid.
func TestAccess(t *testing.T) {
	fx := newFixture(t)
	fx.must(201, "POST", "/accounts", `{"id":"a1"}`)
	tests := []struct {
		key, method, path, body string
		want                    int
	}{
		{"", "GET", "/config", "", 401},
		{"wrong", "GET", "/config", "", 401},
		{"", "POST", "/accounts", `{"id":"x"}`, 401},
		{"viewer", "GET", "/config", "", 200},
		{"viewer", "GET", "/nodes", "", 200},
		{"viewer", "GET", "/held", "", 200},
		{"viewer", "GET", "/outcomes/a1/k%2F1", "", 404},
		{"viewer", "POST", "/accounts", `{"id":"x"}`, 403},
		{"viewer", "POST", "/accounts?dryRun=true", `{"id":"x"}`, 403},
		{"viewer", "PATCH", "/accounts/a1", `{"burst":1}`, 403},
		{"viewer", "DELETE", "/accounts/a1", "", 403},
		{"viewer", "POST", "/accounts/a1/keys", "", 403},
		{"viewer", "POST", "/accounts/a1/budgets", `{"budget":"b"}`, 403},
		{"viewer", "POST", "/accounts/a1/budgets/b/topups", `{"amount":1}`, 403},
		{"viewer", "PUT", "/config", `{}`, 403},
		{"operator", "POST", "/held/i1/close", `{"vm":"v"}`, 403},
		{"operator", "POST", "/held/i1/resolve", `{"account":"a1","budget":"b","used":0}`, 403},
		{"viewer", "DELETE", "/nodes/vm-1", "", 403},
		{"viewer", "POST", "/upstreams/e1/orders?dryRun=true", `{"kind":"loadModel","subject":"m"}`, 403},
		{"viewer", "DELETE", "/slots/0/e1", "", 403},
		{"operator", "POST", "/upstreams/e1/orders?base=1", `{"kind":"loadModel","subject":"m"}`, 400},
		{"operator", "DELETE", "/slots/first/e1", "", 400},
		{"operator", "DELETE", "/nodes/vm-1", "", 404},
		{"admin", "POST", "/held/i1/close", `{"vm":"v"}`, 404},
		{"admin", "POST", "/accounts?dryRun=true", `{"id":"x"}`, 200},
		{"operator", "POST", "/accounts", `{"id":"x","burts":1}`, 400},
		{"operator", "POST", "/accounts?base=x", `{"id":"x"}`, 400},
		{"operator", "POST", "/accounts?op=a%2Fb", `{"id":"x"}`, 400},
		{"operator", "POST", "/accounts", strings.Repeat(" ", 65<<10), 413},
		{"operator", "GET", "/nothing", "", 404},
	}
	before := fx.cloud.Counts().Writes
	for _, tt := range tests {
		if rs := fx.call(tt.key, tt.method, tt.path, tt.body); rs.Status != tt.want {
			t.Errorf("%s %s %s: got %+v, want %d", tt.key, tt.method, tt.path, rs, tt.want)
		}
	}
	if after := fx.cloud.Counts().Writes; after != before {
		t.Errorf("%d rows were written", after-before)
	}
}

// TestDryRun guards against a dry run that writes rows, that reports other changes
// than the real run, or that reports findings one by one.
func TestDryRun(t *testing.T) {
	fx := newFixture(t)
	fx.must(201, "POST", "/accounts", `{"id":"a1"}`)
	tests := []struct{ method, path, body string }{
		{"POST", "/accounts", `{"id":"a2","weight":"overspend"}`},
		{"PATCH", "/accounts/a1", `{"requestsPerSecond":5,"burst":10}`},
		{"POST", "/accounts/a1/budgets", `{"budget":"b1"}`},
		{"POST", "/upstreams", engineJSON},
		{"PUT", "/services/s1", `{"routes":[{"method":"POST","path":"/vouchers","idempotent":false}]}`},
		{"DELETE", "/services/s1", ""},
		{"PATCH", "/upstreams/e1", `{"checksFencing":true}`},
		{"DELETE", "/upstreams/e1", ""},
		{"DELETE", "/accounts/a2", ""},
	}
	for _, tt := range tests {
		before := fx.cloud.Counts().Writes
		dry := fx.must(200, tt.method, tt.path+"?dryRun=true", tt.body)
		if after := fx.cloud.Counts().Writes; after != before {
			t.Errorf("%s %s: the dry run wrote %d rows", tt.method, tt.path, after-before)
		}
		done := fx.call("operator", tt.method, tt.path, tt.body)
		if diff := cmp.Diff(dry.Changes, done.Changes); diff != "" || len(dry.Changes) == 0 || done.Revision != dry.Revision+1 {
			t.Errorf("%s %s: %+v\n(-dry +done):\n%s", tt.method, tt.path, done, diff)
		}
	}
	rs := fx.must(422, "POST", "/upstreams?dryRun=true", `{"id":"e/2","kind":"engine"}`)
	if len(rs.Findings) < 5 || rs.Reason != "invalid" {
		t.Errorf("findings: %+v", rs)
	}
	fx.must(409, "POST", "/accounts?dryRun=true&base=1", `{"id":"a9"}`)
}

// TestRemoval guards against removals that need more commits to the table than the
// additions, and against the removal of a budget that still has tokens.
func TestRemoval(t *testing.T) {
	fx := newFixture(t)
	fx.must(201, "POST", "/accounts", `{"id":"base"}`)
	commits := func(method, path, body string) int64 {
		before := fx.cloud.Counts().Commits
		if rs := fx.call("operator", method, path, body); rs.Status > 201 {
			t.Fatalf("%s %s: %+v", method, path, rs)
		}
		return fx.cloud.Counts().Commits - before
	}
	key := ""
	tests := []struct {
		name, add, body string
		remove          func() string
	}{
		{"upstream", "/upstreams", engineJSON, func() string { return "/upstreams/e1" }},
		{"account", "/accounts", `{"id":"a1"}`, func() string { return "/accounts/a1" }},
		{"budget", "/accounts/base/budgets", `{"budget":"b1"}`, func() string { return "/accounts/base/budgets/b1" }},
		{"key", "/accounts/base/keys", "", func() string { return "/accounts/base/keys/" + key[:12] }},
	}
	for _, tt := range tests {
		added := commits("POST", tt.add, tt.body)
		if tt.name == "key" {
			key = fx.must(201, "POST", tt.add, "").KeyHash
		}
		if removed := commits("DELETE", tt.remove(), ""); removed > added {
			t.Errorf("%s: %d commits to remove, %d to add", tt.name, removed, added)
		}
		fx.must(404, "DELETE", tt.remove(), "")
	}
	fx.must(201, "POST", "/accounts/base/budgets", `{"budget":"b2"}`)
	fx.must(201, "POST", "/accounts/base/budgets/b2/topups", `{"amount":10}`)
	if rs := fx.must(409, "DELETE", "/accounts/base/budgets/b2", ""); rs.Reason != "notEmpty" {
		t.Errorf("budget with tokens: %+v", rs)
	}
	fx.must(200, "DELETE", "/accounts/base", "")
	if rs := fx.must(200, "GET", "/accounts/base/budgets/b2", ""); rs.Prepaid != 10 {
		t.Errorf("the balance of a removed account is lost: %+v", rs)
	}
}

// TestKeys guards against API keys that are stored in plain text, and against a
// rotation after which the old key is still valid.
func TestKeys(t *testing.T) {
	fx := newFixture(t)
	fx.must(201, "POST", "/accounts", `{"id":"a1"}`)
	old := fx.must(201, "POST", "/accounts/a1/keys", "")
	fresh := fx.must(201, "POST", "/accounts/a1/keys/"+old.KeyHash[:8]+"/rotate", "")
	if string(config.HashAPIKey(fresh.Key)) != fresh.KeyHash || fresh.Key == old.Key {
		t.Errorf("rotated: %+v", fresh)
	}
	text := string(fx.must(200, "GET", "/accounts", "").Items[0])
	if strings.Contains(text, old.KeyHash) || !strings.Contains(text, fresh.KeyHash) {
		t.Errorf("keys after the rotation: %s", text)
	}
	hashes := 0
	for _, ro := range fx.cloud.Rows() {
		if strings.Contains(string(ro.Value), fresh.Key) {
			t.Errorf("row %s holds the key", ro.Sort)
		}
		hashes += strings.Count(string(ro.Value), fresh.KeyHash)
	}
	if hashes == 0 {
		t.Error("no row holds the hash of the key")
	}
	fx.must(404, "DELETE", "/accounts/a1/keys/"+fresh.KeyHash[:7], "")
	fx.must(200, "DELETE", "/accounts/a1/keys/"+fresh.KeyHash[:8], "")
}

// TestHeld guards against escrow of a router that is freed while the router may
// still run, and against a resolution with more tokens than the router drew.
func TestHeld(t *testing.T) {
	fx := newFixture(t)
	fx.must(201, "POST", "/accounts", `{"id":"a1"}`)
	fx.must(201, "POST", "/accounts/a1/budgets", `{"budget":"b1"}`)
	fx.must(201, "POST", "/accounts/a1/budgets/b1/topups", `{"amount":1000}`)
	ctx := t.Context()
	hd := budget.NewHolder("inc1", "vm-r1", "d1", fx.ledger)
	if err := hd.Open(ctx); err != nil {
		t.Fatal(err)
	}
	rf := ident.BudgetRef{Account: "a1", Budget: "b1"}
	if _, err := hd.Reserve(ctx, rf, 100, config.AvoidOverspend); err != nil {
		t.Fatal(err)
	}
	rs := fx.must(200, "GET", "/held", "")
	if len(rs.Items) != 1 || !strings.Contains(string(rs.Items[0]), `"vm":"vm-r1"`) {
		t.Fatalf("held: %s", rs.Items)
	}
	const at, body = "/held/inc1", `{"account":"a1","budget":"b1","used":60}`
	steps := []struct {
		path, body string
		want       int
		reason     string
	}{
		{"/resolve", body, 409, "stillOpen"},
		{"/close", `{"vm":"vm-other"}`, 409, "wrongVM"},
		{"/close", `{"vm":"vm-r1"}`, 200, ""},
		{"/resolve", `{"account":"a1","budget":"b1","used":5000}`, 422, "amount"},
		{"/resolve", `{"account":"a1","budget":"b1"}`, 400, "badRequest"},
		{"/resolve", body, 200, ""},
		{"/resolve", body, 200, ""},
	}
	for _, st := range steps {
		if rs := fx.call("admin", "POST", at+st.path, st.body); rs.Status != st.want || rs.Reason != st.reason {
			t.Errorf("%s %s: %+v, want %d %s", st.path, st.body, rs, st.want, st.reason)
		}
	}
	if rs := fx.must(200, "GET", "/accounts/a1/budgets/b1", ""); rs.Held != 0 || rs.Free != 940 {
		t.Errorf("after the resolution: %+v", rs)
	}
}

// TestReplace guards against a whole configuration that overwrites a revision which
// its author has not seen.
func TestReplace(t *testing.T) {
	fx := newFixture(t)
	doc := `{"revision":0,"author":"x","accounts":[],"upstreams":[` + engineJSON + `],"services":[]}`
	if rs := fx.must(200, "PUT", "/config", doc); rs.Revision != 1 || len(rs.Changes) != 1 {
		t.Errorf("first: %+v", rs)
	}
	if rs := fx.must(409, "PUT", "/config", doc); rs.Revision != 1 || rs.Author != "the-operator" {
		t.Errorf("stale: %+v", rs)
	}
	fx.must(400, "PUT", "/config", `{"revision":1,"acounts":[]}`)
}

// TestDomains guards against a failure domain that cannot be closed or opened, that is
// opened by a configuration which does not name it, and that does not exist.
func TestDomains(t *testing.T) {
	fx := newFixture(t)
	fx.must(201, "POST", "/upstreams", engineJSON)
	list := func(want string) {
		t.Helper()
		rs := fx.must(200, "GET", "/domains", "")
		if diff := cmp.Diff(want, fmt.Sprintf("%s", rs.Items)); diff != "" {
			t.Errorf("domains (-want +got):\n%s", diff)
		}
	}
	list(`[{"id":"d1","closed":false,"upstreams":1}]`)
	fx.must(200, "PATCH", "/domains/d1", `{"closed":true}`)
	fx.must(200, "PUT", "/config", `{"revision":2,"accounts":[],"upstreams":[`+engineJSON+`],"services":[]}`)
	list(`[{"id":"d1","closed":true,"upstreams":1}]`)
	fx.must(404, "PATCH", "/domains/d9", `{"closed":true}`)
	fx.must(400, "PATCH", "/domains/d1", `{}`)
	fx.must(200, "PATCH", "/domains/d1", `{"closed":false}`)
	list(`[{"id":"d1","closed":false,"upstreams":1}]`)
}
