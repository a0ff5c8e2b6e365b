// Package deploy runs a deployment of separate processes on loopback: the
// platform's stand-in, engines and plain services, their sidecars and routers.
package deploy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/procs"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
)

// startTimeout bounds the start of a process and an update of the platform's VM
// list.
const startTimeout = 20 * time.Second

// Numbers of the events that report the start of a process with its addresses.
const (
	routerStarted  = 9101
	sidecarStarted = 9201
)

// Node is a process of the deployment with its addresses.
type Node struct {
	*procs.Proc
	// Addr is the main address, Admin that of the administration API and Ops that
	// of metrics and health checks.
	Addr  string
	Admin string
	Ops   string
}

// URL returns the base URL of the node's main address.
func (no *Node) URL() string { return "http://" + no.Addr }

// Deployment is a set of processes on loopback with a stand-in for the platform.
type Deployment struct {
	Platform *Node

	bin string
	dir string
	log io.Writer

	recoveryInterval time.Duration
	routerSettings   string

	mu    sync.Mutex
	nodes []*Node
	vms   []cloud.VM
}

// Option configures a Deployment.
type Option func(*Deployment)

// WithLog copies the output of all processes. The default discards it.
func WithLog(wr io.Writer) Option { return func(de *Deployment) { de.log = wr } }

// WithRecoveryInterval sets the mean time between two checks for dead routers. The
// default is that of the routers' settings.
func WithRecoveryInterval(every time.Duration) Option {
	return func(de *Deployment) { de.recoveryInterval = every }
}

// WithRouterSettings adds lines to the settings of all routers.
func WithRouterSettings(lines string) Option {
	return func(de *Deployment) { de.routerSettings = lines }
}

// New starts the platform's stand-in. bin is the directory with the programs.
// Settings files are written to dir.
func New(bin, dir string, opts ...Option) (*Deployment, error) {
	de := &Deployment{bin: bin, dir: dir}
	for _, op := range opts {
		op(de)
	}
	no, err := de.StartStandIn("platform", "platform")
	if err != nil {
		return nil, err
	}
	de.Platform = no
	return de, nil
}

// StartStandIn starts a stand-in of the kind platform, engine or service.
func (de *Deployment) StartStandIn(name, kind string, args ...string) (*Node, error) {
	pr, err := procs.Start(name, filepath.Join(de.bin, "balsamfake"), de.log,
		append([]string{kind, "--listen", "127.0.0.1:0"}, args...)...)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	line, err := pr.WaitLine(ctx, func(string) bool { return true })
	if err != nil {
		return nil, err
	}
	return de.addNode(&Node{Proc: pr, Addr: strings.TrimSpace(line)}), nil
}

func (de *Deployment) addNode(no *Node) *Node {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.nodes = append(de.nodes, no)
	return no
}

// StartSidecar starts the sidecar of an upstream and returns it with the
// upstream's entry for the configuration. The sidecar listens at addr, or at a free
// port if addr is empty.
func (de *Deployment) StartSidecar(up config.Upstream, upstream *Node, addr string) (*Node, config.Upstream, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	settings := fmt.Sprintf(`vm: %s
domain: %s
region: r1
upstream: %s
kind: %s
listen: %s
metricsListen: 127.0.0.1:0
upstreamURL: %s
platform: {table: %[7]s, objects: %[7]s, vms: %[7]s/vms}
tls: {disabled: true}
`, up.VM, up.Domain, up.ID, up.Kind, addr, upstream.URL(), de.Platform.URL())
	no, err := de.startProgram("sidecar-"+string(up.ID), "sidecar", settings, sidecarStarted)
	if err != nil {
		return nil, up, err
	}
	up.Sidecar = no.Addr
	return no, up, de.listVM(cloud.VM{ID: string(up.VM), Address: no.Addr, Domain: string(up.Domain), Role: vmRole(up.Kind)})
}

// StartRouter starts a router on the VM. The keys give operators access to its
// administration API.
func (de *Deployment) StartRouter(vm ident.VM, domain ident.Domain, keys ...AdminKey) (*Node, error) {
	settings := fmt.Sprintf(`vm: %s
domain: %s
region: r1
listen: 127.0.0.1:0
adminListen: 127.0.0.1:0
metricsListen: 127.0.0.1:0
peerListen: 127.0.0.1:0
platform: {table: %[3]s, objects: %[3]s, vms: %[3]s/vms}
tls: {disabled: true}
`, vm, domain, de.Platform.URL())
	if len(keys) > 0 {
		settings += "adminKeys:\n"
	}
	for _, ak := range keys {
		settings += fmt.Sprintf("  - {operator: %s, role: %s, keyHash: %s}\n", ak.Operator, ak.Role, config.HashAPIKey(ak.Key))
	}
	if de.recoveryInterval > 0 {
		settings += fmt.Sprintf("recovery: %s\n", de.recoveryInterval)
	}
	settings += de.routerSettings
	no, err := de.startProgram("router-"+string(vm), "router", settings, routerStarted)
	if err != nil {
		return nil, err
	}
	return no, de.listVM(cloud.VM{ID: string(vm), Address: no.Addr, Domain: string(domain), Role: "router"})
}

// AdminKey is the key with which an operator uses the administration API.
type AdminKey struct {
	Operator ident.Operator
	Role     string
	Key      string
}

func (de *Deployment) startProgram(name, command, settings string, started int) (*Node, error) {
	file := filepath.Join(de.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	pr, err := procs.Start(name, filepath.Join(de.bin, "balsamwood"), de.log, command, "--settings", file)
	if err != nil {
		return nil, err
	}
	no := &Node{Proc: pr}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err = pr.WaitLine(ctx, func(line string) bool { return no.parseAddresses(line, started) })
	if err != nil {
		return nil, err
	}
	return de.addNode(no), nil
}

// parseAddresses sets the addresses from the log line of the event that reports
// the start. It reports whether the line is this event.
func (no *Node) parseAddresses(line string, started int) bool {
	var ev struct {
		Event   int    `json:"event"`
		Address string `json:"address"`
		Admin   string `json:"admin"`
		Ops     string `json:"ops"`
	}
	if json.Unmarshal([]byte(line), &ev) != nil || ev.Event != started {
		return false
	}
	no.Addr, no.Admin, no.Ops = ev.Address, ev.Admin, ev.Ops
	return true
}

// Close stops all running processes in the reverse order of their start.
func (de *Deployment) Close() error {
	de.mu.Lock()
	defer de.mu.Unlock()
	var all []error
	for ix := len(de.nodes) - 1; ix >= 0; ix-- {
		if no := de.nodes[ix]; no.Running() {
			all = append(all, no.Stop())
		}
	}
	de.nodes = nil
	return errors.Join(all...)
}
