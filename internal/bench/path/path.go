// Package path measures what router and sidecar add to a direct call of the
// same engine.
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
	theModel = ident.Model("m1")
	// tokens is the length of each answer.
	tokens = 32
	// leastRequests lets the median of a single stream settle.
	leastRequests = 40
	// longest bounds what the histograms record.
	longest = time.Minute
	// significant is the number of significant digits of the histograms.
	significant = 3
)

// Options sets the size of a run.
type Options struct {
	Bin string
	// Streams are the numbers of streams at once.
	Streams []int
	// Rounds is the number of requests of each stream and way, of which there
	// are at least leastRequests in all.
	Rounds int
	// TokenTime is the engine's time for one token.
	TokenTime time.Duration
}

// Line is the result for one number of streams.
type Line struct {
	Streams        int
	Direct, Routed Latency
	// Router and Sidecar are what the processes used for the routed requests.
	Router, Sidecar Cost
}

// Cost is the processor time per token and the memory of one process.
type Cost struct {
	PerToken time.Duration
	Resident int64
}

// Latency is the distribution of the time to the first token and of the whole
// answer.
type Latency struct {
	First50, First99 time.Duration
	Whole50, Whole99 time.Duration
	Failed           int
}

// Added returns what the routed way adds to the first token at the median and
// at the 99th percentile.
func (li Line) Added() (median, tail time.Duration) {
	return li.Routed.First50 - li.Direct.First50, li.Routed.First99 - li.Direct.First99
}

// Run measures both ways in turn, on the same processes.
func Run(ctx context.Context, op Options) (lines []Line, err error) {
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
	engine, sidecar, router, err := start(ctx, de, op, key)
	if err != nil {
		return nil, err
	}
	ca := call.New(key)
	for _, streams := range op.Streams {
		// A first pass opens connections and draws escrow.
		ld := load{streams: streams, requests: streams, spread: tokens * op.TokenTime}
		measure(ctx, ca, router.URL(), ld)
		measure(ctx, ca, engine.URL(), ld)
		ld.requests = max(leastRequests, op.Rounds*streams)
		li := Line{Streams: streams, Direct: measure(ctx, ca, engine.URL(), ld)}
		if err := li.routed(ctx, ca, router, sidecar, ld); err != nil {
			return lines, err
		}
		lines = append(lines, li)
	}
	return lines, ctx.Err()
}

// routed measures the routed requests and what they cost.
func (li *Line) routed(ctx context.Context, ca *call.Caller, router, sidecar *deploy.Node, ld load) error {
	nodes, costs := []*deploy.Node{router, sidecar}, []*Cost{&li.Router, &li.Sidecar}
	var before [2]procs.Usage
	for ix, no := range nodes {
		us, err := no.Usage()
		if err != nil {
			return err
		}
		before[ix] = us
	}
	li.Routed = measure(ctx, ca, router.URL(), ld)
	for ix, no := range nodes {
		us, err := no.Usage()
		if err != nil {
			return err
		}
		used := us.Processor - before[ix].Processor
		*costs[ix] = Cost{PerToken: used / time.Duration(ld.requests*tokens), Resident: us.Resident}
	}
	return nil
}

func start(ctx context.Context, de *deploy.Deployment, op Options, key string) (engine, sidecar, router *deploy.Node, err error) {
	most := 1
	for _, streams := range op.Streams {
		most = max(most, streams)
	}
	engines, sidecars, ups, err := de.Engines(1, theModel, "--slots", fmt.Sprint(2*most), "--token-time", op.TokenTime.String(),
		"--min-answer", fmt.Sprint(tokens), "--max-answer", fmt.Sprint(tokens), "--model", string(theModel))
	if err != nil {
		return nil, nil, nil, err
	}
	rf := ident.BudgetRef{Account: "a1", Budget: "b1"}
	_, err = de.Accept(ctx, func(sn config.Snapshot) config.Snapshot {
		return sn.WithUpstream(ups[0]).WithAccount(config.Account{
			ID: rf.Account, Budgets: []ident.Budget{rf.Budget}, Weight: config.WeighRefusal,
			Keys: []config.KeyHash{config.HashAPIKey(key)},
		})
	})
	if err != nil {
		return nil, nil, nil, err
	}
	if err := de.Fund(ctx, rf, 1<<40); err != nil {
		return nil, nil, nil, err
	}
	if router, err = de.Router("entry-1", deploy.Domain(0)); err != nil {
		return nil, nil, nil, err
	}
	return engines[0], sidecars[0], router, router.Ready(ctx)
}

// load is a number of requests over a number of streams at once. The streams
// start evenly over the time of one answer: started together they would stay in
// step, and each answer would wait for all the others.
type load struct {
	streams, requests int
	spread            time.Duration
}

// measure sends the requests.
func measure(ctx context.Context, ca *call.Caller, url string, ld load) Latency {
	var mu sync.Mutex
	first := hdrhistogram.New(1, longest.Microseconds(), significant)
	whole := hdrhistogram.New(1, longest.Microseconds(), significant)
	failed := 0
	work := make(chan int)
	var wg sync.WaitGroup
	for stream := range ld.streams {
		wg.Go(func() {
			time.Sleep(ld.spread * time.Duration(stream) / time.Duration(ld.streams))
			for ix := range work {
				re := ca.Stream(ctx, url, call.Chat{
					Model: theModel, Prompt: fmt.Sprintf("question %d", ix), MaxTokens: 2 * tokens, Class: config.Urgent,
				})
				mu.Lock()
				if re.Served {
					_ = first.RecordValue(re.First.Microseconds())
					_ = whole.RecordValue(re.Total.Microseconds())
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for ix := range ld.requests {
		work <- ix
	}
	close(work)
	wg.Wait()
	return Latency{
		First50: quantile(first, 50), First99: quantile(first, 99),
		Whole50: quantile(whole, 50), Whole99: quantile(whole, 99), Failed: failed,
	}
}

func quantile(hi *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(hi.ValueAtQuantile(percent)) * time.Microsecond
}

// Render returns the lines as a table.
func Render(lines []Line) string {
	var sb strings.Builder
	sb.WriteString("| streams | way | first p50 | first p99 | whole p50 | whole p99 | failed |\n|---|---|---|---|---|---|---|\n")
	for _, li := range lines {
		for _, way := range []struct {
			name string
			la   Latency
		}{{"direct", li.Direct}, {"routed", li.Routed}} {
			fmt.Fprintf(&sb, "| %d | %s | %s | %s | %s | %s | %d |\n", li.Streams, way.name,
				way.la.First50, way.la.First99, way.la.Whole50, way.la.Whole99, way.la.Failed)
		}
		median, tail := li.Added()
		fmt.Fprintf(&sb, "| %d | added | %s | %s | | | |\n", li.Streams, median, tail)
	}
	sb.WriteString("\n| streams | process | processor time per token | resident bytes |\n|---|---|---|---|\n")
	for _, li := range lines {
		fmt.Fprintf(&sb, "| %d | router | %s | %d |\n| %d | sidecar | %s | %d |\n",
			li.Streams, li.Router.PerToken, li.Router.Resident, li.Streams, li.Sidecar.PerToken, li.Sidecar.Resident)
	}
	return sb.String()
}
