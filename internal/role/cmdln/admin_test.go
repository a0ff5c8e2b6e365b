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
	use "github.com/balsamwood/balsamwood/internal/app/admin"
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

// site is the administration API on a platform's stand-in.
type site struct {
	t     *testing.T
	cloud *cloud.Cloud
	url   string
	// lose is how many answers are still to be lost on the way to the client.
	lose atomic.Int32
}

func newSite(t *testing.T) *site {
	t.Helper()
	si := &site{t: t, cloud: cloud.New()}
	platform := httptest.NewServer(si.cloud)
	t.Cleanup(platform.Close)
	ta := dynamo.New(platform.URL)
	ac := update.NewAcceptor(ta, update.Codecs{
		Head: codec.JSON[update.Head]{}, Audit: codec.JSON[update.Audit]{}, Config: codec.Config{},
	})
	sv := use.New(ac, budget.NewLedger(ta, codec.Ledger()), relay.NewClaims(ta, codec.JSON[claim.Record]{}),
		use.NewNodes(ta, codec.JSON[use.Node]{}), use.WithOrders(issuer(ta)))
	ha := admin.New(sv, []conf.AdminKey{
		{Operator: "desk", Role: "operator", KeyHash: string(config.HashAPIKey("desk"))},
	}).Handler()
	api := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if si.lose.Add(-1) >= 0 {
			ha.ServeHTTP(httptest.NewRecorder(), rq)
			panic(http.ErrAbortHandler)
		}
		ha.ServeHTTP(wr, rq)
	}))
	t.Cleanup(api.Close)
	si.url = api.URL
	return si
}

// engineLink refuses one subject.
type engineLink struct{}

func (engineLink) Order(_ context.Context, or engine.Order) error {
	if or.Subject == "refused" {
		return refuse.New(refuse.Rejected, "no")
	}
	return nil
}

func issuer(ta store.Table) *orders.Issuer {
	return orders.New(ta, orders.NewRows(ta, codec.JSON[orders.Row]{}), orders.NewSlots(ta, codec.JSON[orders.Slot]{}, 1),
		func(ident.Upstream) (orders.Link, bool) { return engineLink{}, true })
}

// run runs a command and returns its exit code and output.
func (si *site) run(key string, args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	all := append([]string{"admin", "--url", si.url, "--key", key}, args...)
	code := cmdln.Main(si.t.Context(), all, strings.NewReader(""), &out, &errOut)
	return code, out.String(), errOut.String()
}

// TestExitCodes guards against scripts that take a lost race, an outage or a
// refusal for something else, and against messages without what to do next.
func TestExitCodes(t *testing.T) {
	si := newSite(t)
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
		code, out, errOut := si.run(tt.key, strings.Fields(tt.line)...)
		if code != tt.code || !strings.Contains(out+errOut, tt.want) || (code == 0) != (errOut == "") {
			t.Errorf("%s: exit code %d, want %d with %q\n%s%s", tt.line, code, tt.code, tt.want, out, errOut)
		}
	}
	si.cloud.Faults().Set(fault.Setting{}.WithDown(true))
	if code, _, errOut := si.run("desk", "budget", "topup", "a1", "b1", "1", "--op", "y"); code != 6 || !strings.Contains(errOut, "--op y") {
		t.Errorf("table down: exit code %d, %s", code, errOut)
	}
	si.url = "http://127.0.0.1:1"
	if code, _, errOut := si.run("desk", "account", "add", "a3"); code != 6 || !strings.Contains(errOut, "nothing was changed") {
		t.Errorf("no router: exit code %d, %s", code, errOut)
	}
}

// TestLostAnswer guards against a top-up that counts twice when the operator
// repeats it as the message says after its answer was lost.
func TestLostAnswer(t *testing.T) {
	si := newSite(t)
	si.run("desk", "account", "add", "a1")
	si.run("desk", "budget", "add", "a1", "b1")
	si.lose.Store(1)
	args := []string{"budget", "topup", "a1", "b1", "500"}
	code, _, errOut := si.run("desk", args...)
	op := regexp.MustCompile(`--op ([0-9a-f]{32})`).FindStringSubmatch(errOut)
	if code != 6 || op == nil {
		t.Fatalf("lost: exit code %d, %s", code, errOut)
	}
	if code, out, errOut := si.run("desk", append(args, "--op", op[1])...); code != 0 || !strings.Contains(out, "prepaid 500 = ") {
		t.Errorf("repeated: exit code %d, %s%s", code, out, errOut)
	}
}

// TestServicesAndFiles guards against routes and whole configurations that
// arrive otherwise than they were given.
func TestServicesAndFiles(t *testing.T) {
	si := newSite(t)
	code, _, errOut := si.run("desk", "service", "set", "meals", "--once", "POST /vouchers 5", "--idempotent", "GET /vouchers/")
	if code != 0 {
		t.Fatal(errOut)
	}
	var list struct{ Items []config.Service }
	_, out, _ := si.run("desk", "--output", "json", "service", "list")
	if err := json.Unmarshal([]byte(out), &list); err != nil || len(list.Items) != 1 || len(list.Items[0].Routes) != 2 ||
		list.Items[0].Routes[0] != (config.Route{Method: "POST", Path: "/vouchers", Cost: 5}) {
		t.Errorf("services: %s %v", out, err)
	}
	_, doc, _ := si.run("desk", "config", "show")
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
		code, out, errOut := si.run("desk", "config", "apply", file, tt.flag)
		if code != tt.code || !strings.Contains(out+errOut, tt.want) {
			t.Errorf("apply %s: exit code %d, %s%s", tt.flag, code, out, errOut)
		}
	}
}
