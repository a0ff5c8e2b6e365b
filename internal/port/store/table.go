// Package store defines the ports to the platform: the transactional table, the
// object store and the list of VMs.
package store

import (
	"context"
	"errors"
)

// Errors that a Table returns. Any other error leaves it unknown whether a
// write was applied and must be treated like ErrUncertain.
var (
	// ErrConflict means that a condition of a commit did not hold. Nothing was
	// written.
	ErrConflict = errors.New("store: condition failed")
	// ErrThrottled means that the call was refused by a rate limit. Nothing was
	// written.
	ErrThrottled = errors.New("store: throttled")
	// ErrUnavailable means that the call was not sent or was refused. Nothing
	// was written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUncertain means that no response arrived. The write may have been
	// applied, so the caller must check for its operation id before a retry.
	ErrUncertain = errors.New("store: no response, the write may have been applied")
)

// Conflict is an ErrConflict with the current rows of the conditions, as far as the
// table returned them. A row that does not exist is not among them.
type Conflict struct{ Items []Item }

// Error returns the text of ErrConflict.
func (*Conflict) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (*Conflict) Unwrap() error { return ErrConflict }

// Item returns the current row with the key and whether it is known.
func (co *Conflict) Item(key string) (Item, bool) {
	for _, it := range co.Items {
		if it.Key == key {
			return it, true
		}
	}
	return Item{}, false
}

// Absent is the version of a row that does not exist.
const Absent uint64 = 0

// Item is one row of the table.
type Item struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write is a write to one row in a commit. Its condition holds if the version of
// the row is IfVersion; Absent requires that the row does not exist.
type Write struct {
	Key       string
	Value     []byte
	IfVersion uint64
	Mode      Mode
}

// Mode is the operation of a Write on its row.
type Mode int

const (
	// Put stores the value and sets the version to IfVersion+1.
	Put Mode = iota
	// Delete removes the row.
	Delete
	// Check only checks the version and writes nothing.
	Check
)

// MaxWrites is the largest number of writes in one commit.
const MaxWrites = 100

// Table is the platform's transactional table. Reads are strongly consistent.
type Table interface {
	// Get returns the row and whether it exists.
	Get(ctx context.Context, key string) (Item, bool, error)
	// Scan returns up to limit rows whose keys start with prefix and sort
	// after the key after, in key order. A row that was not written by a Table has
	// neither a value nor a version.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Item, error)
	// Commit applies all writes or none. Implementations must not retry it after
	// an uncertain result.
	Commit(ctx context.Context, writes ...Write) error
}
