// Package feed is the port to tables whose changes are followed: the operator's
// configuration and the entries of the upstreams.
package feed

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryTruncated means that the changes since the version are no longer
// available, so that all rows must be read again.
var ErrHistoryTruncated = errors.New("feed: the history does not reach back to the version")

// Row is the state of one row, or the record of its deletion.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Batch is the result of one read.
type Batch struct {
	Rows []Row
	// Version is the newest version that the batch covers.
	Version uint64
	// Bytes is the size of the responses that carried the batch, and Transfer the
	// time from the first header to the last byte.
	Bytes    int
	Transfer time.Duration
}

// Feed reads the rows of one table and their changes.
type Feed interface {
	// All returns every row.
	All(ctx context.Context) (Batch, error)
	// Changes waits until a row has changed after the version and returns the
	// changed rows, or none after the wait. It returns ErrHistoryTruncated if the
	// history does not reach back to the version.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}
