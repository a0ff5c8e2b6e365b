package cmdln

import (
	"fmt"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/core/config"
)

type checkCmd struct {
	Program string `arg:"" enum:"router,sidecar,direct" help:"Program that the settings are for: router, sidecar or direct."`
	File    string `arg:"" type:"path" help:"Settings file in YAML."`
}

// Run loads the settings file and reports all findings in it.
func (cc checkCmd) Run(en *env) error {
	var err error
	switch cc.Program {
	case "router":
		_, err = conf.LoadRouter(cc.File)
	case "direct":
		_, err = conf.LoadDirectRouter(cc.File)
	default:
		_, err = conf.LoadSidecar(cc.File)
	}
	if err != nil {
		return errs.Settings.Wrap(err, "%s", cc.File)
	}
	_, err = fmt.Fprintln(en.out, "ok")
	return err
}

type keyCmd struct{}

// Run prints a new key and its hash.
func (keyCmd) Run(en *env) error {
	key := config.NewAPIKey()
	_, err := fmt.Fprintf(en.out, "key:     %s\nkeyHash: %s\n", key, config.HashAPIKey(key))
	return err
}
