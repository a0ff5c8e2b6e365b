// Package cmdln implements the command line of the program balsamwood.
package cmdln

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/balsamwood/balsamwood/internal/adapt/errs"
)

// Version is the version of the program. The linker sets it for releases.
var Version = "dev"

// root holds all commands.
type root struct {
	Router  routerCmd        `cmd:"" help:"Run an entry router."`
	Sidecar sidecarCmd       `cmd:"" help:"Run the process beside an upstream."`
	Direct  directCmd        `cmd:"" help:"Run a router that calls upstreams itself, on a platform with an operator's store."`
	Check   checkCmd         `cmd:"" help:"Check a settings file without starting anything."`
	Intake  intakeCmd        `cmd:"" help:"Generate the configuration from the answers of the questionnaire."`
	Key     keyCmd           `cmd:"" help:"Make a random API key and print it with its hash."`
	Admin   adminCmd         `cmd:"" help:"Administer accounts, budgets, upstreams and the configuration through a router."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// env holds the context and the standard streams of a command.
type env struct {
	ctx context.Context
	in  io.Reader
	out io.Writer
	err io.Writer
}

// exit is the panic value that carries an exit code out of the parser, which would
// otherwise end the process for --help and --version.
type exit int

// Main runs the command in args and returns the exit code. ctx ends at a signal
// to stop.
func Main(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) (code int) {
	defer func() {
		if re := recover(); re != nil {
			ex, ok := re.(exit)
			if !ok {
				panic(re)
			}
			code = int(ex)
		}
	}()
	var ro root
	ps, err := kong.New(&ro,
		kong.Name("balsamwood"),
		kong.Description("Router fleet for prepaid token budgets. Exit codes are listed in docs/exit-codes.md."),
		kong.Vars{"version": Version},
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exit(code)) }),
		kong.UsageOnError(),
	)
	if err != nil {
		return report(errOut, errs.Internal.Wrap(err, "command line"))
	}
	kc, err := ps.Parse(args)
	if err != nil {
		ps.Errorf("%s", err)
		return errs.ExitUsage
	}
	return report(errOut, kc.Run(&env{ctx: ctx, in: in, out: out, err: errOut}))
}

func report(wr io.Writer, err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(wr, "balsamwood:", err)
	}
	return errs.ExitCode(err)
}

// Run runs the program with the process's arguments and streams.
func Run(ctx context.Context) int {
	return Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
}
