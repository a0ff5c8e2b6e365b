package main

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/path"
)

type pathCmd struct {
	Bin       string        `type:"path" help:"Directory with the programs (default: that of this program)."`
	Streams   []int         `default:"1,200" help:"Numbers of streams at once (default ${default})."`
	Rounds    int           `default:"10" help:"Requests of each stream to each target, at least 40 in all (default ${default})."`
	TokenTime time.Duration `default:"43ms" help:"Time of the engine for one token (default ${default}, the planned pace)."`
}

// Run measures the latency that router and sidecar add to a direct call.
func (pc pathCmd) Run(ctx context.Context) error {
	bin, err := programDir(pc.Bin)
	if err != nil {
		return err
	}
	results, err := path.Run(ctx, path.Options{Bin: bin, Streams: pc.Streams, Rounds: pc.Rounds, TokenTime: pc.TokenTime})
	if err != nil {
		return err
	}
	fmt.Print(path.Render(results))
	return nil
}
