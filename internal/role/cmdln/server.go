package cmdln

import (
	"io"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/adapt/logs"
	"github.com/balsamwood/balsamwood/internal/adapt/serve"
	"github.com/balsamwood/balsamwood/internal/adapt/stats"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/role/router"
	"github.com/balsamwood/balsamwood/internal/role/side"
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
	me := newMeter(en.err, set.Log, set.VM)
	defer func() { _ = me.Close() }()
	ro, err := router.New(set, me, opsServer(set.MetricsListen, me))
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
	si, err := side.New(set, me, opsServer(set.MetricsListen, me))
	if err != nil {
		return err
	}
	return si.Run(en.ctx)
}

func newMeter(wr io.Writer, lo conf.Log, vm ident.VM) *stats.Meter {
	return stats.NewMeter(logs.NewLogger(wr,
		logs.WithSettings(lo.Level, lo.Format), logs.WithAttrs(slog.String("vm", string(vm)))))
}

func opsServer(addr string, me *stats.Meter) func(ready func() error) (*serve.Server, error) {
	return func(ready func() error) (*serve.Server, error) {
		return serve.New(addr, serve.Ops(me.Handler(), ready))
	}
}
