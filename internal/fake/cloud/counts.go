package cloud

import "sync/atomic"

// Counts holds counters of the work done so far.
type Counts struct {
	// Reads counts GetItem and Query calls.
	Reads int64 `json:"reads"`
	// Commits counts TransactWriteItems calls and Writes their items, including
	// those that failed a condition or were throttled.
	Commits   int64 `json:"commits"`
	Writes    int64 `json:"writes"`
	Conflicts int64 `json:"conflicts"`
	Throttled int64 `json:"throttled"`
	// Lost counts responses that were lost after the write took effect.
	Lost         int64 `json:"lost"`
	ObjectReads  int64 `json:"objectReads"`
	ObjectWrites int64 `json:"objectWrites"`
	VMReads      int64 `json:"vmReads"`
	// VMLists counts the reads whose response was the whole list, not status 304.
	VMLists int64 `json:"vmLists"`
}

type counters struct {
	reads, commits, writes, conflicts, throttled, lost atomic.Int64
	objectReads, objectWrites, vmReads, vmLists        atomic.Int64
}

func (co *counters) load() Counts {
	return Counts{
		Reads: co.reads.Load(), Commits: co.commits.Load(), Writes: co.writes.Load(),
		Conflicts: co.conflicts.Load(), Throttled: co.throttled.Load(), Lost: co.lost.Load(),
		ObjectReads: co.objectReads.Load(), ObjectWrites: co.objectWrites.Load(),
		VMReads: co.vmReads.Load(), VMLists: co.vmLists.Load(),
	}
}
