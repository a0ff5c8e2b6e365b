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

// Result holds the measured values of one run. Shares are between 0 and 1.
type Result struct {
	Scenario string
	Arm      Arm
	// Offered is the number of requests, including retries by callers.
	Offered int
	// OnTime is the share of requests that were served in time, by class rank.
	// Retries by callers do not count.
	OnTime [3]float64
	// UrgentRequests is the number of urgent requests without retries by callers.
	UrgentRequests int
	// OtherAccounts is the share of urgent requests that were served in time, for
	// all accounts but the first, which sends the flood. Retries by callers do not
	// count.
	OtherAccounts float64
	// Refused is the share of all requests that were refused, including those that
	// failed with their engine and were neither retried nor queued again.
	Refused float64
	// FalseRefusals is the share of all requests that were refused although some
	// engine would have served them in time if they had been sent to it at that
	// moment.
	FalseRefusals float64
	// Goodput is the number of tokens generated in time per second of the arrival
	// period.
	Goodput float64
	// Recovery is the goodput of seconds 70 to 90 relative to that of seconds 28
	// to 40. Faults lie between the two intervals.
	Recovery float64
	// CacheHits is the share of prompts whose prefix was cached.
	CacheHits float64
	// FirstTokenP95 is the 95th percentile of the time to the first token of
	// urgent requests.
	FirstTokenP95 time.Duration
	Preempted     int
	Reasons       map[refuse.Reason]int
}

// tally counts the outcomes of jobs in one run.
type tally struct {
	// total and onTime count original requests by class rank.
	total, onTime [3]int
	// others and othersOnTime count original urgent requests of all accounts but
	// the first.
	others, othersOnTime int
	requests, refusals   int
	// servable counts refusals of jobs that some engine could have served in time.
	servable   int
	goodTokens ident.Tokens
	// goodPerSecond holds the tokens generated in time, by second of the run.
	goodPerSecond map[int]ident.Tokens
	// firstToken holds the times to the first token of urgent requests in
	// microseconds.
	firstToken *hdrhistogram.Histogram
	reasons    map[refuse.Reason]int
}

func newTally() *tally {
	return &tally{
		goodPerSecond: make(map[int]ident.Tokens), reasons: make(map[refuse.Reason]int),
		firstToken: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
	}
}

func (ta *tally) offered(jo *job) {
	ta.requests++
	if !jo.original {
		return
	}
	ta.total[jo.class.Rank()]++
	if jo.class == config.Urgent && jo.account != 0 {
		ta.others++
	}
}

func (ta *tally) finished(jo *job, now time.Time) {
	if jo.class == config.Urgent {
		// The range of the histogram covers the times of all runs. A longer time
		// would be recorded as the end of the range, so RecordValue does not fail.
		_ = ta.firstToken.RecordValue(int64(min(jo.firstToken.Sub(jo.arrived), 10*time.Minute) / time.Microsecond))
	}
	if !onTime(jo, jo.firstToken, jo.end) {
		return
	}
	ta.goodTokens += jo.outputTokens
	ta.goodPerSecond[int(now.Sub(epoch).Seconds())] += jo.outputTokens
	if !jo.original {
		return
	}
	ta.onTime[jo.class.Rank()]++
	if jo.class == config.Urgent && jo.account != 0 {
		ta.othersOnTime++
	}
}

func (ta *tally) refused(jo *job, re refuse.Reason, servable bool) {
	ta.refusals++
	ta.reasons[re]++
	if servable {
		ta.servable++
	}
}

func (ta *tally) timedOut(*job) { ta.reasons[refuse.TimedOut]++ }

func (ta *tally) result(sc Scenario, ar Arm, fleet []*engine) Result {
	re := Result{
		Scenario: sc.Name, Arm: ar, Offered: ta.requests, UrgentRequests: ta.total[0], OtherAccounts: share(ta.othersOnTime, ta.others),
		Refused: share(ta.refusals, ta.requests), FalseRefusals: share(ta.servable, ta.requests),
		Goodput: float64(ta.goodTokens) / arrivalPeriod.Seconds(), Reasons: ta.reasons,
		FirstTokenP95: time.Duration(ta.firstToken.ValueAtQuantile(95)) * time.Microsecond,
	}
	for rank := range re.OnTime {
		re.OnTime[rank] = share(ta.onTime[rank], ta.total[rank])
	}
	before, after := ta.meanGoodput(28, 40), ta.meanGoodput(70, 90)
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

// meanGoodput returns the mean number of tokens generated in time per second, from
// the second from up to but excluding the second to.
func (ta *tally) meanGoodput(from, to int) float64 {
	var sum ident.Tokens
	for sec := from; sec < to; sec++ {
		sum += ta.goodPerSecond[sec]
	}
	return float64(sum) / float64(to-from)
}

// share returns the ratio of part to whole, or 1 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func sortedReasons(re Result) []refuse.Reason {
	return slices.Sorted(maps.Keys(re.Reasons))
}
