// Package edge runs direct routers as real processes between stand-ins for an
// operator's store and for upstreams, kills them, and compares the answers with
// what the stand-ins recorded.
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
	routers   = 2
	engines   = 2
	events    = 4
	eventGap  = 2 * time.Millisecond
	prompt    = 100
	output    = 50
	perEvent  = 5
	readyTime = 20 * time.Second
	readyPoll = 20 * time.Millisecond
	callTime  = 5 * time.Second
	host      = "desk.example"
	account   = "desk"
	key       = "demo-key"
	// Prepaid is the total of the account, which covers a hundred questions.
	Prepaid = 12_000
)

// Result counts answers and, from the records of the stand-ins, faults.
type Result struct {
	Served, Refused, Unknown int
	// OverspentTokens is the use beyond the total, DuplicateActions the calls
	// that ran twice, FalseNotRun those that ran although the answer denied it.
	OverspentTokens, DuplicateActions, FalseNotRun int
	// Free is what is left of the total at the end.
	Free int
}

// Stand is a running deployment.
type Stand struct {
	bin, dir string
	log      io.Writer
	store    *opstor.Store
	models   []*origin.Origin
	app      *origin.Origin
	nodes    []*node
	result   Result
	notRun   map[string]bool
	next     int
}

type node struct {
	*procs.Proc
	file, addr, ready string
}

// New starts the stand-ins and the routers. bin holds the programs, settings
// are written to dir, and output goes to log if it is not nil.
func New(ctx context.Context, bin, dir string, log io.Writer) (*Stand, error) {
	st := &Stand{bin: bin, dir: dir, log: log, store: opstor.New(), notRun: map[string]bool{}}
	for no := range engines {
		or, err := st.upstream(fmt.Sprint("engine-", no), "llm")
		if err != nil {
			return nil, errors.Join(err, st.Close())
		}
		st.models = append(st.models, or)
	}
	var err error
	if st.app, err = st.upstream("app-1", "app"); err != nil {
		return nil, errors.Join(err, st.Close())
	}
	st.configure()
	for no := range routers {
		nd, err := st.settings(fmt.Sprint("edge-", no))
		if err == nil {
			st.nodes = append(st.nodes, nd)
			err = st.start(ctx, no)
		}
		if err != nil {
			return nil, errors.Join(err, st.Close())
		}
	}
	return st, nil
}

func (st *Stand) upstream(id, service string) (*origin.Origin, error) {
	or, err := origin.New(id, events, eventGap)
	if err != nil {
		return nil, err
	}
	st.store.Register(id, service, or.Addr())
	return or, nil
}

func (st *Stand) configure() {
	st.store.Configure(1, opstor.Site{
		Host:     host,
		Routes:   []opstor.Route{{Prefix: "/question/", Kind: "stream", Service: "llm"}, {Prefix: "/voucher/", Kind: "non_idempotent", Service: "app"}},
		Engines:  []string{"llm"},
		Services: []string{"app"}, EventTokens: perEvent,
		Accounts: []opstor.Account{{Name: account, Key: key, Prepaid: Prepaid}},
	})
}

// settings writes the settings of a router with free ports.
func (st *Stand) settings(vm string) (*node, error) {
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
	nd := &node{file: filepath.Join(st.dir, vm+".yaml"), addr: ports[0], ready: ports[1]}
	text := fmt.Sprintf("vm: %q\ndomain: z\nstore: %q\nlisten: %q\nready: {listen: %q, path: /ready}\npeerListen: %q\nmetricsListen: %q\ndrain: 3s\n",
		vm, st.store.Addr(), ports[0], ports[1], ports[2], ports[3])
	return nd, os.WriteFile(nd.file, []byte(text), 0o600)
}

// start starts a router and waits until it is ready.
func (st *Stand) start(ctx context.Context, no int) error {
	nd := st.nodes[no]
	var err error
	if nd.Proc, err = procs.Start(filepath.Base(nd.file), filepath.Join(st.bin, "balsamwood"), st.log, "direct", "-s", nd.file); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for {
		re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nd.ready+"/ready", nil)
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
			return fmt.Errorf("edge: %s is not ready: %q", nd.file, nd.Tail(3))
		case <-time.After(readyPoll):
		}
	}
}

// Kill ends a router without warning and starts it again.
func (st *Stand) Kill(ctx context.Context, no int) error {
	st.nodes[no].Kill()
	return st.start(ctx, no)
}

// Questions sends streamed questions to the routers in turn.
func (st *Stand) Questions(ctx context.Context, count int) {
	for no := range count {
		st.call(ctx, no%len(st.nodes), "/question/", true)
	}
}

// Vouchers sends calls that may not run twice. Every lossy-th loses its answer
// after it ran; zero loses none.
func (st *Stand) Vouchers(ctx context.Context, count, lossy int) {
	st.app.Fail(func(id string) origin.Fault {
		if lossy > 0 && len(id) > 0 && int(id[len(id)-1]-'0')%lossy == 0 {
			return origin.Reset
		}
		return origin.None
	})
	for no := range count {
		st.call(ctx, no%len(st.nodes), "/voucher/", false)
	}
}

func (st *Stand) call(ctx context.Context, no int, path string, tokens bool) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	st.next++
	ca := origin.Call{ID: fmt.Sprintf("r%06d", st.next), Host: host, Path: path, Key: key}
	if tokens {
		ca.Prompt, ca.Output = prompt, output
	}
	status, body, err := ca.Send(ctx, st.nodes[no].addr)
	switch {
	case err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		st.result.Unknown++
	case status != http.StatusOK:
		st.result.Refused++
		st.notRun[ca.ID] = true
	case tokens && strings.Count(body, "id: ") != events:
		st.result.Unknown++
	default:
		st.result.Served++
	}
}

// Audit stops the routers and counts faults in the records of the stand-ins.
func (st *Stand) Audit() (Result, error) {
	var all []error
	for _, nd := range st.nodes {
		all = append(all, nd.Stop())
	}
	seen, used := map[string]int{}, 0
	count := func(or *origin.Origin, tokens int) {
		for _, ru := range or.Runs() {
			used += tokens
			if seen[ru.ID]++; seen[ru.ID] > 1 {
				st.result.DuplicateActions++
			}
			if st.notRun[ru.ID] {
				st.result.FalseNotRun++
			}
		}
	}
	for _, or := range st.models {
		count(or, prompt+events*perEvent)
	}
	count(st.app, 0)
	st.result.OverspentTokens = max(0, used-Prepaid)
	st.result.Free = Prepaid - used
	return st.result, errors.Join(all...)
}

// Close ends everything.
func (st *Stand) Close() error {
	var all []error
	for _, nd := range st.nodes {
		if nd.Proc != nil {
			all = append(all, nd.Stop())
		}
	}
	for _, or := range st.models {
		or.Close()
	}
	if st.app != nil {
		st.app.Close()
	}
	st.store.Close()
	return errors.Join(all...)
}
