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
	Demo demoCmd `cmd:"" help:"Run the main job on real processes and print a closing line of counts."`
	Soak soakCmd `cmd:"" help:"Run real processes under load and failures, and compare the answers with the records."`
}

type demoCmd struct {
	Bin     string `type:"path" help:"Directory with the programs (default: that of this program)."`
	Verbose bool   `short:"v" help:"Print the output of all processes."`
}

// Run runs the demo.
func (dc demoCmd) Run(ctx context.Context) error {
	if dc.Bin == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		dc.Bin = filepath.Dir(self)
	}
	var log io.Writer
	if dc.Verbose {
		log = os.Stderr
	}
	return demo.Run(ctx, dc.Bin, os.Stdout, log)
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
