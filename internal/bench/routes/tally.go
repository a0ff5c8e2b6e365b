package routes

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// Result is what was measured in one run. Shares are between 0 and 1.
type Result struct {
	Scenario string
	Arm      Arm
	Offered  int
	// OnTime is the share of first requests of callers that were answered in
	// time, per class rank.
	OnTime [3]float64
	// Urgent is the number of first urgent requests.
	Urgent int
	// Quiet is the share for urgent requests of all accounts but the first.
	Quiet float64
	// Refused and False are shares of all requests: those refused, and those
	// refused although some engine would have answered in time if the request
	// had been sent to it at that moment.
	Refused float64
	False   float64
	// Goodput is tokens generated in time per second of arrivals.
	Goodput float64
	// Recovery is the goodput of seconds 70 to 90 relative to seconds 28 to
	// 40, between which faults lie.
	Recovery  float64
	CacheHits float64
	// FirstToken is the 95th percentile of the time to the first token of
	// urgent requests.
	FirstToken time.Duration
	Preempted  int
	Reasons    map[refuse.Reason]int
}

type tally struct {
	total, onTime    [3]int
	quiet, quietGood int
	all, refusals    int
	servable         int
	good             ident.Tokens
	perSecond        map[int]ident.Tokens
	first            *hdrhistogram.Histogram
	reasons          map[refuse.Reason]int
}

func newTally() *tally {
	return &tally{
		perSecond: make(map[int]ident.Tokens), reasons: make(map[refuse.Reason]int),
		first: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
	}
}

func (ta *tally) offered(jo *job) {
	ta.all++
	if !jo.original {
		return
	}
	ta.total[jo.class.Rank()]++
	if jo.class == config.Urgent && jo.account != 0 {
		ta.quiet++
	}
}

func (ta *tally) finished(jo *job, now time.Time) {
	if jo.class == config.Urgent {
		// The range covers every run; a value above it is recorded as its end.
		_ = ta.first.RecordValue(int64(min(jo.first.Sub(jo.arrived), 10*time.Minute) / time.Microsecond))
	}
	if !onTime(jo, jo.first, jo.end) {
		return
	}
	ta.good += jo.output
	ta.perSecond[int(now.Sub(epoch).Seconds())] += jo.output
	if !jo.original {
		return
	}
	ta.onTime[jo.class.Rank()]++
	if jo.class == config.Urgent && jo.account != 0 {
		ta.quietGood++
	}
}

func (ta *tally) refused(jo *job, re refuse.Reason, servable bool) {
	ta.refusals++
	ta.reasons[re]++
	if servable {
		ta.servable++
	}
}

func (ta *tally) missed(*job) { ta.reasons[refuse.TimedOut]++ }

func (ta *tally) result(sc Scenario, ar Arm, fleet []*engine) Result {
	re := Result{
		Scenario: sc.Name, Arm: ar, Offered: ta.all, Urgent: ta.total[0], Quiet: share(ta.quietGood, ta.quiet),
		Refused: share(ta.refusals, ta.all), False: share(ta.servable, ta.all),
		Goodput: float64(ta.good) / horizon.Seconds(), Reasons: ta.reasons,
		FirstToken: time.Duration(ta.first.ValueAtQuantile(95)) * time.Microsecond,
	}
	for rank := range re.OnTime {
		re.OnTime[rank] = share(ta.onTime[rank], ta.total[rank])
	}
	before, after := ta.mean(28, 40), ta.mean(70, 90)
	if before > 0 {
		re.Recovery = after / before
	}
	hits, lookups := 0, 0
	for _, en := range fleet {
		hits, lookups = hits+en.hits, lookups+en.lookups
		re.Preempted += en.preempted
	}
	re.CacheHits = share(hits, lookups)
	return re
}

func (ta *tally) mean(from, to int) float64 {
	var sum ident.Tokens
	for sec := from; sec < to; sec++ {
		sum += ta.perSecond[sec]
	}
	return float64(sum) / float64(to-from)
}

// share returns part of whole, and 1 of nothing.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func sortedReasons(re Result) []refuse.Reason {
	return slices.Sorted(maps.Keys(re.Reasons))
}
