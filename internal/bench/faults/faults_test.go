package faults_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/bench/faults"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

// fixture is a deployment that is stopped at the end of its test.
type fixture struct {
	*faults.Topology
	t *testing.T
}

// output collects the output of the processes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (ou *output) Write(data []byte) (int, error) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.buf.Write(data)
}

func newFixture(t *testing.T, bin string, pl faults.Plan) *fixture {
	t.Helper()
	ou := &output{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(ou.buf.String())
		}
	})
	to, err := faults.New(t.Context(), bin, t.TempDir(), ou, pl)
	if to != nil {
		t.Cleanup(func() { _ = to.Close() })
	}
	fx := &fixture{Topology: to, t: t}
	fx.must(err)
	return fx
}

func (fx *fixture) must(err error) {
	fx.t.Helper()
	if err != nil {
		fx.t.Fatal(err)
	}
}

func (fx *fixture) startRequests(router, count int, prompt string, key ident.Key) func() {
	fx.t.Helper()
	wait, err := fx.StartRequests(fx.t.Context(), router, count, prompt, key)
	fx.must(err)
	return func() { wait() }
}

func (fx *fixture) incarnation(router int) ident.Incarnation {
	fx.t.Helper()
	in, err := fx.Incarnation(fx.t.Context(), router)
	fx.must(err)
	return in.ID
}

// waitRecovered waits until the incarnation is closed. since is the time at which
// its VM was removed from the platform's list.
func (fx *fixture) waitRecovered(id ident.Incarnation, since time.Time) {
	fx.t.Helper()
	fx.must(fx.WaitClosed(fx.t.Context(), id))
	fx.t.Logf("recovered within %s after the VM was removed from the list", time.Since(since).Round(time.Millisecond))
}

// finish stops the running routers gracefully, audits the run, and checks that
// the number of tokens that are still held is equal to held.
func (fx *fixture) finish(held ident.Tokens) budget.Balance {
	fx.t.Helper()
	for _, ro := range fx.RouterNodes {
		if ro.Running() {
			fx.must(ro.Stop())
		}
	}
	return fx.audit(held)
}

func (fx *fixture) audit(held ident.Tokens) budget.Balance {
	fx.t.Helper()
	ba, err := fx.Audit(fx.t.Context())
	fx.must(err)
	if ba.Held != held {
		fx.t.Errorf("%d tokens are still held, want %d", ba.Held, held)
	}
	fx.t.Logf("prepaid %d, settled %d, held %d, free %d", ba.Prepaid, ba.Settled, ba.Held, ba.Free)
	return ba
}

func (fx *fixture) used() (all, completed ident.Tokens) {
	fx.t.Helper()
	runs, err := fx.Runs(fx.t.Context())
	fx.must(err)
	return faults.UsedTokens(runs)
}

// TestFaults guards against overspend, lost escrow and false notRun refusals when
// processes are killed, paused or stopped or the platform is down. The cases run in
// parallel, each on its own deployment.
func TestFaults(t *testing.T) {
	bin := t.TempDir()
	if err := faults.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	for name, run := range map[string]func(*testing.T, string){
		"router killed": routerKilled, "router paused": routerPaused, "platform down": platformDown,
		"sidecar killed": sidecarKilled, "router terminated": routerTerminated,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t, bin)
		})
	}
}

// routerKilled guards against a request that is charged twice, or whose escrow is
// lost, when its router is killed and the caller retries at another router.
func routerKilled(t *testing.T, bin string) {
	fx := newFixture(t, bin, faults.Plan{Engines: 2, Routers: 2, Prepaid: 20_000, ResponseTokens: 100, TokenTime: 10 * time.Millisecond})
	dead := fx.incarnation(0)
	wait := fx.startRequests(0, 1, "May child 17 enter?", "door-17")
	fx.RouterNodes[0].Kill()
	wait()
	fx.must(fx.RemoveVM(faults.VM(0)))
	since := time.Now()
	re := fx.Send(t.Context(), 1, "May child 17 enter? 0", "door-17")
	if !re.Served {
		t.Fatalf("the retry at the other router was refused: %s %s", re.Reason, re.Detail)
	}
	fx.waitRecovered(dead, since)
	ba := fx.finish(0)
	if _, completed := fx.used(); ba.Settled != completed {
		t.Errorf("settled %d, the one complete response used %d", ba.Settled, completed)
	}
}

// routerPaused guards against a router that is paused while it is declared dead,
// and that spends the recovered escrow once it is resumed.
func routerPaused(t *testing.T, bin string) {
	fx := newFixture(t, bin, faults.Plan{Engines: 2, Routers: 2, Prepaid: 3000, ResponseTokens: 40, TokenTime: 5 * time.Millisecond})
	paused := fx.incarnation(0)
	wait := fx.startRequests(0, 4, "May child enter?", "")
	fx.must(fx.RouterNodes[0].Pause())
	fx.must(fx.RemoveVM(faults.VM(0)))
	fx.waitRecovered(paused, time.Now())
	for ix := range 400 {
		if re := fx.Send(t.Context(), 1, fmt.Sprintf("question %d", ix), ""); re.Reason == refuse.OverBudget {
			break
		} else if !re.Served {
			t.Fatalf("question %d: %s %s", ix, re.Reason, re.Detail)
		}
	}
	spent, _ := fx.used()
	fx.must(fx.RouterNodes[0].Resume())
	// At first the router still takes its escrow for valid, and the sidecars
	// refuse its requests; later it learns that its incarnation is closed.
	for ix := range 8 {
		re := fx.Send(t.Context(), 0, fmt.Sprintf("late question %d", ix), "")
		if re.Served || re.Outcome != refuse.NotRun {
			t.Errorf("late question to the resumed router: served %v, %s (%s), want a refusal as not run", re.Served, re.Reason, re.Outcome)
		}
		t.Logf("late question: %s, %s", re.Reason, re.Detail)
	}
	wait()
	if now, _ := fx.used(); now != spent {
		t.Errorf("the router used %d tokens after it was resumed", now-spent)
	}
	fx.RouterNodes[0].Kill()
	fx.finish(0)
}

// platformDown guards against spending beyond the held escrow while the table is
// unreachable, and against refusals while enough escrow is held.
func platformDown(t *testing.T, bin string) {
	fx := newFixture(t, bin, faults.Plan{
		Engines: 2, Routers: 2, Prepaid: 100_000, ResponseTokens: 50, TokenTime: time.Millisecond,
	})
	for ix := range 12 {
		fx.Send(t.Context(), ix%2, fmt.Sprintf("warm %d", ix), "")
	}
	fx.must(fx.SetOutage(t.Context(), true))
	// Commits in flight at the start of the outage have ended before the escrow is
	// read.
	held, err := fx.GrantedTokens(t.Context())
	fx.must(err)
	before, _ := fx.used()
	served, refused := 0, [2]int{}
	for ix := 0; refused[0] < 2 || refused[1] < 2; ix++ {
		if ix > 4000 {
			t.Fatal("the escrow was not used up within 4000 requests")
		}
		re := fx.Send(t.Context(), ix%2, fmt.Sprintf("outage %d", ix), "")
		switch {
		case re.Served:
			served++
		case re.Outcome == refuse.NotRun:
			refused[ix%2]++
		default:
			t.Fatalf("request %d: %s (%s) %s", ix, re.Reason, re.Outcome, re.Detail)
		}
	}
	after, _ := fx.used()
	t.Logf("outage: %d requests served with %d tokens, %d were held", served, after-before, held)
	if after-before > held || served == 0 {
		t.Errorf("%d requests used %d tokens during the outage, %d were held", served, after-before, held)
	}
	fx.must(fx.SetOutage(t.Context(), false))
	fx.must(fx.WaitUntil(t.Context(), func() bool { return fx.Send(t.Context(), 0, "after the outage", "").Served }))
	fx.finish(0)
}

// sidecarKilled guards against escrow that is freed and spent again although the
// record of its use was lost with a sidecar that was killed together with the
// router.
func sidecarKilled(t *testing.T, bin string) {
	fx := newFixture(t, bin, faults.Plan{Engines: 1, Routers: 2, Prepaid: 6000, ResponseTokens: 60, TokenTime: 20 * time.Millisecond})
	dead := fx.incarnation(0)
	wait := fx.startRequests(0, 2, "May child enter?", "")
	fx.SidecarNodes[0].Kill()
	fx.RouterNodes[0].Kill()
	wait()
	fx.must(fx.RemoveVM(faults.VM(0)))
	fx.must(fx.RemoveVM("vm-engine-1"))
	ctx, cancel := context.WithTimeout(t.Context(), faults.WaitLimit)
	defer cancel()
	_, err := fx.RouterNodes[1].WaitLine(ctx, func(line string) bool {
		return bytes.Contains([]byte(line), []byte(`"event":3103`)) && bytes.Contains([]byte(line), []byte("lost [vm-engine-1]"))
	})
	fx.must(err)
	held := fx.heldBy(dead)
	if used, _ := fx.used(); held < used {
		t.Errorf("%d tokens are held, the engine used %d", held, used)
	}
	fx.must(fx.RouterNodes[1].Stop())
	fx.audit(held)
	fx.must(fx.Ledger().Resolve(t.Context(), fx.Ref, dead, held, "op"))
	if ba := fx.audit(0); ba.Settled != held {
		t.Errorf("settled %d after the resolution, want %d", ba.Settled, held)
	}
}

// heldBy returns the tokens that the incarnation holds.
func (fx *fixture) heldBy(id ident.Incarnation) ident.Tokens {
	fx.t.Helper()
	ba, err := fx.Ledger().Balance(fx.t.Context(), fx.Ref)
	fx.must(err)
	for _, ho := range ba.Holders {
		if ho.Incarnation == id {
			return ho.Grant.Outstanding()
		}
	}
	return 0
}

// routerTerminated guards against a graceful stop of a router that cuts streams
// off or leaves escrow held.
func routerTerminated(t *testing.T, bin string) {
	const count = 8
	fx := newFixture(t, bin, faults.Plan{Engines: 2, Routers: 2, Prepaid: 50_000, ResponseTokens: 100, TokenTime: 10 * time.Millisecond})
	leaving := fx.incarnation(0)
	wait, err := fx.StartRequests(t.Context(), 0, count, "May child enter?", "")
	fx.must(err)
	fx.must(fx.RouterNodes[0].Terminate())
	for ix, re := range wait() {
		if !re.Served {
			t.Errorf("stream %d was cut off: %s %s", ix, re.Reason, re.Detail)
		}
	}
	fx.must(fx.RouterNodes[0].Wait())
	if held := fx.heldBy(leaving); held != 0 {
		t.Errorf("the router stopped with %d tokens held", held)
	}
	ba := fx.finish(0)
	runs, err := fx.Runs(t.Context())
	fx.must(err)
	used, _ := faults.UsedTokens(runs)
	if len(runs) != count || runs[0].State != model.Completed || ba.Settled != used {
		t.Errorf("settled %d for %d runs that used %d", ba.Settled, len(runs), used)
	}
}
