package retry_test

import (
	"testing"

	"github.com/balsamwood/balsamwood/internal/core/retry"
)

// TestShare guards against a fleet whose routers together repeat more than the
// deployment allows, whatever its size is.
func TestShare(t *testing.T) {
	const reserve = 150
	for _, routers := range []int{0, 1, 12, 43, 380} {
		if sum := retry.Share(reserve, routers, 16) * routers; sum > reserve {
			t.Errorf("%d routers repeat %d requests, %d are allowed", routers, sum, reserve)
		}
	}
	if got := retry.Share(reserve, 0, 0); got != reserve {
		t.Errorf("a router alone may repeat %d requests, want %d", got, reserve)
	}
}
