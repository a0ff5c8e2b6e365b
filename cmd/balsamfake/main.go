// Command balsamfake runs the stand-ins for the platform, a model engine and a
// plain service.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/balsamwood/balsamwood/internal/fake/progs"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	kc := kong.Parse(&progs.Commands{},
		kong.Name("balsamfake"), kong.Description(progs.Description),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	kc.FatalIfErrorf(kc.Run())
}
