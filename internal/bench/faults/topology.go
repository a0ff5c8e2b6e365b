package faults

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/bench/deploy"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
)

const (
	modelID = ident.Model("desk-model")
	// recoveryInterval is the mean time between two checks for dead routers, short
	// so that a run takes seconds.
	recoveryInterval = 100 * time.Millisecond
	// WaitLimit bounds the wait for a condition. It is far above the usual time.
	WaitLimit = 45 * time.Second
)

// Plan holds the parameters of a deployment.
type Plan struct {
	Engines, Routers int
	Prepaid          ident.Tokens
	// ResponseTokens is the length of each response in tokens, and TokenTime
	// the time in which an engine generates one token.
	ResponseTokens int
	TokenTime      time.Duration
}

// Topology is a deployment with one client account.
type Topology struct {
	*deploy.Deployment
	Plan
	EngineNodes, SidecarNodes, RouterNodes []*deploy.Node
	Ref                                    ident.BudgetRef

	caller  *call.Caller
	mu      sync.Mutex
	results []call.Result
}

// New starts the deployment from the programs in bin. Settings are written to
// dir, and the output of all processes to log.
func New(ctx context.Context, bin, dir string, log io.Writer, pl Plan) (*Topology, error) {
	de, err := deploy.New(bin, dir, deploy.WithLog(log), deploy.WithRecoveryInterval(recoveryInterval))
	if err != nil {
		return nil, err
	}
	key := config.NewAPIKey()
	to := &Topology{
		Deployment: de, Plan: pl, caller: call.New(key),
		Ref: ident.BudgetRef{Account: "sejin-desk", Budget: "breakfast"},
	}
	return to, to.start(ctx, key)
}

func (to *Topology) start(ctx context.Context, key string) error {
	length := fmt.Sprint(to.ResponseTokens)
	var ups []config.Upstream
	var err error
	to.EngineNodes, to.SidecarNodes, ups, err = to.Deployment.StartEngines(to.Plan.Engines, modelID, "--slots", "32",
		"--min-answer", length, "--max-answer", length, "--token-time", to.TokenTime.String(), "--model", string(modelID))
	if err != nil {
		return err
	}
	if _, err = to.ChangeConfig(ctx, func(sn config.Snapshot) config.Snapshot {
		for _, up := range ups {
			sn = sn.WithUpstream(up)
		}
		return sn.WithAccount(config.Account{
			ID: to.Ref.Account, Keys: []config.KeyHash{config.HashAPIKey(key)},
			Budgets: []ident.Budget{to.Ref.Budget}, Preference: config.AvoidRefusal,
		})
	}); err != nil {
		return err
	}
	if err := to.CreateBudget(ctx, to.Ref, to.Prepaid); err != nil {
		return err
	}
	for ix := range to.Routers {
		ro, err := to.StartRouter(VM(ix), deploy.Domain(ix))
		if err != nil {
			return err
		}
		if err := ro.WaitReady(ctx); err != nil {
			return err
		}
		to.RouterNodes = append(to.RouterNodes, ro)
	}
	return nil
}

// VM returns the VM of the router with the index.
func VM(router int) ident.VM { return ident.VM(fmt.Sprintf("entry-%d", router+1)) }

// Send sends a streamed request to the router with the index, waits for its end
// and records the result for Audit.
func (to *Topology) Send(ctx context.Context, router int, prompt string, key ident.Key) call.Result {
	re := to.caller.Stream(ctx, to.RouterNodes[router].URL(), call.Chat{
		Model: modelID, Prompt: prompt, MaxTokens: to.ResponseTokens, Class: config.Urgent, Key: key, Timeout: WaitLimit,
	})
	to.mu.Lock()
	defer to.mu.Unlock()
	to.results = append(to.results, re)
	return re
}

// StartRequests sends concurrent requests to the router with the index. It returns
// when engines have generated some tokens for each. The returned function waits
// for the results.
func (to *Topology) StartRequests(ctx context.Context, router, count int, prompt string, key ident.Key) (func() []call.Result, error) {
	before, err := to.runningCount(ctx)
	if err != nil {
		return nil, err
	}
	results := make([]call.Result, count)
	var wg sync.WaitGroup
	for ix := range count {
		wg.Go(func() { results[ix] = to.Send(ctx, router, fmt.Sprintf("%s %d", prompt, ix), key) })
	}
	err = to.WaitUntil(ctx, func() bool {
		now, err := to.runningCount(ctx)
		return err == nil && now >= before+count
	})
	return func() []call.Result { wg.Wait(); return results }, err
}

// runningCount returns the number of runs that are generating tokens.
func (to *Topology) runningCount(ctx context.Context) (int, error) {
	count := 0
	runs, err := to.Runs(ctx)
	for _, ru := range runs {
		if ru.State == "running" && ru.Produced > 4 {
			count++
		}
	}
	return count, err
}

// WaitUntil waits until the condition holds, at most for WaitLimit.
func (to *Topology) WaitUntil(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, WaitLimit)
	defer cancel()
	return deploy.WaitUntil(ctx, condition)
}

// Incarnation returns the incarnation of the router's VM that is not closed in
// the table.
func (to *Topology) Incarnation(ctx context.Context, router int) (budget.Incarnation, error) {
	incs, err := to.Ledger().Incarnations(ctx)
	if err != nil {
		return budget.Incarnation{}, err
	}
	for _, in := range incs {
		if in.Row.VM == VM(router) {
			return in, nil
		}
	}
	return budget.Incarnation{}, fmt.Errorf("faults: no incarnation of %s that is not closed", VM(router))
}

// WaitClosed waits until the incarnation is closed.
func (to *Topology) WaitClosed(ctx context.Context, id ident.Incarnation) error {
	return to.WaitUntil(ctx, func() bool {
		st, err := to.Ledger().State(ctx, id)
		return err == nil && st == escrow.Closed
	})
}

// GrantedTokens returns the tokens that all routers hold. It reads the row through
// the control interface of the stand-in, which also responds during an outage of
// the table.
func (to *Topology) GrantedTokens(ctx context.Context) (ident.Tokens, error) {
	var rows []cloud.Row
	if err := to.Platform.Get(ctx, "/control/rows", &rows); err != nil {
		return 0, err
	}
	for _, ro := range rows {
		if strings.HasSuffix(ro.Partition+"/"+ro.Sort, "budget/"+to.Ref.String()) {
			bu, err := codec.Ledger().Budget.Decode(ro.Value)
			return bu.Granted, err
		}
	}
	return 0, fmt.Errorf("faults: no row of budget %s in the table", to.Ref)
}

// SetOutage starts or ends an outage of the platform.
func (to *Topology) SetOutage(ctx context.Context, down bool) error {
	return to.Platform.Control(ctx, "faults", map[string]bool{"down": down})
}
