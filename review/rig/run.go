package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/opstor"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	maxTime = 110 * time.Second
)

// Deployment is a running deployment with its stand-ins.
type Deployment struct {
	*Record
	Store   *opstor.Store
	Engines []*Engine
	Routers []*Router
	Proxies []*Proxy
	dir     string
}

// Main runs a case and exits. The first argument names the folder for the record; the
// second one is the value of TROUBLE, which is 0 for a run without the disruption. The
// function returns whether the rule was broken.
func Main(run func(ctx context.Context, de *Deployment, trouble bool) (bool, error)) {
	os.Exit(mainCode(run))
}

func mainCode(run func(ctx context.Context, de *Deployment, trouble bool) (bool, error)) int {
	if len(os.Args) != 3 {
		fmt.Println("usage: case FOLDER TROUBLE")
		return notRun
	}
	rc, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer func() { _ = rc.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		rc.Say("%v", err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	de := &Deployment{Record: rc, Store: opstor.New(), dir: dir}
	defer de.close()
	trouble := os.Args[2] != "0"
	rc.Say("disruption: %v", trouble)
	failed, err := run(ctx, de, trouble)
	switch {
	case err != nil:
		rc.Say("the case could not run: %v", err)
		return notRun
	case failed:
		rc.Say("the rule was broken")
		return broken
	default:
		rc.Say("the rule held")
		return held
	}
}

// close ends all processes and stand-ins.
func (de *Deployment) close() {
	for _, ro := range de.Routers {
		if ro.Proc != nil {
			if !ro.Running() {
				de.Say("router %s has ended by itself; last output: %q", ro.Node, ro.Tail(3))
			}
			ro.Kill()
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			if data, err := os.ReadFile(ro.file + ".log"); err == nil {
				_ = os.WriteFile(filepath.Join(keep, ro.Node+".log"), data, 0o600)
			}
		}
	}
	for _, en := range de.Engines {
		en.Stop()
	}
	for _, px := range de.Proxies {
		px.Close()
	}
	de.Store.Close()
}

// AddEngine starts an engine and lets it check in. state returns what it reports.
func (de *Deployment) AddEngine(ctx context.Context, id, service string, answer Answer, state func() string) (*Engine, error) {
	en, err := NewEngine(id, service, de.Record, answer)
	if err != nil {
		return nil, err
	}
	de.Engines = append(de.Engines, en)
	CheckinOnce(de.Store, en, state())
	go Checkin(ctx, de.Store, en, state)
	de.Add("engine %s of %s at %s", id, service, en.Addr)
	return en, nil
}

// AddRouters starts routers that reach the store through proxies of their own.
func (de *Deployment) AddRouters(ctx context.Context, count int) error {
	var seeds []string
	for no := range count {
		px, err := NewProxy(de.Store.Addr())
		if err != nil {
			return err
		}
		de.Proxies = append(de.Proxies, px)
		ro, err := NewRouter(de.dir, fmt.Sprint("edge-", no), px.Addr(), seeds...)
		if err != nil {
			return err
		}
		seeds = append(seeds, ro.Control())
		de.Routers = append(de.Routers, ro)
	}
	for _, ro := range de.Routers {
		if err := ro.Start(ctx); err != nil {
			return err
		}
		de.Add("router %s is ready at %s", ro.Node, ro.Front)
	}
	return nil
}

// Pause waits for the duration or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// Ready is the state of an engine that accepts requests.
func Ready() string { return "ready" }
