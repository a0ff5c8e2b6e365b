package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// node is one linked upstream.
type node struct {
	up     config.Upstream
	link   Link
	cancel context.CancelFunc
	// revision is the one that the sidecar last reported.
	revision atomic.Uint64

	mu      sync.Mutex
	uses    int
	retired bool
	// sidecar is the incarnation of the last report, and left the one that is
	// leaving. A report that was sent before a refusal does not undo it.
	sidecar ident.Incarnation
	left    ident.Incarnation
}

// leaves takes a report into account and returns whether the sidecar leaves.
func (no *node) leaves(rp peer.Report) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.sidecar = rp.Sidecar
	if rp.Leaving || rp.Load.Leaving {
		no.left = rp.Sidecar
	}
	return rp.Leaving || rp.Load.Leaving || no.left != "" && no.left == rp.Sidecar
}

// departed reports whether the sidecar said that it leaves.
func (no *node) departed() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.left != "" && no.left == no.sidecar
}

// leave records that the sidecar refused work because it is leaving.
func (no *node) leave() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.left = no.sidecar
}

// same reports whether the link and the candidate can stay as they are.
func (no *node) same(up config.Upstream) bool {
	return no.up.Sidecar == up.Sidecar && no.up.VM == up.VM && no.up.Kind == up.Kind &&
		no.up.Domain == up.Domain && no.up.Service == up.Service && slices.Equal(no.up.Models, up.Models)
}

// use keeps the link open until release. It fails after the node was retired.
func (no *node) use() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.retired {
		return false
	}
	no.uses++
	return true
}

func (no *node) release() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.uses--
	if no.retired && no.uses == 0 {
		no.cancel()
	}
}

// retire ends the link when its last request has ended.
func (no *node) retire() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.retired = true
	if no.uses == 0 {
		no.cancel()
	}
}
