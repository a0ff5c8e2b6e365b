package follow_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

const (
	stepsPerSecond = 10
	// checkInSteps is the time between two reports. A row is removed when it was not
	// written for three times as long.
	checkInSteps = 12
	rereadSteps  = 5 * stepsPerSecond
)

// upstreamReport is what an upstream reports about itself.
type upstreamReport struct {
	startedMs, sequence int64
	leaving             bool
}

// String returns the report as decodeStates decodes it.
func (ur upstreamReport) String() string {
	return fmt.Sprint(ur.startedMs, " ", ur.sequence, map[bool]string{false: " ready", true: " leaving"}[ur.leaving])
}

// newer reports whether the report was made after the other one.
func (ur upstreamReport) newer(other upstreamReport) bool {
	return ur.startedMs > other.startedMs || ur.startedMs == other.startedMs && ur.sequence > other.sequence
}

// lateStore is a store with the row of one upstream. It performs one write in four 1 to
// 6 s late.
type lateStore struct {
	random    *rand.Rand
	version   uint64
	row       *upstreamReport
	writtenAt int
	waiting   []lateWrite
}

// lateWrite is a write that the store performs at a step.
type lateWrite struct {
	upstreamReport
	at int
}

func (ls *lateStore) write(ur upstreamReport, step int) {
	delay := 0
	if ls.random.IntN(4) == 0 {
		delay = stepsPerSecond + ls.random.IntN(5*stepsPerSecond)
	}
	ls.waiting = append(ls.waiting, lateWrite{ur, step + delay})
}

func (ls *lateStore) set(row *upstreamReport) {
	ls.version++
	ls.row = row
}

// run performs the writes that are due, and removes a row that is no longer written.
func (ls *lateStore) run(step int) {
	ls.waiting = slices.DeleteFunc(ls.waiting, func(lw lateWrite) bool {
		if lw.at <= step {
			ls.set(&lw.upstreamReport)
			ls.writtenAt = step
		}
		return lw.at <= step
	})
	if ls.row != nil && step-ls.writtenAt > 3*checkInSteps {
		ls.set(nil)
	}
}

// lateUpstream is an upstream that leaves, crashes, and starts again under its id. Its
// last report is kept when it has ended.
type lateUpstream struct {
	upstreamReport
	running bool
	nextAt  int
	endsAt  int
}

// run lets the upstream act at a step.
func (lu *lateUpstream) run(ls *lateStore, step int) {
	switch random := ls.random; {
	case !lu.running:
		if random.IntN(4*stepsPerSecond) == 0 {
			*lu = lateUpstream{upstreamReport: upstreamReport{startedMs: int64(step) + 1}, running: true, nextAt: step}
		}
	case lu.leaving && step >= lu.endsAt:
		lu.running = false
		if random.IntN(2) == 0 {
			ls.set(nil)
		}
	case !lu.leaving && random.IntN(12*stepsPerSecond) == 0:
		lu.leaving, lu.nextAt, lu.endsAt = true, step, step+random.IntN(8*stepsPerSecond)
	case random.IntN(60*stepsPerSecond) == 0:
		lu.running = false
	}
	if lu.running && step >= lu.nextAt {
		lu.sequence++
		lu.nextAt = step + checkInSteps
		ls.write(lu.upstreamReport, step)
	}
}

// TestLateReportsAtRandom guards against an upstream that is used as ready or in an
// earlier lifetime after a report was read by which it leaves or has started again, and
// against one whose last report is ignored, while the store performs writes late. The first
// report after a removal is not in force before the next one.
func TestLateReportsAtRandom(t *testing.T) {
	for seed := range uint64(60) {
		ls := &lateStore{random: rand.New(rand.NewPCG(seed, 0))}
		us, up := follow.NewUpstreams(decodeStates, meter.Nop{}), lateUpstream{}
		start, left, read := time.Now(), map[int64]bool{}, uint64(0)
		// newest is the newest report that was read, and unconfirmed the first one after a
		// removal that was read.
		var newest, unconfirmed upstreamReport
		removed := false
		us.Replace(feed.Batch{Position: epoch.At(1, 0)}, start)
		for step := range 300 * stepsPerSecond {
			now := start.Add(time.Duration(step) * time.Second / stepsPerSecond)
			up.run(ls, step)
			ls.run(step)
			whole := step%rereadSteps == 0
			if whole || ls.version > read && ls.random.IntN(4) > 0 {
				read = ls.version
				var text string
				if ls.row == nil {
					removed = true
				} else {
					text = ls.row.String()
					left[ls.row.startedMs] = left[ls.row.startedMs] || ls.row.leaving
				}
				if ls.row != nil && ls.row.newer(newest) {
					if removed && ls.row.startedMs == newest.startedMs {
						unconfirmed = *ls.row
					}
					newest, removed = *ls.row, false
				}
				deliver(us, ls.version, text, whole, now)
			}
			us.RemoveExpired(now)
			var got []upstreamReport
			for _, ep := range us.Load().Upstreams() {
				got = append(got, upstreamReport{startedMs: ep.StartedMs, leaving: ep.Leaving})
				if ep.StartedMs < newest.startedMs || left[ep.StartedMs] && !ep.Leaving {
					t.Fatalf("seed %d step %d: lifetime %d is used, leaving %v; lifetime %d has reported", seed, step, ep.StartedMs, ep.Leaving, newest.startedMs)
				}
			}
			if ls.row == nil || read != ls.version || *ls.row != up.upstreamReport || *ls.row == unconfirmed {
				continue
			}
			if diff := cmp.Diff([]upstreamReport{{startedMs: up.startedMs, leaving: up.leaving}}, got, cmp.AllowUnexported(upstreamReport{})); diff != "" {
				t.Fatalf("seed %d step %d: last report is not in force (-want +got):\n%s", seed, step, diff)
			}
		}
	}
}
