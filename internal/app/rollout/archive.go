package rollout

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

const (
	// retryEvery is the pause between attempts to store documents.
	retryEvery = 5 * time.Second
	// maxPending bounds the documents that wait for the object store.
	maxPending = 16
	// searchWindow is how many consecutive revisions must be missing before the
	// search takes them as not yet accepted. A revision is missing when the
	// process that accepted it ended before the object store took it.
	searchWindow = 8
)

// pending is a document that is not yet in the object store.
type pending struct {
	revision ident.Revision
	document []byte
}

// Archive keeps accepted documents in the object store.
type Archive struct {
	options
	objects store.Objects
	mu      sync.Mutex
	queue   []pending
}

// NewArchive returns an archive.
func NewArchive(ob store.Objects, opts ...Option) *Archive {
	return &Archive{options: newOptions(opts), objects: ob}
}

// Keep stores the document of an accepted revision. A document that cannot be
// stored now is kept in memory and stored by Run.
func (ar *Archive) Keep(ctx context.Context, re ident.Revision, document []byte) {
	ctx, stop := context.WithTimeout(ctx, ar.timeout)
	defer stop()
	if err := ar.put(ctx, pending{re, document}); err != nil {
		ar.meter.Log(evNoArchive, slog.Uint64("revision", uint64(re)), slog.String("error", err.Error()))
		ar.mu.Lock()
		defer ar.mu.Unlock()
		ar.queue = append(ar.queue, pending{re, document})
		// The newest documents matter at a start, so the oldest is given up.
		ar.queue = ar.queue[max(0, len(ar.queue)-maxPending):]
	}
}

// Run stores pending documents until ctx ends.
func (ar *Archive) Run(ctx context.Context) {
	for wait(ctx, retryEvery) {
		ar.mu.Lock()
		todo := ar.queue
		ar.queue = nil
		ar.mu.Unlock()
		for _, pe := range todo {
			ar.Keep(ctx, pe.revision, pe.document)
		}
	}
}

// Newest returns the document with the highest revision in the object store.
// It doubles the revision until nothing is found and then halves the interval.
func (ar *Archive) Newest(ctx context.Context) ([]byte, bool, error) {
	var low, high ident.Revision = 0, 1
	for {
		ok, err := ar.some(ctx, high)
		if err != nil {
			return nil, false, err
		}
		if !ok {
			break
		}
		low, high = high, high*2
	}
	for high-low > 1 {
		mid := low + (high-low)/2
		ok, err := ar.some(ctx, mid)
		if err != nil {
			return nil, false, err
		}
		if ok {
			low = mid
		} else {
			high = mid
		}
	}
	if low == 0 {
		return nil, false, nil
	}
	return ar.objects.Get(ctx, ObjectName(low))
}

// some reports whether a revision from re to re+searchWindow-1 is stored.
func (ar *Archive) some(ctx context.Context, re ident.Revision) (bool, error) {
	for ix := range ident.Revision(searchWindow) {
		_, ok, err := ar.objects.Get(ctx, ObjectName(re+ix))
		if err != nil || ok {
			return ok, err
		}
	}
	return false, nil
}

func (ar *Archive) put(ctx context.Context, pe pending) error {
	err := ar.objects.PutIfAbsent(ctx, ObjectName(pe.revision), pe.document)
	if errors.Is(err, store.ErrConflict) {
		// The same revision has the same document.
		return nil
	}
	return err
}
