// Package soak runs a deployment of real processes under load, injects failures
// in a sequence that a seed determines, and compares the responses that callers
// received with the stand-ins' records.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/bench/deploy"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	modelID      = ident.Model("desk-model")
	serviceID    = ident.Service("register")
	engineCount  = 3
	serviceCount = 2
	routerCount  = 2
	// responseTokens is the length of each chat response. It is fixed, so that
	// truncated responses are recognized.
	responseTokens = 24
	voucherCost    = 10
	lookupCost     = 1
)

// Options are the parameters of a run.
type Options struct {
	// Bin is the directory with the programs.
	Bin string
	// Requests is the number of requests, without repetitions.
	Requests int
	// Seed determines the requests and the failures.
	Seed uint64
	// Workers is the number of requests in flight. Zero means 48.
	Workers int
	// Rate is the largest number of requests that callers start per second. Zero
	// means 120, so that most requests are sent during a failure.
	Rate float64
	// Log receives the output of all processes, if it is not nil.
	Log io.Writer
}

// budget is a prepaid budget and its caller.
type budget struct {
	ref     ident.BudgetRef
	prepaid ident.Tokens
	key     string
	caller  *call.Caller
}

func newBudget(account, name string, prepaid ident.Tokens) *budget {
	bu := &budget{
		ref:     ident.BudgetRef{Account: ident.Account(account), Budget: ident.Budget(name)},
		prepaid: prepaid, key: config.NewAPIKey(),
	}
	bu.caller = call.New(bu.key)
	return bu
}

// sidecar is a sidecar that can be started again at the same address.
type sidecar struct {
	up       config.Upstream
	upstream *deploy.Node
	node     *deploy.Node
}

// soak is one run.
type soak struct {
	op       Options
	de       *deploy.Deployment
	engines  []*deploy.Node
	services []*deploy.Node
	sidecars []*sidecar
	routers  []atomic.Pointer[deploy.Node]
	// lastNoResponse is the time at which each router last gave no response, in
	// nanoseconds since the epoch.
	lastNoResponse [routerCount]atomic.Int64
	large          *budget
	small          *budget
	finished       atomic.Int64

	mu      sync.Mutex
	entries []entry
	res     Result
}

// Run runs the load and the failures and returns the counts. The error is nil if
// the run and its audit completed, also if the result has faults.
func Run(ctx context.Context, op Options) (res Result, err error) {
	if op.Workers <= 0 {
		op.Workers = 48
	}
	if op.Rate <= 0 {
		op.Rate = 120
	}
	dir, err := os.MkdirTemp("", "balsamwood-soak-")
	if err != nil {
		return res, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	de, err := deploy.New(op.Bin, dir, deploy.WithLog(op.Log))
	if err != nil {
		return res, err
	}
	defer func() { _ = de.Close() }()
	so := &soak{
		op: op, de: de, routers: make([]atomic.Pointer[deploy.Node], routerCount),
		large: newBudget("sejin-desk", "breakfast", ident.Tokens(op.Requests)*4000),
		// The small budget runs out in the middle of the run.
		small: newBudget("small-firm", "trial", ident.Tokens(op.Requests)+1000),
		res:   Result{Seed: op.Seed, Failures: Tally{}, Reasons: Tally{}},
	}
	started := time.Now()
	if err := so.start(ctx); err != nil {
		return res, fmt.Errorf("starting the deployment: %w", err)
	}
	so.runLoad(ctx)
	so.res.Elapsed = time.Since(started)
	if err := ctx.Err(); err != nil {
		return so.res, err
	}
	return so.res, so.audit(ctx)
}

func (so *soak) start(ctx context.Context) error {
	args := []string{
		"--min-answer", fmt.Sprint(responseTokens), "--max-answer", fmt.Sprint(responseTokens),
		"--token-time", "2ms", "--slots", "32", "--model", string(modelID),
	}
	engines, enSides, enUps, err := so.de.StartEngines(engineCount, modelID, args...)
	if err != nil {
		return err
	}
	services, seSides, seUps, err := so.de.StartServices(serviceCount, serviceID, "--call-time", "50ms")
	if err != nil {
		return err
	}
	so.engines, so.services = engines, services
	ups, nodes := append(enUps, seUps...), append(enSides, seSides...)
	for ix, upstream := range append(append([]*deploy.Node{}, engines...), services...) {
		so.sidecars = append(so.sidecars, &sidecar{up: ups[ix], upstream: upstream, node: nodes[ix]})
	}
	if _, err := so.de.ChangeConfig(ctx, func(sn config.Snapshot) config.Snapshot { return so.configure(sn, ups) }); err != nil {
		return err
	}
	for _, bu := range so.budgets() {
		if err := so.de.CreateBudget(ctx, bu.ref, bu.prepaid); err != nil {
			return err
		}
	}
	for ix := range so.routers {
		if err := so.startRouter(ctx, ix); err != nil {
			return err
		}
	}
	return nil
}

func (so *soak) configure(sn config.Snapshot, ups []config.Upstream) config.Snapshot {
	for _, up := range ups {
		sn = sn.WithUpstream(up)
	}
	for _, bu := range so.budgets() {
		sn = sn.WithAccount(config.Account{
			ID: bu.ref.Account, Keys: []config.KeyHash{config.HashAPIKey(bu.key)},
			Budgets: []ident.Budget{bu.ref.Budget}, Preference: config.AvoidRefusal,
		})
	}
	return sn.WithService(config.Service{ID: serviceID, Routes: []config.Route{
		{Method: "POST", Path: "/vouchers", Cost: voucherCost},
		{Method: "GET", Path: "/vouchers/", Idempotent: true, Cost: lookupCost},
	}})
}

// startRouter starts the router with the index and waits until it is ready.
func (so *soak) startRouter(ctx context.Context, number int) error {
	ro, err := so.de.StartRouter(ident.VM(fmt.Sprintf("entry-%d", number+1)), deploy.Domain(number))
	if err != nil {
		return err
	}
	// The router receives requests only when it is ready, as behind a load
	// balancer.
	err = ro.WaitReady(ctx)
	so.routers[number].Store(ro)
	return err
}

// pickRouter returns the index of the router for a request. Like a load balancer
// with health checks, it skips a router that recently did not respond.
func (so *soak) pickRouter(number int) int {
	now := time.Now()
	for ix := range routerCount {
		pick := (number + ix) % routerCount
		if now.Sub(time.Unix(0, so.lastNoResponse[pick].Load())) > avoidPeriod {
			return pick
		}
	}
	return number % routerCount
}

func (so *soak) budgets() []*budget { return []*budget{so.large, so.small} }

// runLoad sends the requests and injects failures until all requests have ended.
func (so *soak) runLoad(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var failures, load sync.WaitGroup
	for _, fg := range so.failureGroups() {
		failures.Go(func() { so.injectFailures(ctx, fg) })
	}
	var next atomic.Int64
	pace := rate.NewLimiter(rate.Limit(so.op.Rate), 1)
	for range so.op.Workers {
		load.Go(func() {
			for pace.Wait(ctx) == nil {
				number := next.Add(1)
				if number > int64(so.op.Requests) {
					return
				}
				so.sendRequest(ctx, int(number))
				so.finished.Add(1)
			}
		})
	}
	load.Wait()
	cancel()
	failures.Wait()
}
