package main

import (
	"context"
	"fmt"
	"os"

	"github.com/balsamwood/balsamwood/internal/bench/budget"
	"github.com/balsamwood/balsamwood/internal/bench/routes"
)

type routesCmd struct {
	Seed uint64 `default:"1" help:"Seed of the arrivals (default ${default})."`
	Plot string `type:"path" placeholder:"FILE" help:"Write a plot of the urgent requests on time to FILE, as SVG."`
}

// Run compares the routing policies on virtual time.
func (rc routesCmd) Run() error {
	results, err := routes.RunAll(rc.Seed)
	if err != nil {
		return err
	}
	fmt.Print(routes.Table(results))
	if rc.Plot == "" {
		return nil
	}
	data, err := routes.Plot(results, "svg")
	if err != nil {
		return err
	}
	return os.WriteFile(rc.Plot, data, 0o644)
}

type budgetsCmd struct {
	Holders []int `default:"3,30,380" help:"Numbers of routers that share a budget (default ${default})."`
}

// Run compares the policies that size grants of escrow on virtual time.
func (bc budgetsCmd) Run(ctx context.Context) error {
	results, err := budget.Measure(ctx, bc.Holders...)
	if err != nil {
		return err
	}
	fmt.Print(budget.Render(results))
	return nil
}
