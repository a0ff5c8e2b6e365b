package conf

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Platform holds the base URLs of the services of the platform.
type Platform struct {
	Table   string `yaml:"table" rule:"required,url"`
	Objects string `yaml:"objects" rule:"required,url"`
	VMs     string `yaml:"vms" rule:"required,url"`
}

// TLS holds the paths of PEM files. The CA of the fleet signs the certificates of
// routers and sidecars.
type TLS struct {
	// Disabled turns TLS off for all connections. It is for tests and the demo.
	Disabled bool   `yaml:"disabled"`
	FleetCA  string `yaml:"fleetCA"`
	Cert     string `yaml:"cert"`
	Key      string `yaml:"key"`
	// CallerCert and CallerKey are used for connections of callers to a router.
	// The defaults are Cert and Key.
	CallerCert string `yaml:"callerCert"`
	CallerKey  string `yaml:"callerKey"`
}

func (tl *TLS) check(report func(path, format string, args ...any)) {
	if tl.Disabled {
		return
	}
	const missing = "missing key; TLS is on unless tls.disabled is true"
	for _, it := range []struct{ name, val string }{
		{"fleetCA", tl.FleetCA}, {"cert", tl.Cert}, {"key", tl.Key},
	} {
		if it.val == "" {
			report(it.name, missing)
		}
	}
	if (tl.CallerCert == "") != (tl.CallerKey == "") {
		report("callerCert", "callerCert and callerKey must be set together")
	}
}

// Log selects the level and the format of the log.
type Log struct {
	// Level is the lowest level that is logged. Default: info.
	Level string `yaml:"level" rule:"oneof=debug|info|warn|error"`
	// Format is json or text. Default: json.
	Format string `yaml:"format" rule:"oneof=json|text"`
}

// AdminKey is a key with which an operator can use the administration API.
type AdminKey struct {
	Operator ident.Operator `yaml:"operator" rule:"required"`
	// Role is viewer (read only), operator (also budgets and configuration) or
	// admin (everything, including closing incarnations manually).
	Role    string `yaml:"role" rule:"required,oneof=viewer|operator|admin"`
	KeyHash string `yaml:"keyHash" rule:"required,hash"`
}

func defaultLog() Log { return Log{Level: "info", Format: "json"} }

// defaultDrainTimeout leaves time for a long response at the planned token rate.
const defaultDrainTimeout = 30 * time.Second
