// Package path measures the latency and the cost that a router and a sidecar add
// to a direct call of the same engine.
package path

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/bench/deploy"
	"github.com/balsamwood/balsamwood/internal/bench/procs"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	modelID = ident.Model("m1")
	// responseTokens is the length of each response in tokens.
	responseTokens = 32
	// minRequests is the least number of requests per measurement, so that the
	// median of a single stream is stable.
	minRequests = 40
	// maxLatency is the largest latency that the histograms record.
	maxLatency = time.Minute
	// significantDigits is the number of significant digits of the histograms.
	significantDigits = 3
)

// Options are the parameters of a run.
type Options struct {
	// Bin is the directory with the programs.
	Bin string
	// Streams lists the numbers of concurrent streams.
	Streams []int
	// Rounds is the number of requests of each stream to each target. At least
	// minRequests are sent in total.
	Rounds int
	// TokenTime is the time in which the engine generates one token.
	TokenTime time.Duration
}

// Measurement holds the measurements for one number of streams.
type Measurement struct {
	Streams int
	// Direct is the latency of requests to the engine, and Routed that of requests
	// through the router and the sidecar.
	Direct, Routed Latency
	// Router and Sidecar are the costs of the routed requests in these processes.
	Router, Sidecar Cost
}

// Cost is the processor time per token and the memory of one process.
type Cost struct {
	CPUPerToken   time.Duration
	ResidentBytes int64
}

// Latency holds percentiles of the time to the first token and of the time to the
// end of the response, and the number of failed requests.
type Latency struct {
	FirstTokenP50, FirstTokenP99 time.Duration
	TotalP50, TotalP99           time.Duration
	Failed                       int
}

// AddedLatency returns the latency that routing adds to the first token, at the
// median and at the 99th percentile.
func (me Measurement) AddedLatency() (median, tail time.Duration) {
	return me.Routed.FirstTokenP50 - me.Direct.FirstTokenP50, me.Routed.FirstTokenP99 - me.Direct.FirstTokenP99
}

// Run measures direct and routed requests one after the other, on the same
// processes.
func Run(ctx context.Context, op Options) (results []Measurement, err error) {
	dir, err := os.MkdirTemp("", "balsamwood-path-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	de, err := deploy.New(op.Bin, dir)
	if err != nil {
		return nil, err
	}
	defer func() {
		if cerr := de.Close(); err == nil {
			err = cerr
		}
	}()
	key := config.NewAPIKey()
	engine, sidecar, router, err := startDeployment(ctx, de, op, key)
	if err != nil {
		return nil, err
	}
	ca := call.New(key)
	for _, streams := range op.Streams {
		// The first requests open connections and draw escrow, and are not
		// measured.
		ld := load{streams: streams, requests: streams, startSpread: responseTokens * op.TokenTime}
		measure(ctx, ca, router.URL(), ld)
		measure(ctx, ca, engine.URL(), ld)
		ld.requests = max(minRequests, op.Rounds*streams)
		me := Measurement{Streams: streams, Direct: measure(ctx, ca, engine.URL(), ld)}
		if err := me.measureRouted(ctx, ca, router, sidecar, ld); err != nil {
			return results, err
		}
		results = append(results, me)
	}
	return results, ctx.Err()
}

// measureRouted measures the routed requests and their cost.
func (me *Measurement) measureRouted(ctx context.Context, ca *call.Caller, router, sidecar *deploy.Node, ld load) error {
	nodes, costs := []*deploy.Node{router, sidecar}, []*Cost{&me.Router, &me.Sidecar}
	var before [2]procs.Usage
	for ix, no := range nodes {
		us, err := no.Usage()
		if err != nil {
			return err
		}
		before[ix] = us
	}
	me.Routed = measure(ctx, ca, router.URL(), ld)
	for ix, no := range nodes {
		us, err := no.Usage()
		if err != nil {
			return err
		}
		used := us.CPUTime - before[ix].CPUTime
		*costs[ix] = Cost{CPUPerToken: used / time.Duration(ld.requests*responseTokens), ResidentBytes: us.ResidentBytes}
	}
	return nil
}

func startDeployment(ctx context.Context, de *deploy.Deployment, op Options, key string) (engine, sidecar, router *deploy.Node, err error) {
	maxStreams := 1
	for _, streams := range op.Streams {
		maxStreams = max(maxStreams, streams)
	}
	engines, sidecars, ups, err := de.StartEngines(1, modelID, "--slots", fmt.Sprint(2*maxStreams), "--token-time", op.TokenTime.String(),
		"--min-answer", fmt.Sprint(responseTokens), "--max-answer", fmt.Sprint(responseTokens), "--model", string(modelID))
	if err != nil {
		return nil, nil, nil, err
	}
	rf := ident.BudgetRef{Account: "a1", Budget: "b1"}
	_, err = de.ChangeConfig(ctx, func(sn config.Snapshot) config.Snapshot {
		return sn.WithUpstream(ups[0]).WithAccount(config.Account{
			ID: rf.Account, Budgets: []ident.Budget{rf.Budget}, Preference: config.AvoidRefusal,
			Keys: []config.KeyHash{config.HashAPIKey(key)},
		})
	})
	if err != nil {
		return nil, nil, nil, err
	}
	if err := de.CreateBudget(ctx, rf, 1<<40); err != nil {
		return nil, nil, nil, err
	}
	if router, err = de.StartRouter("entry-1", deploy.Domain(0)); err != nil {
		return nil, nil, nil, err
	}
	return engines[0], sidecars[0], router, router.WaitReady(ctx)
}

// load is a number of requests over a number of concurrent streams. The starts of
// the streams are spread evenly over the time of one response: streams that start
// together stay synchronized, and each response waits for all the others.
type load struct {
	streams, requests int
	startSpread       time.Duration
}

// measure sends the requests and returns their latency.
func measure(ctx context.Context, ca *call.Caller, url string, ld load) Latency {
	var mu sync.Mutex
	first := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	total := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	failed := 0
	indexes := make(chan int)
	var wg sync.WaitGroup
	for stream := range ld.streams {
		wg.Go(func() {
			time.Sleep(ld.startSpread * time.Duration(stream) / time.Duration(ld.streams))
			for ix := range indexes {
				re := ca.Stream(ctx, url, call.Chat{
					Model: modelID, Prompt: fmt.Sprintf("question %d", ix), MaxTokens: 2 * responseTokens, Class: config.Urgent,
				})
				mu.Lock()
				if re.Served {
					_ = first.RecordValue(re.TimeToFirstEvent.Microseconds())
					_ = total.RecordValue(re.Total.Microseconds())
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for ix := range ld.requests {
		indexes <- ix
	}
	close(indexes)
	wg.Wait()
	return Latency{
		FirstTokenP50: quantile(first, 50), FirstTokenP99: quantile(first, 99),
		TotalP50: quantile(total, 50), TotalP99: quantile(total, 99), Failed: failed,
	}
}

func quantile(hi *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(hi.ValueAtQuantile(percent)) * time.Microsecond
}

// Render returns the measurements as Markdown tables.
func Render(results []Measurement) string {
	var sb strings.Builder
	sb.WriteString("| streams | target | first token p50 | first token p99 | total p50 | total p99 | failed |\n|---|---|---|---|---|---|---|\n")
	for _, me := range results {
		for _, target := range []struct {
			name string
			la   Latency
		}{{"direct", me.Direct}, {"routed", me.Routed}} {
			fmt.Fprintf(&sb, "| %d | %s | %s | %s | %s | %s | %d |\n", me.Streams, target.name,
				target.la.FirstTokenP50, target.la.FirstTokenP99, target.la.TotalP50, target.la.TotalP99, target.la.Failed)
		}
		median, tail := me.AddedLatency()
		fmt.Fprintf(&sb, "| %d | added | %s | %s | | | |\n", me.Streams, median, tail)
	}
	sb.WriteString("\n| streams | process | processor time per token | resident bytes |\n|---|---|---|---|\n")
	for _, me := range results {
		fmt.Fprintf(&sb, "| %d | router | %s | %d |\n| %d | sidecar | %s | %d |\n",
			me.Streams, me.Router.CPUPerToken, me.Router.ResidentBytes, me.Streams, me.Sidecar.CPUPerToken, me.Sidecar.ResidentBytes)
	}
	return sb.String()
}
