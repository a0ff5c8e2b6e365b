package update

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

const (
	// retryInterval is the time between two attempts to store pending documents.
	retryInterval = 5 * time.Second
	// maxPending is the maximum number of documents that are kept in memory while
	// the object store does not take them.
	maxPending = 16
	// indexLevels is the number of steps in which a binary search finds the
	// newest revision. It covers 2^32 revisions.
	indexLevels = 32
)

// pending is a document that is not yet in the object store.
type pending struct {
	revision ident.Revision
	document []byte
}

// Archive stores accepted documents in the object store.
type Archive struct {
	options
	objects store.ObjectStore
	mu      sync.Mutex
	queue   []pending
	// lastIndexed is the highest revision whose index entries were stored by this
	// process.
	lastIndexed ident.Revision
}

// NewArchive returns an archive.
func NewArchive(ob store.ObjectStore, opts ...Option) *Archive {
	return &Archive{options: newOptions(opts), objects: ob}
}

// Store stores the document of an accepted revision. A document that cannot be
// stored now stays in memory until Run has stored it.
func (ar *Archive) Store(ctx context.Context, re ident.Revision, document []byte) {
	if err := ar.put(ctx, pending{re, document}); err != nil {
		ar.meter.Log(evNotArchived, slog.Uint64("revision", uint64(re)), slog.String("error", err.Error()))
		ar.mu.Lock()
		defer ar.mu.Unlock()
		ar.queue = append(ar.queue, pending{re, document})
		// A starting process reads the newest document, so the oldest pending
		// one is dropped.
		ar.queue = ar.queue[max(0, len(ar.queue)-maxPending):]
	}
}

// Run stores pending documents until ctx ends.
func (ar *Archive) Run(ctx context.Context) {
	for wait(ctx, retryInterval) {
		ar.mu.Lock()
		todo := ar.queue
		ar.queue = nil
		ar.mu.Unlock()
		for _, pe := range todo {
			ar.Store(ctx, pe.revision, pe.document)
		}
	}
}

// Newest returns the document with the highest revision in the object store.
// It descends through the index entries, which name the ranges of revisions that
// contain a document. Revisions may be missing, because a process that accepted
// some can end before the object store has taken them.
func (ar *Archive) Newest(ctx context.Context) ([]byte, bool, error) {
	_, ok, err := ar.get(ctx, indexName(indexLevels, 0))
	if err != nil || !ok {
		return nil, false, err
	}
	var re ident.Revision
	for level := indexLevels - 1; level >= 0; level-- {
		// The range contains a document. If the upper half has none, the lower
		// half has one.
		re = re<<1 | 1
		_, ok, err := ar.get(ctx, indexName(level, re))
		if err != nil {
			return nil, false, err
		}
		if !ok {
			re--
		}
	}
	return ar.get(ctx, ObjectName(re))
}

// get reads an object. Each read has a timeout of its own, so that a slow object
// store delays a start but does not prevent it.
func (ar *Archive) get(ctx context.Context, name string) ([]byte, bool, error) {
	ctx, stop := context.WithTimeout(ctx, ar.timeout)
	defer stop()
	return ar.objects.Get(ctx, name)
}

// indexName returns the name of the index entry for the revisions from
// part<<level to (part+1)<<level - 1.
func indexName(level int, part ident.Revision) string {
	return fmt.Sprintf("config/index/%02d/%020d", level, part)
}

// put stores the document and then its index entries from the smallest range to
// the largest, so that a search never finds an entry for a range without a
// document.
func (ar *Archive) put(ctx context.Context, pe pending) error {
	if err := ar.putOnce(ctx, ObjectName(pe.revision), pe.document); err != nil {
		return err
	}
	ar.mu.Lock()
	last := ar.lastIndexed
	ar.mu.Unlock()
	for level := range indexLevels + 1 {
		if last > 0 && pe.revision>>level == last>>level {
			break
		}
		if err := ar.putOnce(ctx, indexName(level, pe.revision>>level), []byte{'1'}); err != nil {
			return err
		}
	}
	ar.mu.Lock()
	ar.lastIndexed = max(ar.lastIndexed, pe.revision)
	ar.mu.Unlock()
	return nil
}

// putOnce stores an object. An object that exists already counts as stored,
// because the same name always has the same content.
func (ar *Archive) putOnce(ctx context.Context, name string, data []byte) error {
	ctx, stop := context.WithTimeout(ctx, ar.timeout)
	defer stop()
	err := ar.objects.PutIfAbsent(ctx, name, data)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
