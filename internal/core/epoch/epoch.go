// Package epoch orders the states of a store that may return from an older copy of
// itself and then gives out versions again.
package epoch

import "cmp"

// Position is the place of a state in the history of a store. It is ordered by the
// era first. The zero value comes before all others.
type Position struct {
	// Era counts how often the store has returned from a copy.
	Era uint64
	// Version is the store's counter of changes, which goes back with each new era.
	Version uint64
}

// At returns the position of a version in an era.
func At(era, version uint64) Position { return Position{Era: era, Version: version} }

// WithVersion returns the position of a version in the same era.
func (po Position) WithVersion(version uint64) Position {
	po.Version = version
	return po
}

// Compare returns -1 if the position comes before the other one, 1 if it comes after
// it, and 0 if they are the same.
func (po Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(po.Era, other.Era), cmp.Compare(po.Version, other.Version))
}

// Before reports whether the position comes before the other one.
func (po Position) Before(other Position) bool { return po.Compare(other) < 0 }

// After reports whether the position comes after the other one.
func (po Position) After(other Position) bool { return po.Compare(other) > 0 }

// IsZero reports whether the position is the zero value.
func (po Position) IsZero() bool { return po == Position{} }
