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

// linkedUpstream is an upstream with its link and the requests that use it.
type linkedUpstream struct {
	up     config.Upstream
	link   Link
	cancel context.CancelFunc
	// revision is the configuration revision that the sidecar last reported.
	revision atomic.Uint64

	mu       sync.Mutex
	requests int
	retired  bool
	// lastReported is the sidecar's incarnation in the last report, and
	// leavingIncarnation the one that announced that it is leaving. A later report
	// of that incarnation does not undo it, because it may have been sent before
	// the refusal that announced it.
	lastReported       ident.Incarnation
	leavingIncarnation ident.Incarnation
}

// recordReport records the incarnation and state of the sidecar and reports whether
// it is leaving.
func (lu *linkedUpstream) recordReport(rp peer.Report) bool {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	lu.lastReported = rp.Sidecar
	if rp.Leaving || rp.Load.Leaving {
		lu.leavingIncarnation = rp.Sidecar
	}
	return rp.Leaving || rp.Load.Leaving || lu.leavingIncarnation != "" && lu.leavingIncarnation == rp.Sidecar
}

// isLeaving reports whether the sidecar announced that it is leaving.
func (lu *linkedUpstream) isLeaving() bool {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	return lu.leavingIncarnation != "" && lu.leavingIncarnation == lu.lastReported
}

// markLeaving records that the sidecar refused work because it is leaving.
func (lu *linkedUpstream) markLeaving() {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	lu.leavingIncarnation = lu.lastReported
}

// unchanged reports whether the link and the candidate can stay as they are.
func (lu *linkedUpstream) unchanged(up config.Upstream) bool {
	return lu.up.Sidecar == up.Sidecar && lu.up.VM == up.VM && lu.up.Kind == up.Kind &&
		lu.up.Domain == up.Domain && lu.up.Service == up.Service && slices.Equal(lu.up.Models, up.Models)
}

// acquire keeps the link open until release. It reports false if the upstream was
// retired.
func (lu *linkedUpstream) acquire() bool {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	if lu.retired {
		return false
	}
	lu.requests++
	return true
}

// release ends the use by one request, and closes the link of a retired upstream
// after the last one.
func (lu *linkedUpstream) release() {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	lu.requests--
	if lu.retired && lu.requests == 0 {
		lu.cancel()
	}
}

// retire makes acquire fail, and closes the link once its last request has ended.
func (lu *linkedUpstream) retire() {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	lu.retired = true
	if lu.requests == 0 {
		lu.cancel()
	}
}
