// Package feed is the port through which documents of the operator and the
// entries of upstreams are followed.
package feed

import (
	"context"
	"errors"
	"time"
)

// ErrHistory means that the changes since the version are not available any
// more, so that everything has to be read again.
var ErrHistory = errors.New("feed: the history does not reach back to the version")

// Row is the state of one row. Gone rows do not exist any more.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Gone    bool
}

// Batch is what one read returned.
type Batch struct {
	Rows []Row
	// Version is the newest version that the batch covers.
	Version uint64
}

// Feed reads the rows of one table and their changes.
type Feed interface {
	// All returns every row.
	All(ctx context.Context) (Batch, error)
	// Changes returns the rows that changed after the version, as soon as there
	// is one, or none after the wait.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}
