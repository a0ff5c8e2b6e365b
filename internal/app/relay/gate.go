package relay

import "sync/atomic"

// gate counts operations in progress. Once it is closed, it admits no further
// ones, and empty is closed when the last operation has left.
type gate struct {
	// state is the number of entries, plus closedFlag once the gate is closed.
	state atomic.Int64
	empty chan struct{}
	// admitted is set once the registry has admitted the gate's incarnation.
	admitted atomic.Bool
}

const closedFlag int64 = 1 << 62

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter adds an entry unless the gate is closed.
func (gt *gate) enter() bool {
	for {
		cur := gt.state.Load()
		if cur >= closedFlag {
			return false
		}
		if gt.state.CompareAndSwap(cur, cur+1) {
			return true
		}
	}
}

// leave removes an entry.
func (gt *gate) leave() {
	if gt.state.Add(-1) == closedFlag {
		close(gt.empty)
	}
}

// close makes the gate refuse further entries.
func (gt *gate) close() {
	for {
		cur := gt.state.Load()
		if cur >= closedFlag {
			return
		}
		if gt.state.CompareAndSwap(cur, cur+closedFlag) {
			if cur == 0 {
				close(gt.empty)
			}
			return
		}
	}
}

// closed reports whether the gate is closed.
func (gt *gate) closed() bool { return gt.state.Load() >= closedFlag }
