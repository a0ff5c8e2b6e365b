// Package soak runs a deployment of real processes under load while a seeded
// schedule of failures acts on it, and compares what callers were told with
// what the stand-ins recorded.
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
	theModel     = ident.Model("desk-model")
	desk         = ident.Service("register")
	engineCount  = 3
	serviceCount = 2
	routerCount  = 2
	// answerTokens is the length of each answer, so that a shorter one is
	// known to be cut.
	answerTokens = 24
	actionCost   = 10
	lookupCost   = 1
)

// Options are the parameters of a run.
type Options struct {
	// Bin holds the programs.
	Bin string
	// Requests is the number of requests, without repeats.
	Requests int
	// Seed decides the requests and the failures.
	Seed uint64
	// Workers is the number of requests in flight. Zero means 48.
	Workers int
	// Rate is the number of requests a second that callers begin at most. Zero
	// means 120, so that most of the load meets a failure.
	Rate float64
	// Log receives the output of all processes, if it is not nil.
	Log io.Writer
}

// budget is a prepaid budget with its caller.
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

// side is a restartable sidecar.
type side struct {
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
	sides    []*side
	routers  []atomic.Pointer[deploy.Node]
	// failed is when a router last gave no answer, in nanoseconds.
	failed [routerCount]atomic.Int64
	large  *budget
	small  *budget
	done   atomic.Int64

	mu  sync.Mutex
	log []entry
	res Result
}

// Run runs the load and the failures and returns the counts. The error is nil
// when the run came to its end, whatever the counts say.
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
		// The small budget is used up in the middle of the run.
		small: newBudget("small-firm", "trial", ident.Tokens(op.Requests)+1000),
		res:   Result{Seed: op.Seed, Failures: Tally{}, Reasons: Tally{}},
	}
	began := time.Now()
	if err := so.start(ctx); err != nil {
		return res, fmt.Errorf("start: %w", err)
	}
	so.drive(ctx)
	so.res.Took = time.Since(began)
	if err := ctx.Err(); err != nil {
		return so.res, err
	}
	return so.res, so.audit(ctx)
}

func (so *soak) start(ctx context.Context) error {
	args := []string{
		"--min-answer", fmt.Sprint(answerTokens), "--max-answer", fmt.Sprint(answerTokens),
		"--token-time", "2ms", "--slots", "32", "--model", string(theModel),
	}
	engines, enSides, enUps, err := so.de.Engines(engineCount, theModel, args...)
	if err != nil {
		return err
	}
	services, seSides, seUps, err := so.de.Services(serviceCount, desk, "--call-time", "50ms")
	if err != nil {
		return err
	}
	so.engines, so.services = engines, services
	ups, nodes := append(enUps, seUps...), append(enSides, seSides...)
	for ix, upstream := range append(append([]*deploy.Node{}, engines...), services...) {
		so.sides = append(so.sides, &side{up: ups[ix], upstream: upstream, node: nodes[ix]})
	}
	if _, err := so.de.Accept(ctx, func(sn config.Snapshot) config.Snapshot { return so.configure(sn, ups) }); err != nil {
		return err
	}
	for _, bu := range so.budgets() {
		if err := so.de.Fund(ctx, bu.ref, bu.prepaid); err != nil {
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
			Budgets: []ident.Budget{bu.ref.Budget}, Weight: config.WeighRefusal,
		})
	}
	return sn.WithService(config.Service{ID: desk, Routes: []config.Route{
		{Method: "POST", Path: "/vouchers", Cost: actionCost},
		{Method: "GET", Path: "/vouchers/", Idempotent: true, Cost: lookupCost},
	}})
}

// startRouter starts the router with the number and waits until it is ready.
func (so *soak) startRouter(ctx context.Context, number int) error {
	ro, err := so.de.Router(ident.VM(fmt.Sprintf("entry-%d", number+1)), deploy.Domain(number))
	if err != nil {
		return err
	}
	// A balancer passes no requests to a router that is not ready.
	err = ro.Ready(ctx)
	so.routers[number].Store(ro)
	return err
}

// choose returns the router for a request as a balancer with health checks
// does: one that recently gave no answer is passed over.
func (so *soak) choose(number int) int {
	now := time.Now()
	for ix := range routerCount {
		pick := (number + ix) % routerCount
		if now.Sub(time.Unix(0, so.failed[pick].Load())) > avoidTime {
			return pick
		}
	}
	return number % routerCount
}

func (so *soak) budgets() []*budget { return []*budget{so.large, so.small} }

// drive runs the load and the failures until all requests have ended.
func (so *soak) drive(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var chaos, load sync.WaitGroup
	for _, ch := range so.chains() {
		chaos.Go(func() { so.inject(ctx, ch) })
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
				so.request(ctx, int(number))
				so.done.Add(1)
			}
		})
	}
	load.Wait()
	cancel()
	chaos.Wait()
}
