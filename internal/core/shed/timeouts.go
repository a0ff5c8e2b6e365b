package shed

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minTargets is the number of targets that have to time out within timeoutSpan,
	// without a response from any, for the cause to be the router itself. The timeouts
	// of calls that began together are up to 300 ms apart.
	minTargets  = 3
	timeoutSpan = 400 * time.Millisecond
	// minRepeats is the number of timeouts of one target within at least repeatSpan,
	// without a response from it but with one from another, that are evidence against it.
	// Calls that began at the same time all wait in the same queue.
	minRepeats = 3
	repeatSpan = 500 * time.Millisecond
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

// repeats counts the timeouts of each target since it has responded.
type repeats struct {
	// targets is the number of targets with a count.
	targets  atomic.Int64
	byTarget sync.Map
	// reachedAt is the time of the last response of any target.
	reachedAt atomic.Int64
}

// repeat holds the timeouts of one target since it has responded.
type repeat struct {
	first int64
	times atomic.Int64
}

// add counts a timeout and reports whether the target has timed out repeatedly while
// another one has responded.
func (re *repeats) add(target string, ns int64) bool {
	stored, ok := re.byTarget.Load(target)
	if !ok {
		if stored, ok = re.byTarget.LoadOrStore(target, &repeat{first: ns}); !ok {
			re.targets.Add(1)
		}
	}
	rp := stored.(*repeat)
	return rp.times.Add(1) >= minRepeats && ns-rp.first >= int64(repeatSpan) && re.reachedAt.Load() > rp.first
}

// reset forgets the timeouts of a target that has responded.
func (re *repeats) reset(target string, ns int64) {
	re.reachedAt.Store(ns)
	if re.targets.Load() == 0 {
		return
	}
	if _, ok := re.byTarget.LoadAndDelete(target); ok {
		re.targets.Add(-1)
	}
}

// TimedOut records that a call to the target got no response in time. It reports whether
// that is evidence against the target even while the link is congested: it has timed out
// repeatedly, and another one has responded since.
func (li *Link) TimedOut(target string, now time.Time) bool {
	li.timeouts.add(target, now)
	return li.repeats.add(target, li.nanos(now))
}

// Reached records that the target has responded.
func (li *Link) Reached(target string, now time.Time) {
	if li.timeouts.last.Load() != nil {
		li.timeouts.last.Store(nil)
	}
	li.repeats.reset(target, li.nanos(now))
}
