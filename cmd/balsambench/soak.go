package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/balsamwood/balsamwood/internal/bench/soak"
)

type soakCmd struct {
	Bin      string  `type:"path" help:"Directory with the programs (default: that of this program)."`
	Requests int     `default:"1500" help:"Number of requests without repeats (default ${default})."`
	Seed     uint64  `default:"1" help:"Seed of the requests and the failures (default ${default})."`
	Workers  int     `default:"48" help:"Requests in flight (default ${default})."`
	Rate     float64 `default:"120" help:"Requests a second at most (default ${default})."`
	Verbose  bool    `short:"v" help:"Print the output of all processes."`
}

// Run runs the soak test. It returns an error if a count that must be zero is not.
func (sc soakCmd) Run(ctx context.Context) error {
	bin, err := programDir(sc.Bin)
	if err != nil {
		return err
	}
	var log io.Writer
	if sc.Verbose {
		log = os.Stderr
	}
	re, err := soak.Run(ctx, soak.Options{
		Bin: bin, Requests: sc.Requests, Seed: sc.Seed, Workers: sc.Workers, Rate: sc.Rate, Log: log,
	})
	if err != nil {
		return err
	}
	fmt.Print(re)
	return re.Check()
}
