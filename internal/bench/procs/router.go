package procs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// readyTimeout bounds the time until a router is ready.
	readyTimeout = 20 * time.Second
	// readyInterval is the time between two questions whether it is.
	readyInterval = 50 * time.Millisecond
)

// RouterAddrs are the addresses at which a direct router listens.
type RouterAddrs struct{ Callers, Ready, Peers, Metrics string }

// FreeRouterAddrs returns free addresses.
func FreeRouterAddrs() (RouterAddrs, error) {
	var ra RouterAddrs
	for _, addr := range []*string{&ra.Callers, &ra.Ready, &ra.Peers, &ra.Metrics} {
		var err error
		if *addr, err = FreeAddr(); err != nil {
			return ra, err
		}
	}
	return ra, nil
}

// returnedAddrs holds the addresses that FreeAddr has returned. The system may choose the
// port of a closed listener again.
var returnedAddrs sync.Map

// FreeAddr returns a free address on a loopback address of this process. On 127.0.0.1
// another process, or an outgoing connection, may take the port before a router listens
// on it.
func FreeAddr() (string, error) {
	pid := os.Getpid()
	for {
		ls, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16%250, pid>>8%256, 1+pid%254))
		if err != nil {
			return "", err
		}
		addr := ls.Addr().String()
		_ = ls.Close()
		if _, taken := returnedAddrs.LoadOrStore(addr, true); !taken {
			return addr, nil
		}
	}
}

// RouterSettings are those of a direct router.
type RouterSettings struct {
	VM, Store string
	Addrs     RouterAddrs
	// MemoryMB and MaxFDs are the limits of the VM.
	MemoryMB, MaxFDs int
}

// StartRouter starts a direct router from the directory bin and waits until it is ready.
// Its settings file is written to dir. After an error, the process may run.
func StartRouter(ctx context.Context, bin, dir string, rs RouterSettings) (*Proc, error) {
	text := fmt.Sprintf("vm: %s\ndomain: z\nstore: %q\nlisten: %q\nready: {listen: %q, path: /ready}\npeerListen: %q\nmetricsListen: %q\nmemoryMB: %d\nmaxFDs: %d\n",
		rs.VM, rs.Store, rs.Addrs.Callers, rs.Addrs.Ready, rs.Addrs.Peers, rs.Addrs.Metrics, rs.MemoryMB, rs.MaxFDs)
	file := filepath.Join(dir, rs.VM+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	pr, err := Start(rs.VM, filepath.Join(bin, "balsamwood"), nil, "direct", "-s", file)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+rs.Addrs.Ready+"/ready", nil)
		if err != nil {
			return pr, err
		}
		if resp, err := http.DefaultClient.Do(re); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return pr, nil
			}
		}
		select {
		case <-ctx.Done():
			return pr, fmt.Errorf("procs: the router is not ready; last output: %q", pr.Tail(3))
		case <-time.After(readyInterval):
		}
	}
}
