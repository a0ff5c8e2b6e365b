package deploy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// readyTimeout bounds the wait for a router to be ready.
const readyTimeout = 20 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// domains lists the failure domains of a small deployment.
var domains = []ident.Domain{"fd-1", "fd-2", "fd-3"}

// Domain returns the failure domain of the VM with the index.
func Domain(number int) ident.Domain { return domains[number%len(domains)] }

// StartEngines starts engines with their sidecars, spread over the failure domains.
func (de *Deployment) StartEngines(count int, mo ident.Model, args ...string) ([]*Node, []*Node, []config.Upstream, error) {
	var engines, sidecars []*Node
	var ups []config.Upstream
	for ix := range count {
		name := fmt.Sprintf("engine-%d", ix+1)
		en, err := de.StartStandIn(name, "engine", args...)
		if err != nil {
			return nil, nil, nil, err
		}
		si, up, err := de.StartSidecar(config.Upstream{
			ID: ident.Upstream(name), VM: ident.VM("vm-" + name), Kind: config.Engine,
			Domain: Domain(ix), Models: []ident.Model{mo},
		}, en, "")
		if err != nil {
			return nil, nil, nil, err
		}
		engines, sidecars, ups = append(engines, en), append(sidecars, si), append(ups, up)
	}
	return engines, sidecars, ups, nil
}

// StartServices starts processes of a plain service with their sidecars, spread
// over the failure domains.
func (de *Deployment) StartServices(count int, se ident.Service, args ...string) ([]*Node, []*Node, []config.Upstream, error) {
	var services, sidecars []*Node
	var ups []config.Upstream
	for ix := range count {
		name := fmt.Sprintf("%s-%d", se, ix+1)
		sv, err := de.StartStandIn(name, "service", args...)
		if err != nil {
			return nil, nil, nil, err
		}
		si, up, err := de.StartSidecar(config.Upstream{
			ID: ident.Upstream(name), VM: ident.VM("vm-" + name), Kind: config.Plain,
			Domain: Domain(ix), Service: se,
		}, sv, "")
		if err != nil {
			return nil, nil, nil, err
		}
		services, sidecars, ups = append(services, sv), append(sidecars, si), append(ups, up)
	}
	return services, sidecars, ups, nil
}

// Ledger returns a budget ledger on the platform's table.
func (de *Deployment) Ledger() *budget.Ledger {
	return budget.NewLedger(dynamo.New(de.Platform.URL()), codec.Ledger())
}

// ChangeConfig changes the current configuration and returns the new revision.
func (de *Deployment) ChangeConfig(ctx context.Context, change func(config.Snapshot) config.Snapshot) (ident.Revision, error) {
	ac := update.NewAcceptor(dynamo.New(de.Platform.URL()), update.Codecs{
		Head: codec.JSON[update.Head]{}, Audit: codec.JSON[update.Audit]{}, Config: codec.Config{},
	})
	acc, err := ac.Change(ctx, "bench", ident.NewOp(),
		func(sn config.Snapshot) (config.Snapshot, error) { return change(sn), nil })
	return acc.Revision, err
}

// CreateBudget creates the budget and tops it up.
func (de *Deployment) CreateBudget(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens) error {
	if err := de.Ledger().CreateBudget(ctx, rf); err != nil {
		return err
	}
	return de.Ledger().TopUp(ctx, rf, tokens, ident.NewOp(), "bench")
}

// WaitReady waits until the router is ready to serve requests.
func (no *Node) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return WaitUntil(ctx, func() bool {
		rs, err := http.Get(no.URL() + "/readyz")
		if err != nil {
			return false
		}
		_ = rs.Body.Close()
		return rs.StatusCode == http.StatusOK
	})
}

// WaitUntil polls the condition until it holds or ctx ends.
func WaitUntil(ctx context.Context, condition func() bool) error {
	ti := time.NewTicker(pollInterval)
	defer ti.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ti.C:
		}
	}
	return nil
}
