package admin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	app "github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
)

// fixture is the administration API of one router on a fake platform.
type fixture struct {
	t      *testing.T
	cloud  *cloud.Cloud
	ledger *budget.Ledger
	url    string
}

// response has the members of all responses that the tests check.
type response struct {
	Status   int
	Revision uint64
	Author   string
	Reason   string
	Outcome  string
	Op       string
	Key      string
	KeyHash  string
	Repeated bool
	Prepaid  int64
	Held     int64
	Free     int64
	State    string
	Balance  struct{ Prepaid int64 }
	Changes  []config.Change
	Findings []config.Finding
	Items    []json.RawMessage
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	cl := cloud.New()
	platform := httptest.NewServer(cl)
	t.Cleanup(platform.Close)
	ta := dynamo.New(platform.URL)
	ac := update.NewAcceptor(ta, update.Codecs{
		Head: codec.JSON[update.Head]{}, Audit: codec.JSON[update.Audit]{}, Config: codec.Config{},
	})
	le := budget.NewLedger(ta, codec.Ledger())
	sv := app.New(ac, le, relay.NewClaims(ta, codec.JSON[claim.Record]{}), app.NewNodes(ta, codec.JSON[app.Node]{}))
	var keys []conf.AdminKey
	for _, ro := range []string{"viewer", "operator", "admin"} {
		keys = append(keys, conf.AdminKey{
			Operator: ident.Operator("the-" + ro), Role: ro, KeyHash: string(config.HashAPIKey(ro)),
		})
	}
	keys = append(keys, conf.AdminKey{Operator: "second", Role: "operator", KeyHash: string(config.HashAPIKey("second"))})
	api := httptest.NewServer(admin.New(sv, keys, admin.WithMaxBodyBytes(64<<10)).Handler())
	t.Cleanup(api.Close)
	return &fixture{t: t, cloud: cl, ledger: le, url: api.URL + admin.Prefix}
}

// call sends a request with the key. A body is JSON text.
func (fx *fixture) call(key, method, path, body string) response {
	fx.t.Helper()
	rq, err := http.NewRequest(method, fx.url+path, bytes.NewBufferString(body))
	if err != nil {
		fx.t.Fatal(err)
	}
	if key != "" {
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		fx.t.Fatal(err)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		fx.t.Fatal(err)
	}
	out := response{}
	if err := json.Unmarshal(data, &out); err != nil {
		fx.t.Fatalf("%s %s: status %d, body %q: %v", method, path, rs.StatusCode, data, err)
	}
	out.Status = rs.StatusCode
	return out
}

// must sends a request as an operator and fails the test if the status differs.
func (fx *fixture) must(status int, method, path, body string) response {
	fx.t.Helper()
	out := fx.call("operator", method, path, body)
	if out.Status != status {
		fx.t.Fatalf("%s %s: got %+v, want status %d", method, path, out, status)
	}
	return out
}
