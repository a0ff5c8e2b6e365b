package conf

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Direct holds the settings of a router that calls upstreams itself.
type Direct struct {
	VM     ident.VM     `yaml:"vm" rule:"required"`
	Domain ident.Domain `yaml:"domain" rule:"required"`
	Listen string       `yaml:"listen" rule:"required,addr"`
	// Store is the address of the platform's store.
	Store         string `yaml:"store" rule:"required,addr"`
	MetricsListen string `yaml:"metricsListen" rule:"required,addr"`
	Ready         Ready  `yaml:"ready" rule:"required"`
	// PeerListen is where other routers ask for the newest configuration.
	PeerListen string `yaml:"peerListen" rule:"required,addr"`
	// Seeds lists addresses of other routers that may be stale.
	Seeds []string `yaml:"seeds" rule:"addr"`
	// Weight says which error hurts the accounts more. Default: refusal.
	Weight config.Weight `yaml:"weight" rule:"oneof=refusal|overspend"`
	// Drain is the time between the signal to stop and the end by force.
	// Default: 8s.
	Drain   time.Duration `yaml:"drain" rule:"min=0s,max=10m"`
	Retries Retries       `yaml:"retries"`
	// MemoryMB is the memory of the VM in megabytes. Default: no limit.
	MemoryMB float64 `yaml:"memoryMB" rule:"min=32"`
	Log      Log     `yaml:"log"`
}

// Ready is where the platform asks whether the router takes callers.
type Ready struct {
	Listen string `yaml:"listen" rule:"required,addr"`
	// Path is answered with 200 when the router is ready, or else 503.
	Path string `yaml:"path" rule:"required"`
}

// Retries is the allowance for repeated sends to one service.
type Retries struct {
	// Ratio is the number of repeated sends for each request. Default: 0.1.
	Ratio float64 `yaml:"ratio" rule:"min=0,max=1"`
	// Slack is the number of further sends that all routers together may make
	// within a window. Default: 50.
	Slack float64 `yaml:"slack" rule:"min=0,max=100000"`
	// Routers is the least number of routers that the slack is shared among; a
	// larger fleet shares it among all. Default: 16.
	Routers int `yaml:"routers" rule:"min=1,max=100000"`
}

// LoadDirect reads the settings of a router that calls upstreams itself. The
// error is of type Findings.
func LoadDirect(path string) (Direct, error) {
	di := Direct{
		Weight: config.WeighRefusal, Drain: 8 * time.Second, Log: defaultLog(),
		Retries: Retries{Ratio: 0.1, Slack: 50, Routers: 16},
	}
	de, err := decodeFile(path, &di)
	if err != nil {
		return Direct{}, err
	}
	if err := de.finds.asError(); err != nil {
		return Direct{}, err
	}
	return di, nil
}
