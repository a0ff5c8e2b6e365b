package link

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
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

// compress compresses a document, because a configuration with the planned
// 110,000 budgets exceeds one frame.
func compress(document []byte) []byte {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	// Writes to a bytes.Buffer do not fail.
	_, _ = zw.Write(document)
	_ = zw.Close()
	return buf.Bytes()
}

func decompress(data []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(zr, maxDocumentBytes+1))
	if err == nil && len(out) > maxDocumentBytes {
		err = errors.New("link: decompressed document exceeds the limit")
	}
	return out, err
}

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
