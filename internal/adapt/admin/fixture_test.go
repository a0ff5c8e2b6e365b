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
	use "github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/relay"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
)

// site is the API of one router on a platform's stand-in.
type site struct {
	t      *testing.T
	cloud  *cloud.Cloud
	ledger *budget.Ledger
	url    string
}

// answer is the union of the members that the tests look at.
type answer struct {
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

func newSite(t *testing.T) *site {
	t.Helper()
	cl := cloud.New()
	platform := httptest.NewServer(cl)
	t.Cleanup(platform.Close)
	ta := dynamo.New(platform.URL)
	ac := update.NewAcceptor(ta, update.Codecs{
		Head: codec.JSON[update.Head]{}, Audit: codec.JSON[update.Audit]{}, Config: codec.Config{},
	})
	le := budget.NewLedger(ta, codec.Ledger())
	sv := use.New(ac, le, relay.NewClaims(ta, codec.JSON[claim.Record]{}), use.NewNodes(ta, codec.JSON[use.Node]{}))
	var keys []conf.AdminKey
	for _, ro := range []string{"viewer", "operator", "admin"} {
		keys = append(keys, conf.AdminKey{
			Operator: ident.Operator("the-" + ro), Role: ro, KeyHash: string(config.HashAPIKey(ro)),
		})
	}
	keys = append(keys, conf.AdminKey{Operator: "second", Role: "operator", KeyHash: string(config.HashAPIKey("second"))})
	api := httptest.NewServer(admin.New(sv, keys, admin.WithMaxBody(64<<10)).Handler())
	t.Cleanup(api.Close)
	return &site{t: t, cloud: cl, ledger: le, url: api.URL + admin.Prefix}
}

// call sends a request with the key. A body is JSON text.
func (si *site) call(key, method, path, body string) answer {
	si.t.Helper()
	rq, err := http.NewRequest(method, si.url+path, bytes.NewBufferString(body))
	if err != nil {
		si.t.Fatal(err)
	}
	if key != "" {
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		si.t.Fatal(err)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		si.t.Fatal(err)
	}
	an := answer{}
	if err := json.Unmarshal(data, &an); err != nil {
		si.t.Fatalf("%s %s: status %d, body %q: %v", method, path, rs.StatusCode, data, err)
	}
	an.Status = rs.StatusCode
	return an
}

// must is call as an operator, with the status that is wanted.
func (si *site) must(status int, method, path, body string) answer {
	si.t.Helper()
	an := si.call("operator", method, path, body)
	if an.Status != status {
		si.t.Fatalf("%s %s: got %+v, want status %d", method, path, an, status)
	}
	return an
}
