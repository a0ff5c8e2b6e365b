package crowd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/procs"
	"github.com/balsamwood/balsamwood/internal/fake/opstor"
	"github.com/balsamwood/balsamwood/internal/fake/origin"
)

const (
	host        = "desk.example"
	path        = "/voucher/"
	ordinaryKey = "ordinary-key"
	// Key is the API key of an account for the crowd.
	Key         = "crowd-key"
	callTimeout = 5 * time.Second
	// maxCalls is the number of times that an ordinary request is sent until it is
	// served. A refusal guarantees that it did not run.
	maxCalls = 10
)

// Limits are the lowered limits in the settings and in the configuration.
type Limits struct {
	MemoryMB, MaxFDs, MaxBodyBytes int
}

// Router is a direct router with its stand-ins.
type Router struct {
	*procs.Proc
	// Target is where callers send their requests.
	Target Target
	store  *opstor.Store
	app    *origin.Origin
	calls  int
}

// NewRouter starts the stand-ins and the router from the directory bin, and waits until
// it is ready. Its settings file is written to dir.
func NewRouter(ctx context.Context, bin, dir string, li Limits) (*Router, error) {
	app, err := origin.New("app-1", 0, 0)
	if err != nil {
		return nil, err
	}
	ro := &Router{store: opstor.New(), app: app}
	ro.store.Register("app-1", "app", app.Addr())
	ro.store.Configure(1, opstor.Config{
		Host: host, Routes: []opstor.Route{{Prefix: path, Kind: "non_idempotent", Service: "app"}}, Services: []string{"app"},
		Accounts: []opstor.Account{{Name: "desk", Key: ordinaryKey, Prepaid: 1000}, {Name: "crowd", Key: Key, Prepaid: 1000}}, MaxBodyBytes: li.MaxBodyBytes,
	})
	if err := ro.start(ctx, bin, dir, li); err != nil {
		return nil, errors.Join(err, ro.Close())
	}
	return ro, nil
}

func (ro *Router) start(ctx context.Context, bin, dir string, li Limits) error {
	addrs, err := procs.FreeRouterAddrs()
	if err != nil {
		return err
	}
	ro.Target = Target{Addr: addrs.Callers, Path: path, Key: Key}
	ro.Proc, err = procs.StartRouter(ctx, bin, dir, procs.RouterSettings{
		VM: "edge", Store: ro.store.Addr(), Addrs: addrs, MemoryMB: li.MemoryMB, MaxFDs: li.MaxFDs,
	})
	return err
}

// Call sends an ordinary request until it is served, at most maxCalls times.
func (ro *Router) Call(ctx context.Context) error {
	var all []error
	for range maxCalls {
		ro.calls++
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		ca := origin.Call{ID: fmt.Sprint("ordinary", ro.calls), Host: host, Path: path, Key: ordinaryKey}
		status, body, err := ca.Send(callCtx, ro.Target.Addr)
		cancel()
		if err == nil && status == http.StatusOK {
			return nil
		}
		all = append(all, fmt.Errorf("status %d, %q: %w", status, body, err))
	}
	return errors.Join(all...)
}

// Close stops the router and the stand-ins.
func (ro *Router) Close() error {
	var err error
	if ro.Proc != nil {
		err = ro.Stop()
	}
	ro.app.Close()
	ro.store.Close()
	return err
}
