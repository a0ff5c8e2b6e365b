// Package feed is the port to tables whose changes are followed: the operator's
// configuration and the entries of the upstreams.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/epoch"
)

// ErrHistoryTruncated means that the changes since the position are no longer
// available, so that all rows must be read again.
var ErrHistoryTruncated = errors.New("feed: the history does not reach back to the position")

// Row is the state of one row, or the record of its deletion.
type Row struct {
	Key   string
	Value []byte
	// Position is that of the last change of the row.
	Position epoch.Position
	Deleted  bool
}

// Batch is the result of one read.
type Batch struct {
	Rows []Row
	// Position is the newest one that the batch covers. Its era is that of all rows.
	Position epoch.Position
	// Bytes is the size of the responses that carried the batch, and Transfer the
	// time from the first header to the last byte.
	Bytes    int
	Transfer time.Duration
}

// Feed reads the rows of one table and their changes.
type Feed interface {
	// All returns every row.
	All(ctx context.Context) (Batch, error)
	// Changes waits until a row has changed after the position and returns the
	// changed rows, or none after the wait. It returns ErrHistoryTruncated if the
	// history does not reach back to the position. In a batch of a later era rows
	// may be missing.
	Changes(ctx context.Context, after epoch.Position, wait time.Duration) (Batch, error)
}
