package side

import (
	"context"
	"sync"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// fences remembers the highest fencing number for each subject. The sidecar is
// the only way to the engine, so it protects engines that check none.
type fences struct {
	mu   sync.Mutex
	high map[string]ident.Fence
}

// admit reports whether the order is not superseded.
func (fe *fences) admit(or engine.Order) bool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	key := string(or.Kind) + "/" + or.Subject
	if or.Fence < fe.high[key] {
		return false
	}
	if fe.high == nil {
		fe.high = make(map[string]ident.Fence)
	}
	fe.high[key] = or.Fence
	return true
}

func (si *Sidecar) order(ctx context.Context, or engine.Order) error {
	if !si.fences.admit(or) {
		return refuse.New(refuse.Rejected, "fencing number %d is superseded", or.Fence)
	}
	return si.up.Order(ctx, or)
}
