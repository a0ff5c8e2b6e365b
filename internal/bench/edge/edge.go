// Package edge runs direct routers as real processes with stand-ins for an
// operator's store and for upstreams, kills routers, and compares the responses
// with the stand-ins' records.
package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/procs"
	"github.com/balsamwood/balsamwood/internal/fake/opstor"
	"github.com/balsamwood/balsamwood/internal/fake/origin"
)

const (
	routerCount       = 2
	engineCount       = 2
	eventsPerResponse = 4
	eventGap          = 2 * time.Millisecond
	promptTokens      = 100
	maxOutputTokens   = 50
	tokensPerEvent    = 5
	readyTimeout      = 20 * time.Second
	pollInterval      = 20 * time.Millisecond
	callTimeout       = 5 * time.Second
	host              = "desk.example"
	account           = "desk"
	apiKey            = "demo-key"
	// Prepaid is the number of prepaid tokens of the account, enough for a hundred
	// questions.
	Prepaid = 12_000
)

// Result counts responses, and faults in the records of the stand-ins.
type Result struct {
	Served, Refused, Unknown int
	// OverspentTokens is the use beyond the prepaid tokens, DuplicateActions the
	// number of repeated runs of a request, and FalseNotRun the number of runs of
	// requests that were refused as not run.
	OverspentTokens, DuplicateActions, FalseNotRun int
	// Free is the number of prepaid tokens that are unused at the end.
	Free int
}

// Deployment is a running deployment of direct routers and stand-ins.
type Deployment struct {
	bin, dir     string
	log          io.Writer
	store        *opstor.Store
	engines      []*origin.Origin
	app          *origin.Origin
	routers      []*routerNode
	result       Result
	notRun       map[string]bool
	requestCount int
}

type routerNode struct {
	*procs.Proc
	settingsFile, addr, readyAddr string
}

// New starts the stand-ins and the routers. bin is the directory with the
// programs. Settings files are written to dir. The output of the routers goes to
// log unless it is nil.
func New(ctx context.Context, bin, dir string, log io.Writer) (*Deployment, error) {
	de := &Deployment{bin: bin, dir: dir, log: log, store: opstor.New(), notRun: map[string]bool{}}
	for no := range engineCount {
		or, err := de.startUpstream(fmt.Sprint("engine-", no), "llm")
		if err != nil {
			return nil, errors.Join(err, de.Close())
		}
		de.engines = append(de.engines, or)
	}
	var err error
	if de.app, err = de.startUpstream("app-1", "app"); err != nil {
		return nil, errors.Join(err, de.Close())
	}
	de.configure()
	for no := range routerCount {
		rn, err := de.writeSettings(fmt.Sprint("edge-", no))
		if err == nil {
			de.routers = append(de.routers, rn)
			err = de.startRouter(ctx, no)
		}
		if err != nil {
			return nil, errors.Join(err, de.Close())
		}
	}
	return de, nil
}

func (de *Deployment) startUpstream(id, service string) (*origin.Origin, error) {
	or, err := origin.New(id, eventsPerResponse, eventGap)
	if err != nil {
		return nil, err
	}
	de.store.Register(id, service, or.Addr())
	return or, nil
}

func (de *Deployment) configure() {
	de.store.Configure(1, opstor.Config{
		Host:     host,
		Routes:   []opstor.Route{{Prefix: "/question/", Kind: "stream", Service: "llm"}, {Prefix: "/voucher/", Kind: "non_idempotent", Service: "app"}},
		Engines:  []string{"llm"},
		Services: []string{"app"}, EventTokens: tokensPerEvent,
		Accounts: []opstor.Account{{Name: account, Key: apiKey, Prepaid: Prepaid}},
	})
}

// writeSettings writes the settings file of a router that listens on free ports.
func (de *Deployment) writeSettings(vm string) (*routerNode, error) {
	var ports [4]string
	for ix := range ports {
		ls, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		ports[ix] = ls.Addr().String()
		if err := ls.Close(); err != nil {
			return nil, err
		}
	}
	rn := &routerNode{settingsFile: filepath.Join(de.dir, vm+".yaml"), addr: ports[0], readyAddr: ports[1]}
	text := fmt.Sprintf("vm: %q\ndomain: z\nstore: %q\nlisten: %q\nready: {listen: %q, path: /ready}\npeerListen: %q\nmetricsListen: %q\ndrain: 3s\n",
		vm, de.store.Addr(), ports[0], ports[1], ports[2], ports[3])
	return rn, os.WriteFile(rn.settingsFile, []byte(text), 0o600)
}

// startRouter starts the router with the index and waits until it is ready.
func (de *Deployment) startRouter(ctx context.Context, no int) error {
	rn := de.routers[no]
	var err error
	if rn.Proc, err = procs.Start(filepath.Base(rn.settingsFile), filepath.Join(de.bin, "balsamwood"), de.log, "direct", "-s", rn.settingsFile); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+rn.readyAddr+"/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(re); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("edge: the router with the settings %s is not ready; last output: %q", rn.settingsFile, rn.Tail(3))
		case <-time.After(pollInterval):
		}
	}
}

// KillAndRestart kills a router and starts it again.
func (de *Deployment) KillAndRestart(ctx context.Context, no int) error {
	de.routers[no].Kill()
	return de.startRouter(ctx, no)
}

// SendQuestions sends streamed questions to the routers in turn.
func (de *Deployment) SendQuestions(ctx context.Context, count int) {
	for no := range count {
		de.send(ctx, no%len(de.routers), "/question/", true)
	}
}

// SendVouchers sends calls that may run at most once. The upstream loses its
// response after it ran a call if the last digit of the call's number is a multiple
// of lossEvery. Zero loses none.
func (de *Deployment) SendVouchers(ctx context.Context, count, lossEvery int) {
	de.app.SetFaults(func(id string) origin.Fault {
		if lossEvery > 0 && len(id) > 0 && int(id[len(id)-1]-'0')%lossEvery == 0 {
			return origin.Reset
		}
		return origin.None
	})
	for no := range count {
		de.send(ctx, no%len(de.routers), "/voucher/", false)
	}
}

func (de *Deployment) send(ctx context.Context, no int, path string, tokens bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	de.requestCount++
	ca := origin.Call{ID: fmt.Sprintf("r%06d", de.requestCount), Host: host, Path: path, Key: apiKey}
	if tokens {
		ca.Prompt, ca.Output = promptTokens, maxOutputTokens
	}
	status, body, err := ca.Send(ctx, de.routers[no].addr)
	switch {
	case err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		de.result.Unknown++
	case status != http.StatusOK:
		de.result.Refused++
		de.notRun[ca.ID] = true
	case tokens && strings.Count(body, "id: ") != eventsPerResponse:
		de.result.Unknown++
	default:
		de.result.Served++
	}
}

// Audit stops the routers and counts faults in the records of the stand-ins.
func (de *Deployment) Audit() (Result, error) {
	var all []error
	for _, rn := range de.routers {
		all = append(all, rn.Stop())
	}
	seen, used := map[string]int{}, 0
	count := func(or *origin.Origin, tokens int) {
		for _, ru := range or.Runs() {
			used += tokens
			if seen[ru.ID]++; seen[ru.ID] > 1 {
				de.result.DuplicateActions++
			}
			if de.notRun[ru.ID] {
				de.result.FalseNotRun++
			}
		}
	}
	for _, or := range de.engines {
		count(or, promptTokens+eventsPerResponse*tokensPerEvent)
	}
	count(de.app, 0)
	de.result.OverspentTokens = max(0, used-Prepaid)
	de.result.Free = Prepaid - used
	return de.result, errors.Join(all...)
}

// Close stops the routers and the stand-ins.
func (de *Deployment) Close() error {
	var all []error
	for _, rn := range de.routers {
		if rn.Proc != nil {
			all = append(all, rn.Stop())
		}
	}
	for _, or := range de.engines {
		or.Close()
	}
	if de.app != nil {
		de.app.Close()
	}
	de.store.Close()
	return errors.Join(all...)
}
