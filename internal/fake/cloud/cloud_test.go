package cloud_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/fake/cloud"
)

func do(t *testing.T, hd http.Handler, method, path, target, body string) (int, string) {
	t.Helper()
	re := httptest.NewRequest(method, path, strings.NewReader(body))
	if target != "" {
		re.Header.Set("X-Amz-Target", "DynamoDB_20120810."+target)
		re.Header.Set("Content-Type", "application/x-amz-json-1.0")
	}
	wr := httptest.NewRecorder()
	hd.ServeHTTP(wr, re)
	data, err := io.ReadAll(wr.Body)
	if err != nil {
		t.Fatal(err)
	}
	return wr.Code, strings.TrimSpace(string(data))
}

// TestProtocol guards against a stand-in that accepts requests that the public
// table rejects, which would hide errors of the adapter.
func TestProtocol(t *testing.T) {
	item := `{"pk":{"S":"a"},"sk":{"S":"1"},"version":{"N":"1"},"val":{"B":"eA=="}}`
	put := `{"TransactItems":[{"Put":{"TableName":"t","Item":` + item + `,"ConditionExpression":"attribute_not_exists(pk)"}}]}`
	cl := cloud.New()
	tests := []struct {
		name, target, body string
		status             int
		part               string
	}{
		{"put", "TransactWriteItems", put, 200, `{}`},
		{"put again", "TransactWriteItems", put, 400, `"CancellationReasons":[{"Code":"ConditionalCheckFailed"`},
		{"get", "GetItem", `{"Key":{"pk":{"S":"a"},"sk":{"S":"1"}}}`, 200, `"val":{"B":"eA=="}`},
		{"get of a missing row", "GetItem", `{"Key":{"pk":{"S":"a"},"sk":{"S":"2"}}}`, 200, `{}`},
		{"get without sort key", "GetItem", `{"Key":{"pk":{"S":"a"}}}`, 400, "ValidationException"},
		{"query", "Query", `{"KeyConditionExpression":"pk = :p","ExpressionAttributeValues":{":p":{"S":"a"}}}`, 200, `"Count":1`},
		{"other key condition", "Query", `{"KeyConditionExpression":"pk = :p AND sk > :s","ExpressionAttributeValues":{":p":{"S":"a"},":s":{"S":"1"}}}`, 400, "ValidationException"},
		{"start key outside the partition", "Query", `{"KeyConditionExpression":"pk = :p","ExpressionAttributeValues":{":p":{"S":"a"}},"ExclusiveStartKey":{"pk":{"S":"b"},"sk":{"S":"1"}}}`, 400, "outside query boundaries"},
		{"no condition", "TransactWriteItems", `{"TransactItems":[{"Put":{"Item":` + item + `}}]}`, 400, "ValidationException"},
		{"two operations", "TransactWriteItems", `{"TransactItems":[{"Put":{},"Delete":{}}]}`, 400, "ValidationException"},
		{"empty transaction", "TransactWriteItems", `{}`, 400, "ValidationException"},
		{"invalid JSON", "GetItem", `x`, 400, "SerializationException"},
		{"unknown operation", "PutItem", `{}`, 400, "UnknownOperationException"},
	}
	for _, tt := range tests {
		status, body := do(t, cl, http.MethodPost, "/", tt.target, tt.body)
		if status != tt.status || !strings.Contains(body, tt.part) {
			t.Errorf("%s: status %d, body %s; want %d with %s", tt.name, status, body, tt.status, tt.part)
		}
	}
}

// TestControl guards against faults and limits that have no effect when they are
// set over HTTP.
func TestControl(t *testing.T) {
	cl := cloud.New()
	do(t, cl, http.MethodPost, "/control/faults", "", `{"loseNext":3,"down":true}`)
	do(t, cl, http.MethodPost, "/control/faults", "", `{"down":false}`)
	if se := cl.Faults().Setting(); se.LoseNext != 3 || se.Down {
		t.Errorf("setting %+v, want the merge of both requests", se)
	}
	do(t, cl, http.MethodPost, "/control/limits", "", `{"readsPerSecond":0.000001}`)
	get := `{"Key":{"pk":{"S":"a"},"sk":{"S":"1"}}}`
	do(t, cl, http.MethodPost, "/", "GetItem", get)
	if _, body := do(t, cl, http.MethodPost, "/", "GetItem", get); !strings.Contains(body, "ProvisionedThroughputExceededException") {
		t.Errorf("second read: %s, want it throttled", body)
	}
	if _, body := do(t, cl, http.MethodGet, "/control/counts", "", ""); !strings.Contains(body, `"reads":2`) {
		t.Errorf("counts %s, want 2 reads", body)
	}
	if status, _ := do(t, cl, http.MethodPost, "/control/faults", "", `{"down":`); status != http.StatusBadRequest {
		t.Errorf("status %d, want 400", status)
	}
}

type manualClock struct{ now time.Time }

func (ma *manualClock) Now() time.Time { return ma.now }

// TestLag guards against a VM list that shows a change before the lag has passed.
func TestLag(t *testing.T) {
	ma := &manualClock{now: time.Unix(1000, 0)}
	cl := cloud.New(cloud.WithClock(ma), cloud.WithVMLag(30*time.Second))
	cl.SetVMs(cloud.VM{ID: "v1", Address: "127.0.0.1:1", Domain: "d1", Role: "engine"})
	var got []string
	for _, step := range []time.Duration{29 * time.Second, time.Second, 29 * time.Second, time.Second} {
		ma.now = ma.now.Add(step)
		_, body := do(t, cl, http.MethodGet, "/vms", "", "")
		got = append(got, body)
		if step == time.Second {
			cl.SetVMs(cloud.VM{ID: "v1", Address: "127.0.0.1:1", Domain: "d1", Role: "engine", Leaving: true})
		}
	}
	entry := func(state string) string {
		return `[{"targets":["127.0.0.1:1"],"labels":{"domain":"d1","role":"engine","state":"` + state + `","vm":"v1"}}]`
	}
	if diff := cmp.Diff([]string{"[]", entry("live"), entry("live"), entry("leaving")}, got); diff != "" {
		t.Errorf("lists (-want +got):\n%s", diff)
	}
}
