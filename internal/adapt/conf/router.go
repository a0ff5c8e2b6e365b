package conf

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Router holds the settings of a router.
type Router struct {
	VM            ident.VM     `yaml:"vm" rule:"required"`
	Domain        ident.Domain `yaml:"domain" rule:"required"`
	Region        ident.Region `yaml:"region" rule:"required"`
	Listen        string       `yaml:"listen" rule:"required,addr"`
	AdminListen   string       `yaml:"adminListen" rule:"required,addr"`
	MetricsListen string       `yaml:"metricsListen" rule:"required,addr"`
	// PeerListen is the address for requests of other routers for unused escrow,
	// with an IP number. By default, there is no listener, and the router does
	// not request escrow from others.
	PeerListen string       `yaml:"peerListen" rule:"addr"`
	Platform   Platform     `yaml:"platform" rule:"required"`
	TLS        TLS          `yaml:"tls" rule:"required"`
	Log        Log          `yaml:"log"`
	Limits     RouterLimits `yaml:"limits"`
	// MemoryMB is the memory of the VM in megabytes. Default: 0, no limit.
	MemoryMB float64 `yaml:"memoryMB" rule:"min=32"`
	// MaxFDs is the number of file descriptors that the VM allows the process. Default:
	// 0, no limit.
	MaxFDs int `yaml:"maxFDs" rule:"min=0,max=1048576"`
	// Drain is the time allowed for a graceful shutdown. Default: 30s.
	Drain time.Duration `yaml:"drain" rule:"min=0s,max=10m"`
	// RecoveryInterval is the mean interval between two checks for dead routers.
	// Default: 5s.
	RecoveryInterval time.Duration `yaml:"recovery" rule:"min=10ms,max=10m"`
	// AdminKeys are the administration keys, in addition to those in the file
	// AdminKeysFile.
	AdminKeys     []AdminKey `yaml:"adminKeys"`
	AdminKeysFile string     `yaml:"adminKeysFile"`
}

// RouterLimits limits the work of a router.
type RouterLimits struct {
	// MaxBodyBytes is the largest size of a request body. Default: 786432, which
	// leaves room for the other fields of a frame of 1 MiB.
	MaxBodyBytes int64 `yaml:"maxBody" rule:"min=1024,max=1000000"`
	// MaxHeaderBytes is the largest size of a request header. Default: 16384.
	MaxHeaderBytes int `yaml:"maxHeader" rule:"min=1024,max=1048576"`
	// MaxRunning limits the requests in flight. Default: 4096.
	MaxRunning int `yaml:"maxRunning" rule:"min=1,max=1000000"`
	// QueueCapacity limits the requests that wait for admission. Default: 1024.
	QueueCapacity int `yaml:"queue" rule:"min=0,max=1000000"`
	// MaxLinks limits the number of sidecars to which the router keeps links open.
	// Default: 64.
	MaxLinks int `yaml:"links" rule:"min=1,max=10000"`
}

// LoadRouter reads the settings of a router. The error is of type Findings.
func LoadRouter(path string) (Router, error) {
	ro := Router{
		Log:              defaultLog(),
		Drain:            defaultDrainTimeout,
		RecoveryInterval: 5 * time.Second,
		Limits: RouterLimits{
			MaxBodyBytes: 786432, MaxHeaderBytes: 16384, MaxRunning: 4096, QueueCapacity: 1024, MaxLinks: 64,
		},
	}
	de, err := decodeFile(path, &ro)
	if err != nil {
		return Router{}, err
	}
	if ro.AdminKeysFile != "" {
		fileKeys, findings := loadAdminKeys(ro.AdminKeysFile)
		ro.AdminKeys = append(ro.AdminKeys, fileKeys...)
		de.findings = append(de.findings, findings...)
	}
	if err := de.findings.asError(); err != nil {
		return Router{}, err
	}
	return ro, nil
}

func loadAdminKeys(path string) ([]AdminKey, Findings) {
	var keys []AdminKey
	de, err := decodeFile(path, &keys)
	if err != nil {
		return nil, err.(Findings)
	}
	return keys, de.findings
}
