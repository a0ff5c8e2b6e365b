// Package demo runs the main use cases on real processes and compares the results
// with the stand-ins' records.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/bench/deploy"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	modelID   = ident.Model("desk-model")
	serviceID = ident.Service("register")
	// engineCount and routerCount are the size of a small deployment over three
	// failure domains.
	engineCount = 3
	routerCount = 2
	runTimeout  = 2 * time.Minute
)

// account is a client account of the demo.
type account struct {
	ref        ident.BudgetRef
	preference config.Preference
	prepaid    ident.Tokens
	key        string
	caller     *call.Caller
}

func newAccount(name, budget string, pr config.Preference, prepaid ident.Tokens) *account {
	ac := &account{
		ref:        ident.BudgetRef{Account: ident.Account(name), Budget: ident.Budget(budget)},
		preference: pr, prepaid: prepaid, key: config.NewAPIKey(),
	}
	ac.caller = call.New(ac.key)
	return ac
}

func (ac *account) config() config.Account {
	return config.Account{
		ID: ac.ref.Account, Keys: []config.KeyHash{config.HashAPIKey(ac.key)},
		Budgets: []ident.Budget{ac.ref.Budget}, Preference: ac.preference,
	}
}

// demo is one run.
type demo struct {
	out      io.Writer
	de       *deploy.Deployment
	engines  []*deploy.Node
	services []*deploy.Node
	routers  []*deploy.Node
	sejin    *account
	trent    *account
	small    *account
	// owners maps each request to the account that sent it.
	owners map[ident.Request]*account
	tally  Tally
}

// Run runs the demo with the programs in bin and prints its progress to out. The
// output of the processes goes to log unless it is nil. A fault is returned as an
// error.
func Run(ctx context.Context, bin string, out, log io.Writer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "balsamwood-demo-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	de, err := deploy.New(bin, dir, deploy.WithLog(log))
	if err != nil {
		return err
	}
	dm := &demo{
		out: out, de: de, owners: make(map[ident.Request]*account),
		sejin: newAccount("sejin-desk", "breakfast", config.AvoidRefusal, 200_000),
		trent: newAccount("trentside", "drafts", config.AvoidOverspend, 100_000),
		small: newAccount("small-firm", "trial", config.AvoidOverspend, 2_000),
	}
	if err := errors.Join(dm.run(ctx), dm.runDirect(ctx, bin, dir, log)); err != nil {
		return errors.Join(err, de.Close())
	}
	return dm.finish(ctx)
}

func (dm *demo) run(ctx context.Context) error {
	if err := dm.start(ctx); err != nil {
		return err
	}
	for _, step := range steps {
		if err := step.run(ctx, dm); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

func (dm *demo) start(ctx context.Context) error {
	var ups, more []config.Upstream
	var err error
	args := []string{"--min-answer", "24", "--max-answer", "24", "--token-time", "2ms", "--model", string(modelID)}
	if dm.engines, _, ups, err = dm.de.StartEngines(engineCount, modelID, args...); err != nil {
		return err
	}
	if dm.services, _, more, err = dm.de.StartServices(1, serviceID); err != nil {
		return err
	}
	_, err = dm.de.ChangeConfig(ctx, func(sn config.Snapshot) config.Snapshot {
		for _, up := range append(ups, more...) {
			sn = sn.WithUpstream(up)
		}
		for _, ac := range dm.accounts() {
			sn = sn.WithAccount(ac.config())
		}
		return sn.WithService(config.Service{ID: serviceID, Routes: []config.Route{
			{Method: "POST", Path: "/vouchers", Cost: 10},
			{Method: "POST", Path: "/filings", Cost: 10},
			{Method: "GET", Path: "/vouchers/", Idempotent: true, Cost: 1},
			{Method: "GET", Path: "/filings/", Idempotent: true, Cost: 1},
		}})
	})
	if err != nil {
		return err
	}
	for _, ac := range dm.accounts() {
		if err := dm.de.CreateBudget(ctx, ac.ref, ac.prepaid); err != nil {
			return err
		}
	}
	for ix := range routerCount {
		ro, err := dm.de.StartRouter(ident.VM(fmt.Sprintf("entry-%d", ix+1)), deploy.Domain(ix))
		if err != nil {
			return err
		}
		if err := ro.WaitReady(ctx); err != nil {
			return err
		}
		dm.routers = append(dm.routers, ro)
	}
	dm.printf("started %d engines, %d service, their sidecars and %d routers", len(dm.engines), len(dm.services), len(dm.routers))
	return nil
}

func (dm *demo) accounts() []*account { return []*account{dm.sejin, dm.trent, dm.small} }

func (dm *demo) router(number int) string { return dm.routers[number%len(dm.routers)].URL() }

func (dm *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(dm.out, format+"\n", args...) }
