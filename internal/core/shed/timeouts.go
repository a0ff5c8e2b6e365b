package shed

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minTargets is the number of targets that have to time out within timeoutSpan,
	// without a response from any, for the cause to be the router itself. The timeouts
	// of calls that began together are up to 300 ms apart.
	minTargets  = 3
	timeoutSpan = 400 * time.Millisecond
	// maxKept bounds the timeouts that are kept.
	maxKept = 8
)

// timeout is a call to a target that timed out.
type timeout struct {
	target string
	at     time.Time
}

// timeouts holds the last timeouts since a target responded. The lists are immutable.
type timeouts struct{ last atomic.Pointer[[]timeout] }

// add records that a call to the target timed out.
func (ti *timeouts) add(target string, now time.Time) {
	for {
		old := ti.last.Load()
		next := []timeout{{target, now}}
		if old != nil {
			next = append(next, slices.DeleteFunc(slices.Clone(*old), func(to timeout) bool {
				return to.target == target || now.Sub(to.at) > timeoutSpan
			})...)
		}
		next = next[:min(len(next), maxKept)]
		if ti.last.CompareAndSwap(old, &next) {
			return
		}
	}
}

// simultaneous reports whether several targets have timed out within a short time.
func (ti *timeouts) simultaneous(now time.Time) bool {
	list := ti.last.Load()
	if list == nil {
		return false
	}
	recent := 0
	for _, to := range *list {
		if now.Sub(to.at) <= timeoutSpan {
			recent++
		}
	}
	return recent >= minTargets
}

// TimedOut records that a call to the target got no response in time.
func (li *Link) TimedOut(target string, now time.Time) { li.timeouts.add(target, now) }

// Reached records that a target has responded.
func (li *Link) Reached() {
	if li.timeouts.last.Load() != nil {
		li.timeouts.last.Store(nil)
	}
}
