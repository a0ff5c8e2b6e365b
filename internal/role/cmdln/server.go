package cmdln

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/adapt/logs"
	"github.com/balsamwood/balsamwood/internal/adapt/serve"
	"github.com/balsamwood/balsamwood/internal/adapt/stats"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/role/direct"
	"github.com/balsamwood/balsamwood/internal/role/router"
	"github.com/balsamwood/balsamwood/internal/role/side"
	"github.com/balsamwood/balsamwood/platform"
)

type routerCmd struct {
	Settings string `required:"" short:"s" type:"path" help:"Settings file in YAML."`
}

// Run runs a router until the program is told to stop.
func (rc routerCmd) Run(en *env) error {
	set, err := conf.LoadRouter(rc.Settings)
	if err != nil {
		return errs.Settings.Wrap(err, "%s", rc.Settings)
	}
	setMemoryLimit(set.MemoryMB)
	me := newMeter(en.err, set.Log, set.VM)
	defer func() { _ = me.Close() }()
	ro, err := router.New(set, me, newOpsServer(set.MetricsListen, me))
	if err != nil {
		return err
	}
	return ro.Run(en.ctx)
}

type sidecarCmd struct {
	Settings string `required:"" short:"s" type:"path" help:"Settings file in YAML."`
}

// Run runs a sidecar until the program is told to stop.
func (sc sidecarCmd) Run(en *env) error {
	set, err := conf.LoadSidecar(sc.Settings)
	if err != nil {
		return errs.Settings.Wrap(err, "%s", sc.Settings)
	}
	me := newMeter(en.err, set.Log, set.VM)
	defer func() { _ = me.Close() }()
	si, err := side.New(set, me, newOpsServer(set.MetricsListen, me))
	if err != nil {
		return err
	}
	return si.Run(en.ctx)
}

type directCmd struct {
	Settings string       `required:"" short:"s" type:"path" env:"BALSAMWOOD_SETTINGS" help:"Settings file in YAML."`
	LinkMbps machineLimit `help:"Rate of the VM's network link in megabits per second, in place of linkMbps of the settings file."`
	MaxFDs   machineLimit `name:"max-fds" help:"Number of file descriptors that the VM allows the process, in place of maxFDs of the settings file."`
}

// machineLimit is a limit of a VM that a deployment fills in. An empty text means that the
// limit is not known.
type machineLimit float64

// UnmarshalText parses a positive number.
func (ml *machineLimit) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*ml = 0
		return nil
	}
	num, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(num >= 0 && num <= maxMachineLimit) {
		return fmt.Errorf("want a number from 0 to %d, got %q", maxMachineLimit, text)
	}
	*ml = machineLimit(num)
	return nil
}

// settings returns the settings of the file with the limits of the command line.
func (dc directCmd) settings() (conf.DirectRouter, error) {
	set, err := conf.LoadDirectRouter(dc.Settings)
	if err != nil {
		return set, err
	}
	if dc.LinkMbps > 0 {
		set.LinkMbps = float64(dc.LinkMbps)
	}
	if dc.MaxFDs > 0 {
		set.MaxFDs = int(dc.MaxFDs)
	}
	return set, nil
}

const (
	// maxMachineLimit bounds the limits of a VM on the command line.
	maxMachineLimit = 1_000_000
	// memoryShare is the share of the VM's memory that the Go runtime may use.
	// Memory outside its limit, such as kernel buffers and the stacks of threads,
	// needs the rest.
	memoryShare = 0.6
	// gcPercent trades memory for processor time: a collection starts when the heap
	// has grown to three times its live size.
	gcPercent = 200
)

// setMemoryLimit sets the soft limit of the Go runtime for a VM with so many megabytes.
func setMemoryLimit(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * memoryShare * 1e6))
	}
}

// Run runs a direct router until the program is told to stop.
func (dc directCmd) Run(en *env) error {
	set, err := dc.settings()
	if err != nil {
		return errs.Settings.Wrap(err, "%s", dc.Settings)
	}
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(set.MemoryMB)
	out := logs.NewQueue(en.out)
	defer out.Close()
	me := newMeter(out, set.Log, set.VM)
	defer func() { _ = me.Close() }()
	out.OnDrop(func(lines int64) { me.Count("logLinesDropped", "", "", lines) })
	li := direct.NewLink(set)
	pf := platform.New(set.Store, platform.WithMeter(me), platform.WithHTTP(client.WithLink(li)))
	ro, err := direct.New(set, me, me.Handler(), pf, direct.WithLink(li))
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, cancel := context.WithCancel(en.ctx)
	var reloads sync.WaitGroup
	reloads.Go(func() { dc.reload(ctx, hup, ro) })
	err = ro.Run(ctx)
	cancel()
	reloads.Wait()
	return err
}

// reload reads the settings again and applies them at each signal.
func (dc directCmd) reload(ctx context.Context, hup <-chan os.Signal, ro *direct.Router) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			ro.Reload(dc.settings())
		}
	}
}

func newMeter(wr io.Writer, lo conf.Log, vm ident.VM) *stats.Meter {
	return stats.NewMeter(logs.NewLogger(wr,
		logs.WithSettings(lo.Level, lo.Format), logs.WithAttrs(slog.String("vm", string(vm)))))
}

// newOpsServer returns the function that creates the server for health checks and
// metrics.
func newOpsServer(addr string, me *stats.Meter) func(ready func() error) (*serve.Server, error) {
	return func(ready func() error) (*serve.Server, error) {
		return serve.New(addr, serve.OpsHandler(me.Handler(), ready))
	}
}
