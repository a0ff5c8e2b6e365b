package bound_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/core/quota"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// TestShares guards against a bound without a setting, against connections that together
// exceed the descriptors, and against a single request within the limits that a VM of
// the smallest size never serves.
func TestShares(t *testing.T) {
	if diff := cmp.Diff(bound.Shares{}, bound.SharesOf(0, 0)); diff != "" {
		t.Errorf("shares without settings (-want +got):\n%s", diff)
	}
	const smallestMB, maxBody, header = 32, 4 << 20, 64 << 10
	now := time.Unix(1000, 0)
	bu := bound.NewBudgets(bound.SharesOf(smallestMB, 0).RequestBytes, 0, meter.Nop{})
	cl := quota.NewClaim("a", now).WithHeld(header)
	le := bu.Bodies.Open(cl, func() {}, now)
	if !bu.Bodies.Admits(cl.WithLeft(maxBody), now) || !bu.Bodies.Set(le, cl.WithHeld(header+maxBody).WithFixed(true), now) {
		t.Errorf("a body of %d bytes is not served by a VM of %d MB", maxBody, smallestMB)
	}
	for _, fds := range []int{300, 500, 1024, 20_000} {
		if sh := bound.SharesOf(0, fds); 2*sh.Conns+sh.IdleConns > fds-200 {
			t.Errorf("%d descriptors: %d connections of callers, as many to upstreams and %d idle ones", fds, sh.Conns, sh.IdleConns)
		}
	}
}
