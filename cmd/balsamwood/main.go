// Command balsamwood runs routers, sidecars and the commands of operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/balsamwood/balsamwood/internal/role/cmdln"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmdln.Run(ctx)
	stop()
	os.Exit(code)
}
