package direct_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/opstor"
)

// TestColdUpstream guards against routers that send a cold upstream more than it
// tolerates, against requests that wait for its capacity, and against one that gets few
// requests after it has become warm.
func TestColdUpstream(t *testing.T) {
	const rate = 4
	fl := newTestFleet(t, 2)
	report := func(leftMs int) {
		fl.store.Put("servers", "app-1", map[string]any{
			"Service": "app", "Address": fl.app.Addr(), "Zone": "z", "Slots": 8, "State": "ready", "WarmupLeftMs": leftMs,
		})
	}
	sent := 0
	send := func() int {
		sent++
		start := time.Now()
		status, _ := fl.call(fl.routers[sent%2], fmt.Sprint("c", sent), "/voucher/x", "k1", 0)
		if status == http.StatusServiceUnavailable && time.Since(start) > 2*time.Second {
			t.Errorf("refused after %v", time.Since(start))
		}
		return status
	}
	fl.await("a request is served", func() bool { return send() == http.StatusOK })
	report(60_000)
	fl.store.Configure(2, opstor.Config{
		Host: "h.example", Routes: []opstor.Route{{Prefix: "/voucher/", Kind: "non_idempotent", Service: "app"}},
		Services: []string{"app"}, Accounts: []opstor.Account{{Name: "desk", Key: "k1"}}, ColdS: 60, ColdPerS: rate,
	})
	fl.await("a request is refused", func() bool { return send() == http.StatusServiceUnavailable })
	start, before := time.Now(), fl.app.Arrived()
	fl.await("some requests are served", func() bool { send(); return fl.app.Arrived()-before >= 8 })
	if most := int(1.5*rate*time.Since(start).Seconds()) + 5; fl.app.Arrived()-before > most {
		t.Errorf("%d requests reached the cold upstream in %v, want at most %d", fl.app.Arrived()-before, time.Since(start), most)
	}
	report(0)
	row := 0
	fl.await("requests are served one after the other", func() bool {
		row++
		if send() != http.StatusOK {
			row = 0
		}
		return row == 20
	})
}
