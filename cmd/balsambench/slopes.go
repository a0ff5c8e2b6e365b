package main

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/slopes"
)

type slopesCmd struct {
	Links    []int         `default:"8,32,128" help:"Numbers of links (default ${default})."`
	Accounts []int         `default:"10,90,360" help:"Numbers of client accounts (default ${default})."`
	Budgets  []int         `default:"100,1000,5000" help:"Numbers of budgets (default ${default})."`
	Window   time.Duration `default:"10s" help:"Time for which links are measured (default ${default})."`
}

// Run measures how the cost of control work grows with the size. The results are
// used in docs/CAPACITY.md.
func (sc slopesCmd) Run(ctx context.Context) error {
	series, err := slopes.Links(ctx, sc.Links, sc.Window)
	if err != nil {
		return err
	}
	more, err := slopes.Configs(sc.Accounts)
	if err != nil {
		return err
	}
	escrow, err := slopes.Budgets(ctx, sc.Budgets)
	if err != nil {
		return err
	}
	more = append(more, escrow...)
	fmt.Print(slopes.Render(append(series, more...)))
	return nil
}
