package retry_test

import (
	"testing"

	"github.com/balsamwood/balsamwood/internal/core/retry"
)

// TestReservePerRouter guards against a fleet of any size whose routers
// together retry more often than the deployment allows.
func TestReservePerRouter(t *testing.T) {
	const reserve = 150
	for _, routers := range []int{0, 1, 12, 43, 380} {
		if sum := retry.ReservePerRouter(reserve, routers, 16) * routers; sum > reserve {
			t.Errorf("%d routers may retry %d requests, %d are allowed", routers, sum, reserve)
		}
	}
	if got := retry.ReservePerRouter(reserve, 0, 0); got != reserve {
		t.Errorf("a single router may retry %d requests, want %d", got, reserve)
	}
}
