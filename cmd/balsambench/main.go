// Command balsambench runs the demo, load and experiments on loopback.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/balsamwood/balsamwood/internal/bench/demo"
)

type commands struct {
	Demo    demoCmd    `cmd:"" help:"Run the main use cases on real processes and print a closing line of counts."`
	Path    pathCmd    `cmd:"" help:"Measure the latency that router and sidecar add to a direct call."`
	Routes  routesCmd  `cmd:"" help:"Compare routing policies with small engine models on virtual time."`
	Budgets budgetsCmd `cmd:"" help:"Compare the policies that size grants of escrow on virtual time."`
	Slopes  slopesCmd  `cmd:"" help:"Measure how the cost of control work grows with the size."`
	Soak    soakCmd    `cmd:"" help:"Run real processes under load and failures, and compare the responses with the records."`
}

type demoCmd struct {
	Bin     string `type:"path" help:"Directory with the programs (default: that of this program)."`
	Verbose bool   `short:"v" help:"Print the output of all processes."`
}

// Run runs the demo with the programs of the directory.
func (dc demoCmd) Run(ctx context.Context) error {
	bin, err := programDir(dc.Bin)
	if err != nil {
		return err
	}
	var log io.Writer
	if dc.Verbose {
		log = os.Stderr
	}
	return demo.Run(ctx, bin, os.Stdout, log)
}

// programDir returns the directory with the programs, by default that of this
// program.
func programDir(bin string) (string, error) {
	if bin != "" {
		return bin, nil
	}
	self, err := os.Executable()
	return filepath.Dir(self), err
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	kc := kong.Parse(&commands{}, kong.Name("balsambench"),
		kong.Description("Demo, load and experiments. All traffic stays on loopback."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	err := kc.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsambench:", err)
		os.Exit(1)
	}
}
