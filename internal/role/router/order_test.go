package router_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"github.com/balsamwood/balsamwood/internal/adapt/admcli"
	"github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/bench/stack"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// TestOrders guards against an order whose outcome is reported wrongly to the
// operator, on the path from the engine through the sidecar and the router.
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
	up, _, err := st.StartSidecar(config.Upstream{
		ID: "e1", VM: "vm-e1", Kind: config.Engine, Domain: "d1", Models: []ident.Model{"m1"},
	}, st.Serve(ha))
	if err != nil {
		t.Fatal(err)
	}
	if err := st.ChangeConfig(func(sn config.Snapshot) config.Snapshot { return sn.WithUpstream(up) }); err != nil {
		t.Fatal(err)
	}
	ro, _, err := st.StartRouter("vm-r1", "d1")
	if err != nil {
		t.Fatal(err)
	}
	if err := stack.WaitReady(ro.CallerAddr()); err != nil {
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
			t.Errorf("status %d of the engine: %+v", tc.status, pr)
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

// TestRestartedSidecar guards against a restarted sidecar that accepts a fencing
// number below the one in the table.
func TestRestartedSidecar(t *testing.T) {
	st := stack.New()
	t.Cleanup(st.Close)
	platform := httptest.NewServer(st.Cloud)
	defer platform.Close()
	data, err := codec.JSON[orders.Row]{}.Encode(orders.Row{}.WithOrder(orders.Entry{Fence: 4}))
	if err != nil {
		t.Fatal(err)
	}
	if err := dynamo.New(platform.URL).Commit(t.Context(), store.Write{Key: "order/e1", Value: data}); err != nil {
		t.Fatal(err)
	}
	en := model.New()
	up, _, err := st.StartSidecar(config.Upstream{ID: "e1", VM: "vm-e1", Kind: config.Engine, Domain: "d1"}, st.Serve(en))
	if err != nil {
		t.Fatal(err)
	}
	cl := link.NewClient(link.Identity{VM: "vm-r1", Incarnation: "r1"}, func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", up.Sidecar)
	})
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { cl.Run(ctx) })
	defer wg.Wait()
	defer stop()
	until(t, "connected", cl.Connected)
	or := engine.Order{Fence: 3, Kind: engine.LoadModel, Subject: "m1"}
	if rf := refuse.From(cl.Order(ctx, or)); rf.Reason != refuse.Rejected || rf.Outcome != refuse.NotRun {
		t.Errorf("fencing number 3: %v", rf)
	}
	or.Fence = 4
	if err := cl.Order(ctx, or); err != nil {
		t.Errorf("fencing number 4: %v", err)
	}
	if got := en.Orders(); len(got) != 1 || got[0].Fence != 4 {
		t.Errorf("accepted by the engine: %v", got)
	}
}

// problemOf returns the problem details of the router's response.
func problemOf(err error) admcli.Problem {
	if ex := errorx.Cast(err); ex != nil {
		if pr, ok := ex.Cause().(*admcli.Problem); ok {
			return *pr
		}
	}
	return admcli.Problem{}
}
