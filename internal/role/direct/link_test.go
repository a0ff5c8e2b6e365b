package direct_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/role/direct"
)

// TestLink guards against a router whose link is not consulted, and against one that
// refuses requests although its link is free.
func TestLink(t *testing.T) {
	fl := newTestFleet(t, 0)
	full := shed.NewLink(10, time.Now())
	// What is sent in the future is still queued when the request arrives.
	later := time.Now().Add(time.Hour)
	for range 3 {
		full.Admit(shed.Demand{Body: 9000}, later)
	}
	full.Sent(1<<20, shed.Others, later)
	var got []string
	for vm, li := range map[string]*shed.Link{"edge-1": shed.NewLink(10, time.Now()), "edge-2": full} {
		tr := fl.router(vm, direct.WithLink(li))
		status, body := fl.call(tr, "q-"+vm, "/voucher/1", "k1", 0)
		if status == 503 && strings.Contains(body, "linkBusy") {
			got = append(got, vm)
		} else if status != 200 {
			t.Errorf("%s: status %d, %s", vm, status, body)
		}
	}
	if diff := cmp.Diff([]string{"edge-2"}, got); diff != "" {
		t.Errorf("routers that refuse (-want +got):\n%s", diff)
	}
}
