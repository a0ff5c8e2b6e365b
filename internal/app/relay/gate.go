package relay

import "sync/atomic"

// gate counts entries until it is closed, and tells when the last entry left
// after that.
type gate struct {
	// state is the number of entries, plus shut once the gate is closed.
	state atomic.Int64
	empty chan struct{}
	// vouched is set once the registry has said that the incarnation is open.
	vouched atomic.Bool
}

const shut int64 = 1 << 62

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter adds an entry unless the gate is closed.
func (gt *gate) enter() bool {
	for {
		cur := gt.state.Load()
		if cur >= shut {
			return false
		}
		if gt.state.CompareAndSwap(cur, cur+1) {
			return true
		}
	}
}

// leave removes an entry.
func (gt *gate) leave() {
	if gt.state.Add(-1) == shut {
		close(gt.empty)
	}
}

// close refuses further entries.
func (gt *gate) close() {
	for {
		cur := gt.state.Load()
		if cur >= shut {
			return
		}
		if gt.state.CompareAndSwap(cur, cur+shut) {
			if cur == 0 {
				close(gt.empty)
			}
			return
		}
	}
}

// closed reports whether the gate is closed.
func (gt *gate) closed() bool { return gt.state.Load() >= shut }
