package router_test

import (
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/admcli"
	"github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/bench/stack"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// TestOrders guards against an order whose outcome is reported wrong on the way
// from the engine through sidecar and router to the operator.
func TestOrders(t *testing.T) {
	en := model.New(model.WithModels("m1"))
	var status atomic.Int32
	ha := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if st := int(status.Load()); st != 0 && rq.Method == http.MethodPost {
			wr.WriteHeader(st)
			return
		}
		en.ServeHTTP(wr, rq)
	})
	st := stack.New(stack.WithAdminKeys(conf.AdminKey{
		Operator: "ann", Role: "operator", KeyHash: string(config.HashAPIKey("key")),
	}))
	t.Cleanup(st.Close)
	up, _, err := st.Sidecar(config.Upstream{
		ID: "e1", VM: "vm-e1", Kind: config.Engine, Domain: "d1", Models: []ident.Model{"m1"},
	}, st.Serve(ha))
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Accept(func(sn config.Snapshot) config.Snapshot { return sn.WithUpstream(up) }); err != nil {
		t.Fatal(err)
	}
	ro, _, err := st.Router("vm-r1", "d1")
	if err != nil {
		t.Fatal(err)
	}
	if err := stack.Ready(ro.CallerAddr()); err != nil {
		t.Fatal(err)
	}
	cl := admcli.New("http://"+ro.AdminAddr(), "key")
	order := func(op string, query url.Values) (orders.Result, error) {
		query.Set("op", op)
		data, err := cl.Do(t.Context(), admcli.Request{
			Method: http.MethodPost, Path: admcli.Path("upstreams", "e1", "orders"), Query: query,
			Body: admin.Order{Kind: engine.LoadModel, Subject: "m2"},
		})
		re, _ := codec.JSON[orders.Result]{}.Decode(data)
		return re, err
	}
	if re, err := order("dry", url.Values{"dryRun": {"true"}}); err != nil || re.Fence != 1 || len(en.Orders()) != 0 {
		t.Errorf("dry run: %+v, %v", re, err)
	}
	if re, err := order("one", url.Values{}); err != nil || re.Fence != 1 || re.State != orders.Done {
		t.Errorf("order: %+v, %v", re, err)
	}
	for _, tc := range []struct {
		op      string
		status  int
		reason  string
		outcome string
	}{
		{"two", http.StatusConflict, "orderRefused", "notRun"},
		{"three", http.StatusInternalServerError, "orderUnknown", "unknown"},
		{"three", 0, "orderUnknown", "unknown"},
	} {
		status.Store(int32(tc.status))
		_, err := order(tc.op, url.Values{})
		pr := problemOf(err)
		if pr.Reason != tc.reason || string(pr.Outcome) != tc.outcome || pr.Fence == 0 {
			t.Errorf("engine's status %d: %+v", tc.status, pr)
		}
	}
	if diff := cmp.Diff([]model.Order{{Fence: 1, Kind: "loadModel", Subject: "m2"}}, en.Orders()); diff != "" {
		t.Errorf("accepted by the engine (-want +got):\n%s", diff)
	}
	// The load whose outcome is unknown holds its slot until an operator frees it.
	for _, want := range []bool{true, false} {
		_, err := cl.Do(t.Context(), admcli.Request{Method: http.MethodDelete, Path: admcli.Path("slots", "0", "e1")})
		if (err == nil) != want {
			t.Errorf("free the slot: %v, want success %t", err, want)
		}
	}
}

// problemOf returns the problem that the router answered with.
func problemOf(err error) admcli.Problem {
	for err != nil {
		if pr, ok := err.(*admcli.Problem); ok {
			return *pr
		}
		un, ok := err.(interface{ Unwrap() error })
		if !ok {
			break
		}
		err = un.Unwrap()
	}
	return admcli.Problem{}
}
