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
	// maxDocument bounds an unpacked document. It is above the largest one that
	// an acceptance allows.
	maxDocument = 4 << 20
	// askTimeout is after how long a document is asked for at another router.
	askTimeout = 2 * time.Second
)

// pack compresses a document, because a configuration with the planned 110,000
// budgets exceeds one frame.
func pack(document []byte) []byte {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	// A bytes.Buffer takes all writes.
	_, _ = zw.Write(document)
	_ = zw.Close()
	return buf.Bytes()
}

func unpack(data []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(zr, maxDocument+1))
	if err == nil && len(out) > maxDocument {
		err = errors.New("link: document exceeds the limit")
	}
	return out, err
}

// asks lets a sidecar ask one router for a document that all of them announce.
type asks struct {
	mu       sync.Mutex
	revision ident.Revision
	at       time.Time
}

// first reports whether the revision is to be asked for now.
func (as *asks) first(re ident.Revision, now time.Time) bool {
	as.mu.Lock()
	defer as.mu.Unlock()
	if re <= as.revision && now.Sub(as.at) < askTimeout {
		return false
	}
	as.revision, as.at = re, now
	return true
}
