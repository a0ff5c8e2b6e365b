package place

import (
	"cmp"
	"time"
)

// Entry is an upstream as it has reported itself. Sequence rises with each report of a
// lifetime.
type Entry struct {
	Upstream
	Sequence int64
	// ColdKnown says that the upstream has reported whether it is cold, and ColdLeft how
	// long it stays so from the time at which the entry is read.
	ColdKnown bool
	ColdLeft  time.Duration
	// Fault describes a figure that cannot be used and is ignored, or is empty.
	Fault string
}

// Compare returns -1 if the entry was reported before the other one, 1 if it was
// reported after it, and 0 if they are the same report or neither has a number. The order
// does not depend on the store that keeps the entries.
func (en Entry) Compare(other Entry) int {
	return cmp.Or(cmp.Compare(en.StartedMs, other.StartedMs), cmp.Compare(en.Sequence, other.Sequence))
}
