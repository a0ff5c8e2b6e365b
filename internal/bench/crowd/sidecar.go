package crowd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/bench/deploy"
	"github.com/balsamwood/balsamwood/internal/bench/procs"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	modelID         = ident.Model("desk-model")
	prepaidTokens   = 100_000
	responseTokens  = 4
	sidecarCallTime = 10 * time.Second
)

// SidecarRouter is a router that reaches its upstream through a sidecar.
type SidecarRouter struct {
	*procs.Proc
	// Target is where callers send their requests.
	Target     Target
	deployment *deploy.Deployment
	caller     *call.Caller
}

// NewSidecarRouter starts an engine with its sidecar, the platform's stand-in and a router
// from the directory bin, and waits until the router is ready. Settings files are written
// to dir.
func NewSidecarRouter(ctx context.Context, bin, dir string, li Limits) (*SidecarRouter, error) {
	de, err := deploy.New(bin, dir, deploy.WithRouterSettings(
		fmt.Sprintf("memoryMB: %d\nmaxFDs: %d\nlimits: {maxBody: %d}\n", li.MemoryMB, li.MaxFDs, li.MaxBodyBytes)))
	if err != nil {
		return nil, err
	}
	ro := &SidecarRouter{deployment: de}
	if err := ro.start(ctx); err != nil {
		return nil, errors.Join(err, de.Close())
	}
	return ro, nil
}

func (ro *SidecarRouter) start(ctx context.Context) error {
	length := fmt.Sprint(responseTokens)
	_, _, ups, err := ro.deployment.StartEngines(1, modelID, "--min-answer", length, "--max-answer", length, "--model", string(modelID))
	if err != nil {
		return err
	}
	ordinary, crowd := config.NewAPIKey(), config.NewAPIKey()
	account := func(id ident.Account, key string) config.Account {
		return config.Account{ID: id, Keys: []config.KeyHash{config.HashAPIKey(key)}, Budgets: []ident.Budget{"breakfast"}, Preference: config.AvoidRefusal}
	}
	if _, err := ro.deployment.ChangeConfig(ctx, func(sn config.Snapshot) config.Snapshot {
		return sn.WithUpstream(ups[0]).WithAccount(account("desk", ordinary)).WithAccount(account("crowd", crowd))
	}); err != nil {
		return err
	}
	if err := ro.deployment.CreateBudget(ctx, ident.BudgetRef{Account: "desk", Budget: "breakfast"}, prepaidTokens); err != nil {
		return err
	}
	no, err := ro.deployment.StartRouter("entry", deploy.Domain(0))
	if err != nil {
		return err
	}
	ro.Proc, ro.caller = no.Proc, call.New(ordinary)
	ro.Target = Target{Addr: no.Addr, Path: "/v1/chat/completions", Key: crowd}
	return no.WaitReady(ctx)
}

// Call sends an ordinary request until it is served, at most maxCalls times.
func (ro *SidecarRouter) Call(ctx context.Context) error {
	var all []error
	for range maxCalls {
		re := ro.caller.Stream(ctx, "http://"+ro.Target.Addr, call.Chat{
			Model: modelID, Prompt: "hello", MaxTokens: responseTokens, Class: config.Urgent, Timeout: sidecarCallTime,
		})
		if re.Served {
			return nil
		}
		all = append(all, fmt.Errorf("status %d: %s %s", re.Status, re.Reason, re.Detail))
	}
	return errors.Join(all...)
}

// Close stops all processes.
func (ro *SidecarRouter) Close() error { return ro.deployment.Close() }
