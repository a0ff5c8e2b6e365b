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
	// retryEvery is the pause between attempts to store documents.
	retryEvery = 5 * time.Second
	// maxPending bounds the documents that wait for the object store.
	maxPending = 16
	// indexLevels is the number of halvings in which a search finds the newest
	// revision. It covers 2^32 revisions.
	indexLevels = 32
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
	// last is the highest revision whose marks were stored by this process.
	last ident.Revision
}

// NewArchive returns an archive.
func NewArchive(ob store.Objects, opts ...Option) *Archive {
	return &Archive{options: newOptions(opts), objects: ob}
}

// Keep stores the document of an accepted revision. A document that cannot be
// stored now is kept in memory and stored by Run.
func (ar *Archive) Keep(ctx context.Context, re ident.Revision, document []byte) {
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
// It descends through the marks, which name the ranges of revisions that have a
// document. Revisions may be missing, because a process that accepted some can
// end before the object store took them.
func (ar *Archive) Newest(ctx context.Context) ([]byte, bool, error) {
	_, ok, err := ar.get(ctx, markName(indexLevels, 0))
	if err != nil || !ok {
		return nil, false, err
	}
	var re ident.Revision
	for level := indexLevels - 1; level >= 0; level-- {
		// The lower half has a document when the upper one has none.
		re = re<<1 | 1
		_, ok, err := ar.get(ctx, markName(level, re))
		if err != nil {
			return nil, false, err
		}
		if !ok {
			re--
		}
	}
	return ar.get(ctx, ObjectName(re))
}

// get bounds each read on its own, so that a slow object store delays a start
// but does not prevent it.
func (ar *Archive) get(ctx context.Context, name string) ([]byte, bool, error) {
	ctx, stop := context.WithTimeout(ctx, ar.timeout)
	defer stop()
	return ar.objects.Get(ctx, name)
}

// markName returns the name of the mark of the revisions from part<<level to
// (part+1)<<level - 1.
func markName(level int, part ident.Revision) string {
	return fmt.Sprintf("config/index/%02d/%020d", level, part)
}

// put stores the document and then its marks from the smallest range to the
// largest, so that a search never meets a range without a document.
func (ar *Archive) put(ctx context.Context, pe pending) error {
	if err := ar.putOnce(ctx, ObjectName(pe.revision), pe.document); err != nil {
		return err
	}
	ar.mu.Lock()
	last := ar.last
	ar.mu.Unlock()
	for level := range indexLevels + 1 {
		if last > 0 && pe.revision>>level == last>>level {
			break
		}
		if err := ar.putOnce(ctx, markName(level, pe.revision>>level), []byte{'1'}); err != nil {
			return err
		}
	}
	ar.mu.Lock()
	ar.last = max(ar.last, pe.revision)
	ar.mu.Unlock()
	return nil
}

// putOnce takes an object that is already stored as a success: the same name
// always has the same content.
func (ar *Archive) putOnce(ctx context.Context, name string, data []byte) error {
	ctx, stop := context.WithTimeout(ctx, ar.timeout)
	defer stop()
	err := ar.objects.PutIfAbsent(ctx, name, data)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
