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
	engines  = 14
	domains  = 7
	routers  = 4
	accounts = 10
	// plannedRate is 5,100 requests a second over 600 engines, for each engine.
	plannedRate = 8.5
	// firstToken is the target for the first token of urgent requests.
	firstToken = 1800 * time.Millisecond
	prefixes   = 120
	// horizon is when arrivals end. Drafts take 21 s, so faults start after 40 s.
	horizon = 90 * time.Second
	// flooding is the multiple of its usual rate that one account sends.
	flooding = 60
)

// Scenario is a pattern of arrivals and faults.
type Scenario struct {
	Name string
	// rate is the multiple of the planned rate at a time, per class rank.
	rate func(at time.Duration) [3]float64
	// backlog is the number of drafts that arrive in the third second, after
	// the first load reports.
	backlog int
	// drafts is the time until which drafts must be finished.
	drafts time.Duration
	// slow is how many engines run at a third of their rate.
	slow int
	// frozen, gone, flood and outage are the times of a fault, or empty.
	frozen, gone, flood, outage window
}

// window is a time from which and until which a fault lasts.
type window struct {
	from, to time.Duration
}

func (wi window) has(at time.Duration) bool { return at >= wi.from && at < wi.to }

// kind is the shape of the requests of one class.
type kind struct {
	class          config.Class
	share          float64
	prompt, shared ident.Tokens
	output         float64
	within         time.Duration
}

// kinds give 196 tokens per request on average, as 1 million tokens and 5,100
// requests a second do.
var kinds = [3]kind{
	{config.Urgent, 0.4, 400, 300, 80, 15 * time.Second},
	{config.Normal, 0.4, 800, 500, 150, 30 * time.Second},
	{config.Batch, 0.2, 2000, 1500, 520, 120 * time.Second},
}

// WithoutFaults returns the scenario with its arrivals but no flood and no fault.
func (sc Scenario) WithoutFaults() Scenario {
	sc.slow, sc.frozen, sc.gone, sc.flood, sc.outage = 0, window{}, window{}, window{}, window{}
	return sc
}

func steady(rates ...float64) func(time.Duration) [3]float64 {
	return func(time.Duration) [3]float64 { return [3]float64{rates[0], rates[1], rates[2]} }
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	morning := func(at time.Duration) [3]float64 {
		if (window{40 * time.Second, 65 * time.Second}).has(at) {
			return [3]float64{2, 2, 2}
		}
		return [3]float64{1, 1, 1}
	}
	return []Scenario{
		{Name: "planned load", rate: steady(1, 1, 1)},
		{Name: "rainy morning", rate: morning, drafts: 150 * time.Second},
		{Name: "overnight backlog", rate: steady(0.2, 0.1, 0), backlog: 2800, drafts: 95 * time.Second},
		{Name: "half slow", rate: steady(0.8, 0.8, 0.8), slow: engines / 2},
		{Name: "domain gone", rate: steady(1, 1, 1), gone: window{40 * time.Second, horizon}},
		{Name: "frozen reports", rate: steady(1, 1, 1), frozen: window{40 * time.Second, 70 * time.Second}},
		{Name: "flood", rate: steady(0.8, 0.8, 0.8), flood: window{40 * time.Second, 60 * time.Second}},
		{Name: "retry storm", rate: steady(1, 1, 1), outage: window{40 * time.Second, 46 * time.Second}},
	}
}

var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// arrivals returns the jobs of the scenario in order of arrival. They depend on
// the scenario and the seed only, so that all policies see the same ones.
func (sc Scenario) arrivals(seed uint64) []*job {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []*job
	for range sc.backlog {
		out = append(out, sc.job(kinds[2], rng.IntN(accounts), 2*time.Second+time.Duration(rng.Int64N(int64(time.Second))), rng))
	}
	for rank, ki := range kinds {
		for account := range accounts {
			out = append(out, sc.stream(rank, ki, account, rng)...)
		}
	}
	slices.SortStableFunc(out, func(aa, bb *job) int { return aa.arrived.Compare(bb.arrived) })
	return out
}

// stream returns the Poisson arrivals of one class and account. The flood
// multiplies the first account's rate.
func (sc Scenario) stream(rank int, ki kind, account int, rng *rand.Rand) []*job {
	var out []*job
	const step = 100 * time.Millisecond
	for at := time.Duration(0); at < horizon; at += step {
		rate := plannedRate * engines * ki.share * sc.rate(at)[rank] / accounts
		if account == 0 && sc.flood.has(at) {
			rate *= flooding
		}
		for range poisson(rate*step.Seconds(), rng) {
			out = append(out, sc.job(ki, account, at+time.Duration(rng.Int64N(int64(step))), rng))
		}
	}
	return out
}

func (sc Scenario) job(ki kind, account int, at time.Duration, rng *rand.Rand) *job {
	jo := &job{
		account: account, class: ki.class, ranked: ki.class, arrived: epoch.Add(at), deadline: epoch.Add(at + ki.within),
		prompt: ki.prompt, shared: ki.shared, expected: ident.Tokens(ki.output), original: true,
		// A few prefixes are much more frequent than the others.
		prefix: int(prefixes * math.Pow(rng.Float64(), 2)),
		output: ident.Tokens(ki.output * (0.5 + rng.Float64())),
	}
	if ki.class == config.Urgent {
		jo.firstBy = jo.arrived.Add(firstToken)
	}
	if ki.class == config.Batch && sc.drafts > 0 {
		jo.deadline = epoch.Add(sc.drafts)
	}
	// Prefixes differ by class, because the shared part does.
	jo.prefix += ki.class.Rank() * prefixes
	var text [8]byte
	binary.LittleEndian.PutUint64(text[:], uint64(jo.prefix))
	jo.blocks = route.Blocks([][]byte{text[:]}, []ident.Tokens{jo.shared})
	return jo
}

func poisson(mean float64, rng *rand.Rand) int {
	limit, product := math.Exp(-mean), rng.Float64()
	count := 0
	for ; product > limit; count++ {
		product *= rng.Float64()
	}
	return count
}
