package update

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Status describes the configuration in force in this process.
type Status struct {
	// Revision is 0 while no configuration is in force.
	Revision ident.Revision
	Author   ident.Operator
	// Since is when this process started to use the revision.
	Since time.Time
	// Source is table, peer, object store or acceptance.
	Source string
	// Document is the encoded configuration, for other processes.
	Document []byte
}

// Follower holds the configuration in force. It applies only higher revisions.
type Follower struct {
	options
	codec   store.Codec[config.Snapshot]
	cell    *snap.Cell[config.Snapshot]
	status  *snap.Cell[Status]
	changed *snap.Cell[chan struct{}]
	// mu serializes writers, so that cell, status and changed are updated
	// together. Readers do not lock it.
	mu sync.Mutex
}

// NewFollower returns a follower without a configuration.
func NewFollower(co store.Codec[config.Snapshot], opts ...Option) *Follower {
	return &Follower{
		options: newOptions(opts),
		codec:   co,
		cell:    snap.NewCell(config.Snapshot{}),
		status:  snap.NewCell(Status{}),
		changed: snap.NewCell(make(chan struct{})),
	}
}

// Cell returns the cell that requests load the configuration from.
func (fo *Follower) Cell() *snap.Cell[config.Snapshot] { return fo.cell }

// InForce returns the status of the configuration in force.
func (fo *Follower) InForce() Status { return fo.status.Load() }

// Ready reports whether a configuration is in force.
func (fo *Follower) Ready() bool { return fo.InForce().Revision > 0 }

// Changed returns a channel that is closed when a higher revision is applied.
func (fo *Follower) Changed() <-chan struct{} { return fo.changed.Load() }

// Offer applies a document that was received from a peer if its revision is
// higher, and reports whether it did. An older or equal revision is no error.
func (fo *Follower) Offer(document []byte) (bool, error) {
	return fo.offer(document, "peer")
}

func (fo *Follower) offer(document []byte, source string) (bool, error) {
	sn, err := fo.codec.Decode(document)
	if err != nil {
		fo.meter.Log(evBadDocument, slog.String("source", source), slog.String("error", err.Error()))
		return false, fmt.Errorf("update: document from %s: %w", source, err)
	}
	return fo.apply(sn, document, source), nil
}

// apply puts the configuration in force if its revision is higher, and reports
// whether it did.
func (fo *Follower) apply(sn config.Snapshot, document []byte, source string) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	_, ok := fo.cell.Update(func(cur config.Snapshot) (config.Snapshot, bool) {
		return config.Advance(cur, sn)
	})
	if !ok {
		return false
	}
	fo.status.Store(Status{
		Revision: sn.Revision(), Author: sn.Author(), Since: fo.clock.Now(),
		Source: source, Document: document,
	})
	old := fo.changed.Load()
	fo.changed.Store(make(chan struct{}))
	close(old)
	fo.meter.Log(evInForce, slog.Uint64("revision", uint64(sn.Revision())),
		slog.String("author", string(sn.Author())), slog.String("source", source))
	fo.meter.Count(mtFollowed, "source", source, 1)
	fo.meter.Gauge(mtRevision, "", "", float64(sn.Revision()))
	return true
}
