// Package snap provides a container for immutable values that many readers load
// and few writers replace.
package snap

import "sync/atomic"

// Cell is a read-copy-update container. Readers load the current value without
// a lock; writers replace it with a changed copy. A value must not be modified
// after it was stored.
type Cell[T any] struct {
	cur atomic.Pointer[T]
}

// NewCell returns a cell that holds val.
func NewCell[T any](val T) *Cell[T] {
	ce := &Cell[T]{}
	ce.cur.Store(&val)
	return ce
}

// Load returns the current value.
func (ce *Cell[T]) Load() T { return *ce.cur.Load() }

// Store replaces the current value.
func (ce *Cell[T]) Store(val T) { ce.cur.Store(&val) }

// Update replaces the value with the result of change and returns the new
// value. change runs again if another writer stored a value in the meantime, so
// it must have no side effects. If change returns false, nothing is stored and
// Update returns the current value.
func (ce *Cell[T]) Update(change func(T) (T, bool)) (T, bool) {
	for {
		old := ce.cur.Load()
		val, ok := change(*old)
		if !ok {
			return *old, false
		}
		if ce.cur.CompareAndSwap(old, &val) {
			return val, true
		}
	}
}
