package place_test

import (
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/place"
)

// TestPace guards against a single false pace that decides, against missing a change for
// longer than a second, and against avoiding an upstream for ever because of its last one.
func TestPace(t *testing.T) {
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	ep := place.NewEndpoint(place.Upstream{ID: "i"}, place.NewProfile())
	check := func(ms int, low, high float64) {
		t.Helper()
		if got := ep.Pace(at(ms)); got < low || got > high {
			t.Errorf("pace %.2f after %d ms, want %.2f to %.2f", got, ms, low, high)
		}
	}
	for ms := 0; ms < 1000; ms += 50 {
		ep.ReportedPace(1, at(ms))
	}
	ep.ReportedPace(1e6, at(1000))
	check(1000, 1, 3)
	ep.ReportedPace(1, at(1050))
	ep.ReportedPace(1e-6, at(1100))
	check(1100, 0.9, 2.5)
	for ms := 1100; ms <= 2000; ms += 50 {
		ep.ReportedPace(4, at(ms))
	}
	check(2000, 3.5, 4.1)
	check(8000, 1, 1.3)
}
