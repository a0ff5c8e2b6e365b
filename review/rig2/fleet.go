package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/opstor"
)

// The settings of a small deployment.
const (
	contactTime  = 3 * time.Second
	graceSeconds = 8
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	memoryMB     = 206
	linkMbps     = 700
	maxFDs       = 2870
	retryRatio   = 0.2
	retrySlack   = 116
)

// fleet is a deployment of routers as processes, with a store and engines.
type fleet struct {
	rec     *record
	dir     string
	store   *opstor.Store
	routers []*router
	engines []*engine
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	return &fleet{rec: rec, dir: dir, store: opstor.New()}, nil
}

// close ends all processes and stand-ins that were started.
func (fl *fleet) close() {
	for _, ro := range fl.routers {
		ro.kill()
	}
	for _, en := range fl.engines {
		en.close()
	}
	fl.store.Close()
	_ = os.RemoveAll(fl.dir)
}

// addEngine starts an engine of a service.
func (fl *fleet) addEngine(id, service string, serve serveFunc) (*engine, error) {
	en, err := newEngine(fl, id, service, serve)
	if err == nil {
		fl.engines = append(fl.engines, en)
	}
	return en, err
}

// router is one router process.
type router struct {
	fl       *fleet
	name     string
	settings string
	front    string
	ready    string
	cmd      *exec.Cmd
	done     chan struct{}
}

const (
	// firstPort is the first port of routers, and lastPort is above the last one. They are
	// below those that the system gives to outgoing channels, so that a router that starts
	// again finds its own still free. Each run begins in a block of its own, because others
	// may take place beside it.
	firstPort  = 12_000
	lastPort   = 30_000
	portBlock  = 32
	portBlocks = (lastPort - firstPort) / portBlock
)

// freePorts returns loopback addresses with free ports.
func freePorts(count int) ([]string, error) {
	var out []string
	for port := firstPort + os.Getpid()%portBlocks*portBlock; port < lastPort; port++ {
		if len(out) == count {
			return out, nil
		}
		ls, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = ls.Close()
		out = append(out, ls.Addr().String())
	}
	return nil, errors.New("too few free ports")
}

// addRouters writes the settings of routers and starts them. Each is the seed of the
// others.
func (fl *fleet) addRouters(ctx context.Context, names ...string) error {
	const portsPerRouter = 4
	ports, err := freePorts(portsPerRouter * len(names))
	if err != nil {
		return err
	}
	var seeds []string
	for no := range names {
		seeds = append(seeds, ports[no*portsPerRouter+2])
	}
	for no, name := range names {
		own := ports[no*portsPerRouter : (no+1)*portsPerRouter]
		ro := &router{fl: fl, name: name, settings: filepath.Join(fl.dir, name+".yaml"), front: own[0], ready: own[1]}
		if err := ro.writeSettings(fl.store.Addr(), own[2], own[3], seeds); err != nil {
			return err
		}
		fl.routers = append(fl.routers, ro)
		if err := ro.start(); err != nil {
			return err
		}
	}
	for _, ro := range fl.routers {
		if err := ro.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the template of the deploy file.
func (ro *router) writeSettings(store, control, metrics string, seeds []string) error {
	text, err := os.ReadFile(filepath.Join("deploy", "direct.yaml.tmpl"))
	if err != nil {
		return err
	}
	quote := func(val any) string {
		data, _ := json.Marshal(val)
		return string(data)
	}
	list := quote(seeds)
	host, port, _ := net.SplitHostPort(metrics)
	filled := strings.NewReplacer(
		"{{Node|json}}", quote(ro.name), "{{Zone|json}}", quote("z-a"), "{{Bind.Front|json}}", quote(ro.front),
		"{{PlatformStore.Address|json}}", quote(store), "{{Ip}}", host, "{{PortRange.0}}", port,
		"{{Bind.Control|json}}", quote(control), "{{#SeedNodes}}{{.|json}}{{,}}{{/SeedNodes}}", strings.Trim(list, "[]"),
		"{{Bind.Ready|json}}", quote(ro.ready), "{{ContractParams.BudgetRatio}}", fmt.Sprint(retryRatio),
		"{{ContractParams.RetrySlack}}", fmt.Sprint(retrySlack), "{{Limits.MemoryMb}}", fmt.Sprint(memoryMB),
		"{{ContractParams.GraceS}}", fmt.Sprint(graceSeconds),
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return fmt.Errorf("the template has a placeholder that is not known: %s", filled)
	}
	return os.WriteFile(ro.settings, []byte(filled), 0o600)
}

// start starts the process with the command of the deploy file.
func (ro *router) start() error {
	log, err := os.OpenFile(filepath.Join(ro.fl.dir, ro.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	ro.cmd = exec.Command(filepath.Join("target", "balsamwood"), "direct", fmt.Sprintf("--link-mbps=%d", linkMbps), fmt.Sprintf("--max-fds=%d", maxFDs))
	ro.cmd.Env = append(os.Environ(), "BALSAMWOOD_SETTINGS="+ro.settings)
	ro.cmd.Stdout, ro.cmd.Stderr = log, log
	ro.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := ro.cmd.Start(); err != nil {
		return err
	}
	ro.fl.rec.printf("%s started", ro.name)
	done, cmd := make(chan struct{}), ro.cmd
	ro.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// awaitReady waits until the router answers the platform's readiness check.
func (ro *router) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ro.ready+"/api/readiness", nil)
		if err != nil {
			return err
		}
		if rsp, err := http.DefaultClient.Do(re); err == nil {
			_ = rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				ro.fl.rec.printf("%s is ready", ro.name)
				return nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("%s is not ready: %w", ro.name, err)
		}
	}
}

// kill kills the process and waits for its end.
func (ro *router) kill() {
	if ro.done == nil {
		return
	}
	_ = ro.cmd.Process.Signal(syscall.SIGKILL)
	<-ro.done
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (ro *router) stop() {
	ro.fl.rec.printf("%s gets SIGTERM", ro.name)
	_ = ro.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ro.done:
	case <-time.After(graceSeconds * time.Second):
		ro.kill()
	}
	ro.fl.rec.printf("%s has ended", ro.name)
}

// restart starts the process again and waits until it is ready.
func (ro *router) restart(ctx context.Context) error {
	if err := ro.start(); err != nil {
		return err
	}
	return ro.awaitReady(ctx)
}

// sleep waits for the duration, or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}
