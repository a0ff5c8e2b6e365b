package routes

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

const (
	engineCount  = 14
	domainCount  = 7
	routerCount  = 4
	accountCount = 10
	// plannedRate is the planned number of requests per second and engine: 5,100
	// requests per second over 600 engines.
	plannedRate = 8.5
	// firstTokenTarget is the target for the time to the first token of urgent
	// requests.
	firstTokenTarget = 1800 * time.Millisecond
	prefixesPerClass = 120
	// arrivalPeriod is the time during which requests arrive. Batch requests take
	// 21 s, so faults start only after 40 s.
	arrivalPeriod = 90 * time.Second
	// floodFactor multiplies the rate of the first account during a flood.
	floodFactor = 60
)

// Scenario is a pattern of arrivals and faults.
type Scenario struct {
	Name string
	// rate returns the factors of the planned rate at a time, by class rank.
	rate func(at time.Duration) [3]float64
	// backlog is the number of batch requests that arrive in the third second,
	// after the first load reports.
	backlog int
	// batchDeadline is the time by which batch requests must be finished. If it is
	// zero, the time limit of the class applies.
	batchDeadline time.Duration
	// slowEngines is the number of engines that run at a third of their rate.
	slowEngines int
	// reportOutage, domainOutage, flood and fleetOutage are the windows of faults:
	// no load reports, one failure domain down, one account above its rate, and all
	// engines down. A fault with an empty window does not occur.
	reportOutage, domainOutage, flood, fleetOutage window
}

// window is a time interval that includes from and excludes to.
type window struct {
	from, to time.Duration
}

func (wi window) contains(at time.Duration) bool { return at >= wi.from && at < wi.to }

// classProfile describes the requests of one class.
type classProfile struct {
	class config.Class
	// share is the share of the class in all requests.
	share float64
	// prefixTokens is the part of promptTokens in the prefix that requests share.
	promptTokens, prefixTokens ident.Tokens
	// outputTokens is the mean number of output tokens.
	outputTokens float64
	timeLimit    time.Duration
}

// classProfiles gives 196 output tokens per request on average. This is the planned
// load of 1 million tokens and 5,100 requests per second.
var classProfiles = [3]classProfile{
	{config.Urgent, 0.4, 400, 300, 80, 15 * time.Second},
	{config.Normal, 0.4, 800, 500, 150, 30 * time.Second},
	{config.Batch, 0.2, 2000, 1500, 520, 120 * time.Second},
}

// WithoutFaults returns a copy with the same arrivals but without a flood or
// another fault.
func (sc Scenario) WithoutFaults() Scenario {
	sc.slowEngines, sc.reportOutage, sc.domainOutage, sc.flood, sc.fleetOutage = 0, window{}, window{}, window{}, window{}
	return sc
}

func constantRate(rates ...float64) func(time.Duration) [3]float64 {
	return func(time.Duration) [3]float64 { return [3]float64{rates[0], rates[1], rates[2]} }
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	morning := func(at time.Duration) [3]float64 {
		if (window{40 * time.Second, 65 * time.Second}).contains(at) {
			return [3]float64{2, 2, 2}
		}
		return [3]float64{1, 1, 1}
	}
	return []Scenario{
		{Name: "planned load", rate: constantRate(1, 1, 1)},
		{Name: "rainy morning", rate: morning, batchDeadline: 150 * time.Second},
		{Name: "overnight backlog", rate: constantRate(0.2, 0.1, 0), backlog: 2800, batchDeadline: 95 * time.Second},
		{Name: "half slow", rate: constantRate(0.8, 0.8, 0.8), slowEngines: engineCount / 2},
		{Name: "domain gone", rate: constantRate(1, 1, 1), domainOutage: window{40 * time.Second, arrivalPeriod}},
		{Name: "frozen reports", rate: constantRate(1, 1, 1), reportOutage: window{40 * time.Second, 70 * time.Second}},
		{Name: "flood", rate: constantRate(0.8, 0.8, 0.8), flood: window{40 * time.Second, 60 * time.Second}},
		{Name: "retry storm", rate: constantRate(1, 1, 1), fleetOutage: window{40 * time.Second, 46 * time.Second}},
	}
}

var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// arrivals returns the jobs of the scenario in order of arrival. They depend only
// on the scenario and the seed, so that all arms get the same ones.
func (sc Scenario) arrivals(seed uint64) []*job {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []*job
	for range sc.backlog {
		out = append(out, sc.job(classProfiles[2], rng.IntN(accountCount), 2*time.Second+time.Duration(rng.Int64N(int64(time.Second))), rng))
	}
	for rank, cp := range classProfiles {
		for account := range accountCount {
			out = append(out, sc.poissonArrivals(rank, cp, account, rng)...)
		}
	}
	slices.SortStableFunc(out, func(aa, bb *job) int { return aa.arrived.Compare(bb.arrived) })
	return out
}

// poissonArrivals returns the jobs of one class and account, whose arrivals are a
// Poisson process.
func (sc Scenario) poissonArrivals(rank int, cp classProfile, account int, rng *rand.Rand) []*job {
	var out []*job
	const step = 100 * time.Millisecond
	for at := time.Duration(0); at < arrivalPeriod; at += step {
		rate := plannedRate * engineCount * cp.share * sc.rate(at)[rank] / accountCount
		if account == 0 && sc.flood.contains(at) {
			rate *= floodFactor
		}
		for range poisson(rate*step.Seconds(), rng) {
			out = append(out, sc.job(cp, account, at+time.Duration(rng.Int64N(int64(step))), rng))
		}
	}
	return out
}

func (sc Scenario) job(cp classProfile, account int, at time.Duration, rng *rand.Rand) *job {
	jo := &job{
		account: account, class: cp.class, servedClass: cp.class, arrived: epoch.Add(at), deadline: epoch.Add(at + cp.timeLimit),
		promptTokens: cp.promptTokens, prefixTokens: cp.prefixTokens, expectedOutput: ident.Tokens(cp.outputTokens), original: true,
		// A few prefixes are much more frequent than the others.
		prefix:       int(prefixesPerClass * math.Pow(rng.Float64(), 2)),
		outputTokens: ident.Tokens(cp.outputTokens * (0.5 + rng.Float64())),
	}
	if cp.class == config.Urgent {
		jo.firstTokenDeadline = jo.arrived.Add(firstTokenTarget)
	}
	if cp.class == config.Batch && sc.batchDeadline > 0 {
		jo.deadline = epoch.Add(sc.batchDeadline)
	}
	// Classes have different prefixes, because their prefixes differ in length.
	jo.prefix += cp.class.Rank() * prefixesPerClass
	var text [8]byte
	binary.LittleEndian.PutUint64(text[:], uint64(jo.prefix))
	jo.promptPrefixes = route.PromptPrefixes([][]byte{text[:]}, []ident.Tokens{jo.prefixTokens})
	return jo
}

// poisson returns a sample of the Poisson distribution with the given mean.
func poisson(mean float64, rng *rand.Rand) int {
	limit, product := math.Exp(-mean), rng.Float64()
	count := 0
	for ; product > limit; count++ {
		product *= rng.Float64()
	}
	return count
}
