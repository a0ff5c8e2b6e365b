package cmdln_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	app "github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/store"
	"github.com/balsamwood/balsamwood/internal/role/cmdln"
)

// testAPI is the administration API on a fake platform.
type testAPI struct {
	t     *testing.T
	cloud *cloud.Cloud
	url   string
	// dropResponses is the number of further responses that do not reach the
	// client.
	dropResponses atomic.Int32
}

func newTestAPI(t *testing.T) *testAPI {
	t.Helper()
	ap := &testAPI{t: t, cloud: cloud.New()}
	platform := httptest.NewServer(ap.cloud)
	t.Cleanup(platform.Close)
	ta := dynamo.New(platform.URL)
	ac := update.NewAcceptor(ta, update.Codecs{
		Head: codec.JSON[update.Head]{}, Audit: codec.JSON[update.Audit]{}, Config: codec.Config{},
	})
	sv := app.New(ac, budget.NewLedger(ta, codec.Ledger()), relay.NewClaims(ta, codec.JSON[claim.Record]{}),
		app.NewNodes(ta, codec.JSON[app.Node]{}), app.WithOrders(newIssuer(ta)))
	ha := admin.New(sv, []conf.AdminKey{
		{Operator: "desk", Role: "operator", KeyHash: string(config.HashAPIKey("desk"))},
	}).Handler()
	api := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if ap.dropResponses.Add(-1) >= 0 {
			ha.ServeHTTP(httptest.NewRecorder(), rq)
			panic(http.ErrAbortHandler)
		}
		ha.ServeHTTP(wr, rq)
	}))
	t.Cleanup(api.Close)
	ap.url = api.URL
	return ap
}

// fakeEngineLink refuses orders with the subject "refused" and executes all others.
type fakeEngineLink struct{}

func (fakeEngineLink) Order(_ context.Context, or engine.Order) error {
	if or.Subject == "refused" {
		return refuse.New(refuse.Rejected, "no")
	}
	return nil
}

func newIssuer(ta store.Table) *orders.Issuer {
	return orders.New(ta, orders.NewRows(ta, codec.JSON[orders.Row]{}), orders.NewSlots(ta, codec.JSON[orders.Slot]{}, 1),
		func(ident.Upstream) (orders.Link, bool) { return fakeEngineLink{}, true })
}

// run runs a command and returns its exit code and output.
func (ap *testAPI) run(key string, args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	all := append([]string{"admin", "--url", ap.url, "--key", key}, args...)
	code := cmdln.Main(ap.t.Context(), all, strings.NewReader(""), &out, &errOut)
	return code, out.String(), errOut.String()
}

// TestExitCodes guards against exit codes by which a script cannot tell a conflict,
// an outage and a refusal apart, and against messages that do not say what to do
// next.
func TestExitCodes(t *testing.T) {
	ap := newTestAPI(t)
	tests := []struct {
		key, line string
		code      int
		want      string
	}{
		{"desk", "account add a1 --rate 5 --burst 10", 0, "accepted as revision 1"},
		{"desk", "account add a2 --base 0", 5, "revision 1 by desk"},
		{"desk", "account add a1", 7, "exists (notRun)"},
		{"desk", "account remove none", 7, "notFound (notRun)"},
		{"wrong", "account list", 7, "unauthorized"},
		{"desk", "held close i1 --vm v", 7, "forbidden"},
		{"desk", "account set a1 --rate 5 --burst 0 --model none", 4, "accounts.a1.models[0]"},
		{"desk", "account set a1 --rate 5 --burst 0 --model none", 4, "accounts.a1.burst"},
		{"desk", "account set a1 --weight heavy", 2, "--weight"},
		{"desk", "upstream add e1 --vm v --domain d --sidecar 127.0.0.1:1 --model m --service s", 2, "--model and --service can't be used together"},
		{"desk", "account set a1 --weight overspend --dry-run", 0, "weight: refusal -> overspend"},
		{"desk", "budget add a1 b1", 0, "accepted as revision 2"},
		{"desk", "budget topup a1 b1 500 --op x", 0, "prepaid 500 = "},
		{"desk", "budget topup a1 b1 500 --op x", 0, "prepaid 500 = "},
		{"desk", "budget topup a1 b1 400 --op x", 7, "opReused"},
		{"desk", "budget remove a1 b1", 7, "notEmpty"},
		{"desk", "account list", 0, "refusal"},
		{"desk", "budget list a1", 0, "500"},
		{"desk", "config history", 0, "revision 2 by desk"},
		{"desk", "node", 0, "accepted revision 2"},
		{"desk", "node list", 0, "accepted revision 2"},
		{"desk", "node remove vm-1", 7, "notFound"},
		{"desk", "held list", 0, "INCARNATION"},
		{"desk", "outcome a1 k/1", 7, "notFound"},
		{"desk", "upstream add e1 --vm v --domain d --sidecar 127.0.0.1:1 --model m", 0, "accepted as revision 3"},
		{"desk", "upstream order e1 --kind loadModel --subject m2 --dry-run", 0, "fencing number 1"},
		{"desk", "upstream order e1 --kind loadModel --subject m2 --op o1", 0, "order 1: done"},
		{"desk", "upstream order e1 --kind loadModel --subject m2 --op o1", 0, "order 1 was issued before: done"},
		{"desk", "upstream order e1 --kind loadModel --subject m3 --op o1", 7, "opReused (notRun)"},
		{"desk", "upstream order e1 --kind changeRole --subject x --supersede 9", 5, "order 1 (loadModel m2, done) of desk"},
		{"desk", "upstream order e1 --kind changeRole --subject refused", 7, "order 2 is refused"},
		{"desk", "upstream order e1 --kind other --subject x", 2, "--kind"},
		{"desk", "upstream order e2 --kind loadModel --subject m", 7, "notFound"},
		{"desk", "upstream orders e1", 0, "m2"},
		{"desk", "slot list", 0, "SLOT"},
		{"desk", "slot free 0 e1", 7, "notHeld"},
	}
	for _, tt := range tests {
		code, out, errOut := ap.run(tt.key, strings.Fields(tt.line)...)
		if code != tt.code || !strings.Contains(out+errOut, tt.want) || (code == 0) != (errOut == "") {
			t.Errorf("%s: exit code %d, want %d with %q\n%s%s", tt.line, code, tt.code, tt.want, out, errOut)
		}
	}
	ap.cloud.Faults().Set(fault.Setting{}.WithDown(true))
	if code, _, errOut := ap.run("desk", "budget", "topup", "a1", "b1", "1", "--op", "y"); code != 6 || !strings.Contains(errOut, "--op y") {
		t.Errorf("table down: exit code %d, %s", code, errOut)
	}
	ap.url = "http://127.0.0.1:1"
	if code, _, errOut := ap.run("desk", "account", "add", "a3"); code != 6 || !strings.Contains(errOut, "nothing was changed") {
		t.Errorf("no router: exit code %d, %s", code, errOut)
	}
}

// TestLostResponse guards against a top-up that counts twice when its response was
// lost and the operator repeats it as the message says.
func TestLostResponse(t *testing.T) {
	ap := newTestAPI(t)
	ap.run("desk", "account", "add", "a1")
	ap.run("desk", "budget", "add", "a1", "b1")
	ap.dropResponses.Store(1)
	args := []string{"budget", "topup", "a1", "b1", "500"}
	code, _, errOut := ap.run("desk", args...)
	op := regexp.MustCompile(`--op ([0-9a-f]{32})`).FindStringSubmatch(errOut)
	if code != 6 || op == nil {
		t.Fatalf("lost: exit code %d, %s", code, errOut)
	}
	if code, out, errOut := ap.run("desk", append(args, "--op", op[1])...); code != 0 || !strings.Contains(out, "prepaid 500 = ") {
		t.Errorf("repeated: exit code %d, %s%s", code, out, errOut)
	}
}

// TestServicesAndFiles guards against routes and configuration files that are
// stored with other values than given.
func TestServicesAndFiles(t *testing.T) {
	ap := newTestAPI(t)
	code, _, errOut := ap.run("desk", "service", "set", "meals", "--once", "POST /vouchers 5", "--idempotent", "GET /vouchers/")
	if code != 0 {
		t.Fatal(errOut)
	}
	var list struct{ Items []config.Service }
	_, out, _ := ap.run("desk", "--output", "json", "service", "list")
	if err := json.Unmarshal([]byte(out), &list); err != nil || len(list.Items) != 1 || len(list.Items[0].Routes) != 2 ||
		list.Items[0].Routes[0] != (config.Route{Method: "POST", Path: "/vouchers", Cost: 5}) {
		t.Errorf("services: %s %v", out, err)
	}
	_, doc, _ := ap.run("desk", "config", "show")
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(strings.ReplaceAll(doc, `"cost": 5`, `"cost": 7`)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		flag, want string
		code       int
	}{
		{"--dry-run", "cost=7", 0}, {"--op=o1", "accepted as revision 2", 0}, {"--op=o2", "revision 2 by desk", 5},
	} {
		code, out, errOut := ap.run("desk", "config", "apply", file, tt.flag)
		if code != tt.code || !strings.Contains(out+errOut, tt.want) {
			t.Errorf("apply %s: exit code %d, %s%s", tt.flag, code, out, errOut)
		}
	}
}

// TestDomainCommands guards against commands that close another failure domain than the
// one given, or that report success for one that does not exist.
func TestDomainCommands(t *testing.T) {
	ap := newTestAPI(t)
	if code, _, errOut := ap.run("desk", "upstream", "add", "e1", "--vm", "v1", "--domain", "zone 1", "--sidecar", "127.0.0.1:7443", "--model", "m"); code != 0 {
		t.Fatal(errOut)
	}
	for _, tt := range []struct {
		args []string
		want string
		code int
	}{
		{[]string{"domain", "close", "zone 1"}, "closedDomain zone 1 added", 0},
		{[]string{"domain", "list"}, "closed", 0},
		{[]string{"domain", "close", "zone 2"}, "no upstream is in failure domain zone 2", 7},
		{[]string{"domain", "close", "a/b%2"}, "no upstream is in failure domain a/b%2", 7},
		{[]string{"domain", "open", "zone 1"}, "closedDomain zone 1 removed", 0},
		{[]string{"domain", "list"}, "open", 0},
	} {
		code, out, errOut := ap.run("desk", tt.args...)
		if code != tt.code || !strings.Contains(out+errOut, tt.want) {
			t.Errorf("%v: exit code %d, %s%s", tt.args, code, out, errOut)
		}
	}
}
