package direct_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestOwnRegion guards against requests and bodies that leave the region of their router:
// not even a router that knows one of another region, and whose own upstreams are all
// closed, sends anything to the upstreams of that region.
func TestOwnRegion(t *testing.T) {
	far, fl := newTestFleet(t, 1), newTestFleet(t, 0)
	tr := fl.routerAt("edge-0", fl.store.Addr(), far.routers[0].set.PeerListen)
	fl.store.Put("op", "evacuate/z", map[string]any{})
	fl.await("the own upstreams are closed", func() bool {
		status, _ := fl.call(tr, fmt.Sprint("first", fl.app.Arrived()), "/voucher/x", "k1", 0)
		return status == http.StatusServiceUnavailable
	})
	for no := range 20 {
		for _, path := range []string{"/voucher/x", "/draft/x"} {
			if status, _ := fl.call(tr, fmt.Sprint(path, no), path, "k1", 10); status != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d, want 503", path, status)
			}
		}
	}
	if sent := far.app.Arrived() + far.engine.Arrived(); sent != 0 {
		t.Errorf("%d requests reached another region", sent)
	}
}
