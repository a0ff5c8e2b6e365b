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
	// PeerListen is where other routers ask for unused escrow, by IP number.
	// Default: no listener, and other routers are not asked.
	PeerListen string       `yaml:"peerListen" rule:"addr"`
	Platform   Platform     `yaml:"platform" rule:"required"`
	TLS        TLS          `yaml:"tls" rule:"required"`
	Log        Log          `yaml:"log"`
	Limits     RouterLimits `yaml:"limits"`
	// Drain is the time allowed for a graceful shutdown. Default: 30s.
	Drain time.Duration `yaml:"drain" rule:"min=0s,max=10m"`
	// Recovery is the mean time between two looks for dead routers. Default: 5s.
	Recovery time.Duration `yaml:"recovery" rule:"min=10ms,max=10m"`
	// AdminKeys and the keys in AdminKeysFile are used together.
	AdminKeys     []AdminKey `yaml:"adminKeys"`
	AdminKeysFile string     `yaml:"adminKeysFile"`
}

// RouterLimits bounds the work of a router.
type RouterLimits struct {
	// MaxBody is the largest request body in bytes. Default: 786432, which
	// leaves room for the other fields of a frame of 1 MiB.
	MaxBody int64 `yaml:"maxBody" rule:"min=1024,max=1000000"`
	// MaxHeader is the largest request header in bytes. Default: 16384.
	MaxHeader int `yaml:"maxHeader" rule:"min=1024,max=1048576"`
	// MaxRunning bounds the requests in flight. Default: 4096.
	MaxRunning int `yaml:"maxRunning" rule:"min=1,max=1000000"`
	// Queue bounds the requests that wait for admission. Default: 1024.
	Queue int `yaml:"queue" rule:"min=0,max=1000000"`
	// Links bounds the sidecars to which a router keeps a link. Default: 64.
	Links int `yaml:"links" rule:"min=1,max=10000"`
}

// LoadRouter reads the settings of a router. The error is of type Findings.
func LoadRouter(path string) (Router, error) {
	ro := Router{
		Log:      defaultLog(),
		Drain:    defaultDrain,
		Recovery: 5 * time.Second,
		Limits: RouterLimits{
			MaxBody: 786432, MaxHeader: 16384, MaxRunning: 4096, Queue: 1024, Links: 64,
		},
	}
	de, err := decodeFile(path, &ro)
	if err != nil {
		return Router{}, err
	}
	if ro.AdminKeysFile != "" {
		more, finds := loadAdminKeys(ro.AdminKeysFile)
		ro.AdminKeys = append(ro.AdminKeys, more...)
		de.finds = append(de.finds, finds...)
	}
	if err := de.finds.asError(); err != nil {
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
	return keys, de.finds
}
