package place

import "cmp"

// Report identifies what an upstream has said of itself, by the start of its lifetime
// and a number that rises within it. The order of reports does not depend on the store
// that keeps them.
type Report struct {
	StartedMs int64
	Sequence  int64
}

// Compare returns -1 if the report is older than the other one, 1 if it is newer, and 0
// if they are the same or neither has a number.
func (re Report) Compare(other Report) int {
	return cmp.Or(cmp.Compare(re.StartedMs, other.StartedMs), cmp.Compare(re.Sequence, other.Sequence))
}

// Entry is an upstream as it has reported itself.
type Entry struct {
	Upstream
	Report Report
}
