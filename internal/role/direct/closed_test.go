package direct_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/fake/opstor"
	"github.com/balsamwood/balsamwood/internal/fake/origin"
)

// newFront starts a server that passes calls to the store, except those about the
// operator's rows while cut is set.
func newFront(t *testing.T, st *opstor.Store, cut *atomic.Bool) string {
	t.Helper()
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		if cut.Load() && re.URL.Query().Get("Table") == "op" {
			http.Error(wr, "cut off", http.StatusServiceUnavailable)
			return
		}
		st.ServeHTTP(wr, re)
	}))
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

// TestClosedDomain guards against requests to an upstream in a closed failure domain
// later than 2 s after the request of the operator, at routers that follow the store,
// that it refuses, and that start meanwhile; against a refusal that takes long when all
// upstreams are closed; and against a domain that stays closed.
func TestClosedDomain(t *testing.T) {
	fl := newTestFleet(t, 1)
	var cut atomic.Bool
	front := newFront(t, fl.store, &cut)
	fl.routers = append(fl.routers, fl.routerAt("edge-cut", front))
	other, err := origin.New("app-2", streamEvents, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	fl.store.Put("servers", "app-2", map[string]any{"Service": "app", "Address": other.Addr(), "Zone": "y", "Slots": 8, "State": "ready"})
	sent := 0
	// send sends a request to each router and returns how many were served.
	send := func() int {
		served := 0
		for _, tr := range fl.routers {
			sent++
			if status, _ := fl.call(tr, fmt.Sprint("call-", sent), "/voucher/x", "k1", 0); status == http.StatusOK {
				served++
			}
		}
		return served
	}
	fl.await("the upstream in the domain of the routers is used", func() bool { send(); return fl.app.Arrived() > 0 })
	time.Sleep(time.Second)
	cut.Store(true)
	fl.store.Put("op", "evacuate/z", map[string]any{})
	fl.store.Put("op", "evacuate/", map[string]any{})
	fl.store.Put("op", "evacuate/y", "no object")
	fl.store.Put("op", "evacuate/nowhere", map[string]any{})
	time.Sleep(2 * time.Second)
	fl.routers = append(fl.routers, fl.routerAt("edge-late", front))
	before, served := fl.app.Arrived(), 0
	for range 10 {
		served += send()
	}
	if diff := cmp.Diff([]int{30, 0}, []int{served, fl.app.Arrived() - before}); diff != "" {
		t.Errorf("requests served, and requests at the closed upstream (-want +got):\n%s", diff)
	}
	fl.store.Put("op", "evacuate/y", map[string]any{})
	fl.await("all upstreams are closed", func() bool { return send() == 0 })
	start := time.Now()
	if status, _ := fl.call(fl.routers[0], "refused", "/voucher/x", "k1", 0); status != http.StatusServiceUnavailable || time.Since(start) > time.Second {
		t.Errorf("status %d after %v, want 503 at once", status, time.Since(start))
	}
	fl.store.Remove("op", "evacuate/z")
	fl.await("the domain is open", func() bool { return send() == len(fl.routers) && fl.app.Arrived() > before })
}
