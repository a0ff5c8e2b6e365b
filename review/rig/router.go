package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/procs"
)

const (
	program  = "target/balsamwood"
	template = "deploy/direct.yaml.tmpl"
	// readyTimeout bounds the start of a router.
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Router is a process with the command of the deploy file.
type Router struct {
	*procs.Proc
	Node                        string
	Front, ready, control, file string
	log                         *os.File
}

// NewRouter writes the settings of a router that listens on free ports. store is the
// address at which it reaches the platform's store, and seeds are Control addresses.
func NewRouter(dir, node, store string, seeds ...string) (*Router, error) {
	var ports [4]string
	for ix := range ports {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		ports[ix] = addr
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	ro := &Router{Node: node, Front: ports[0], ready: ports[1], control: ports[2], file: filepath.Join(dir, node+".yaml")}
	quote := func(val any) string {
		data, _ := json.Marshal(val)
		return string(data)
	}
	ip, port, _ := strings.Cut(ports[3], ":")
	seedList := quote(seeds)
	out := strings.NewReplacer(
		"{{Node|json}}", quote(node), "{{Zone|json}}", quote(Zone), "{{Bind.Front|json}}", quote(ro.Front),
		"{{PlatformStore.Address|json}}", quote(store), "{{Ip}}", ip, "{{PortRange.0}}", port,
		"{{Bind.Control|json}}", quote(ro.control), "{{Bind.Ready|json}}", quote(ro.ready),
		"[{{#SeedNodes}}{{.|json}}{{,}}{{/SeedNodes}}]", strings.Replace(seedList, "null", "[]", 1),
		"{{ContractParams.BudgetRatio}}", "0.2", "{{ContractParams.RetrySlack}}", "116",
		"{{Limits.MemoryMb}}", "206", "{{Limits.MaxFds}}", "1024", "{{ContractParams.GraceS}}", "8",
	).Replace(string(text))
	if strings.Contains(out, "{{") {
		return nil, fmt.Errorf("a placeholder of %s is not known", template)
	}
	return ro, os.WriteFile(ro.file, []byte(out), 0o600)
}

const (
	// firstPort begins a range below that of ephemeral ports, from which another process
	// could take a port before the router listens on it. Cases that run at the same time
	// use different blocks of the range.
	firstPort = 18000
	blockSize = 64
	blocks    = 200
)

// portsUsed counts the ports of the block that were tried.
var portsUsed int

// freeAddr returns an address on loopback on which nothing listens. It returns each
// address once.
func freeAddr() (string, error) {
	var last error
	for portsUsed < blockSize {
		port := firstPort + os.Getpid()%blocks*blockSize + portsUsed
		portsUsed++
		ls, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			last = err
			continue
		}
		return ls.Addr().String(), ls.Close()
	}
	return "", fmt.Errorf("no free port: %w", last)
}

// Control returns the Control address.
func (ro *Router) Control() string { return ro.control }

// Start starts the process and waits until it is ready.
func (ro *Router) Start(ctx context.Context) error {
	if err := os.Setenv("BALSAMWOOD_SETTINGS", ro.file); err != nil {
		return err
	}
	var err error
	if ro.log == nil {
		if ro.log, err = os.Create(ro.file + ".log"); err != nil {
			return err
		}
	}
	if ro.Proc, err = procs.Start(ro.Node, program, ro.log, "direct"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ro.Ready(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("router %s is not ready; last output: %q", ro.Node, ro.Tail(3))
		case <-time.After(pollInterval):
		}
	}
	if !ro.Running() {
		return fmt.Errorf("router %s has ended; last output: %q", ro.Node, ro.Tail(3))
	}
	return nil
}

// Ready reports whether the readiness check succeeds.
func (ro *Router) Ready(ctx context.Context) bool {
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ro.ready+"/api/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(re)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
