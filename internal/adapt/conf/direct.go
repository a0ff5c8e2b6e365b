package conf

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// DirectRouter holds the settings of a router that calls upstreams directly,
// without sidecars.
type DirectRouter struct {
	VM     ident.VM     `yaml:"vm" rule:"required"`
	Domain ident.Domain `yaml:"domain" rule:"required"`
	Listen string       `yaml:"listen" rule:"required,addr"`
	// Store is the address of the platform's store.
	Store          string         `yaml:"store" rule:"required,addr"`
	MetricsListen  string         `yaml:"metricsListen" rule:"required,addr"`
	ReadinessCheck ReadinessCheck `yaml:"ready" rule:"required"`
	// PeerListen is the address for requests of other routers: for the newest
	// configuration, for unused escrow, for access to the table, and to store the
	// statement of a router that ends.
	PeerListen string `yaml:"peerListen" rule:"required,addr"`
	// Seeds lists addresses of other routers. They may be out of date.
	Seeds []string `yaml:"seeds" rule:"addr"`
	// Preference says which error weighs more for the accounts: a false refusal or
	// overspend. Default: refusal.
	Preference config.Preference `yaml:"weight" rule:"oneof=refusal|overspend"`
	// Drain is the time allowed for a graceful shutdown, from the stop signal
	// until the process is killed. Default: 8s.
	Drain       time.Duration `yaml:"drain" rule:"min=0s,max=10m"`
	RetryBudget RetryBudget   `yaml:"retries"`
	// MemoryMB is the memory of the VM in megabytes. Default: no limit.
	MemoryMB float64 `yaml:"memoryMB" rule:"min=32"`
	// LinkMbps is the rate of the VM's network link in each direction, in megabits per
	// second. Requests that would wait on it for too long are refused. Default: not
	// known, nothing is refused.
	LinkMbps float64 `yaml:"linkMbps" rule:"min=0,max=1000000"`
	// MaxFDs is the number of file descriptors that the VM allows the process. Default:
	// 0, no limit.
	MaxFDs int `yaml:"maxFDs" rule:"min=0,max=1048576"`
	Log    Log `yaml:"log"`
}

// ReadinessCheck holds the address of the readiness check, with which the platform
// finds out whether the router accepts callers.
type ReadinessCheck struct {
	Listen string `yaml:"listen" rule:"required,addr"`
	// Path is the path of the check. The response has status 200 if the router
	// is ready, else 503.
	Path string `yaml:"path" rule:"required"`
}

// RetryBudget holds the retry budget of each service.
type RetryBudget struct {
	// Ratio is the number of retries per request. Default: 0.1.
	Ratio float64 `yaml:"ratio" rule:"min=0,max=1"`
	// Reserve is the number of retries that all routers together may make within a
	// window in addition to Ratio. Default: 50.
	Reserve float64 `yaml:"slack" rule:"min=0,max=100000"`
	// Routers is the minimum number of routers among which Reserve is divided. It
	// is divided by one and a half times the number of known routers if that is
	// larger. Default: 16.
	Routers int `yaml:"routers" rule:"min=1,max=100000"`
}

// LoadDirectRouter reads the settings of a router that calls upstreams directly.
// The error is of type Findings.
func LoadDirectRouter(path string) (DirectRouter, error) {
	dr := DirectRouter{
		Preference: config.AvoidRefusal, Drain: 8 * time.Second, Log: defaultLog(),
		RetryBudget: RetryBudget{Ratio: 0.1, Reserve: 50, Routers: 16},
	}
	de, err := decodeFile(path, &dr)
	if err != nil {
		return DirectRouter{}, err
	}
	if err := de.findings.asError(); err != nil {
		return DirectRouter{}, err
	}
	return dr, nil
}
