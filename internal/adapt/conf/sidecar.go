package conf

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	VM       ident.VM       `yaml:"vm" rule:"required"`
	Domain   ident.Domain   `yaml:"domain" rule:"required"`
	Region   ident.Region   `yaml:"region" rule:"required"`
	Upstream ident.Upstream `yaml:"upstream" rule:"required"`
	Kind     config.Kind    `yaml:"kind" rule:"required,oneof=engine|plain"`
	// Listen is the address to which routers open links.
	Listen        string        `yaml:"listen" rule:"required,addr"`
	MetricsListen string        `yaml:"metricsListen" rule:"required,addr"`
	UpstreamURL   string        `yaml:"upstreamURL" rule:"required,url"`
	Platform      Platform      `yaml:"platform" rule:"required"`
	TLS           TLS           `yaml:"tls" rule:"required"`
	Log           Log           `yaml:"log"`
	Limits        SidecarLimits `yaml:"limits"`
	// Drain is the time allowed for a graceful shutdown. Default: 30s.
	Drain time.Duration `yaml:"drain" rule:"min=0s,max=10m"`
}

// SidecarLimits limits the work and the memory of a sidecar.
type SidecarLimits struct {
	// MaxRunning limits the attempts in flight. Default: 256.
	MaxRunning int `yaml:"maxRunning" rule:"min=1,max=100000"`
	// QueueCapacity limits the attempts that wait for the upstream. Default: 64.
	QueueCapacity int `yaml:"queue" rule:"min=0,max=100000"`
	// ReplayBytes limits the output of one stream that is buffered for resumption,
	// in bytes. Default: 1048576.
	ReplayBytes int `yaml:"replayBytes" rule:"min=4096,max=67108864"`
	// ReplayFor is how long the output of a finished attempt is buffered.
	// Default: 1m.
	ReplayFor time.Duration `yaml:"replayFor" rule:"min=0s,max=1h"`
}

// LoadSidecar reads the settings of a sidecar. The error is of type Findings.
func LoadSidecar(path string) (Sidecar, error) {
	si := Sidecar{
		Log:   defaultLog(),
		Drain: defaultDrainTimeout,
		Limits: SidecarLimits{
			MaxRunning: 256, QueueCapacity: 64, ReplayBytes: 1 << 20, ReplayFor: time.Minute,
		},
	}
	de, err := decodeFile(path, &si)
	if err != nil {
		return Sidecar{}, err
	}
	if err := de.findings.asError(); err != nil {
		return Sidecar{}, err
	}
	return si, nil
}
