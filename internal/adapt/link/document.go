package link

import (
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// maxDocumentBytes bounds a decompressed document. It exceeds the size of
	// the largest configuration that is accepted.
	maxDocumentBytes = 4 << 20
	// documentRequestTimeout is the time after which a document is requested
	// from another router.
	documentRequestTimeout = 2 * time.Second
)

// documentRequests makes a sidecar request a document from only one of the
// routers, because all of them announce it.
type documentRequests struct {
	mu          sync.Mutex
	revision    ident.Revision
	requestedAt time.Time
}

// shouldRequest reports whether the document of the revision is to be requested
// now, and records the request.
func (dr *documentRequests) shouldRequest(re ident.Revision, now time.Time) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if re <= dr.revision && now.Sub(dr.requestedAt) < documentRequestTimeout {
		return false
	}
	dr.revision, dr.requestedAt = re, now
	return true
}
