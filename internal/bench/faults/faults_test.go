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

// town is a deployment that stops with its test.
type town struct {
	*faults.Town
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

func start(t *testing.T, bin string, pl faults.Plan) *town {
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
	tw := &town{Town: to, t: t}
	tw.must(err)
	return tw
}

func (tw *town) must(err error) {
	tw.t.Helper()
	if err != nil {
		tw.t.Fatal(err)
	}
}

func (tw *town) begin(router, count int, prompt string, key ident.Key) func() {
	tw.t.Helper()
	wait, err := tw.Begin(tw.t.Context(), router, count, prompt, key)
	tw.must(err)
	return func() { wait() }
}

func (tw *town) inc(router int) ident.Incarnation {
	tw.t.Helper()
	in, err := tw.Incarnation(tw.t.Context(), router)
	tw.must(err)
	return in.ID
}

// recovered waits until the incarnation is closed. since is when its VM left
// the list.
func (tw *town) recovered(id ident.Incarnation, since time.Time) {
	tw.t.Helper()
	tw.must(tw.Closed(tw.t.Context(), id))
	tw.t.Logf("recovered within %s after the VM left the list", time.Since(since).Round(time.Millisecond))
}

// finish stops the routers in order and audits. All escrow must be back.
func (tw *town) finish(held ident.Tokens) budget.Balance {
	tw.t.Helper()
	for _, ro := range tw.RouterNodes {
		if ro.Running() {
			tw.must(ro.Stop())
		}
	}
	return tw.audit(held)
}

func (tw *town) audit(held ident.Tokens) budget.Balance {
	tw.t.Helper()
	ba, err := tw.Audit(tw.t.Context())
	tw.must(err)
	if ba.Held != held {
		tw.t.Errorf("%d tokens are held, want %d", ba.Held, held)
	}
	tw.t.Logf("prepaid %d, settled %d, held %d, free %d", ba.Prepaid, ba.Settled, ba.Held, ba.Free)
	return ba
}

func (tw *town) used() (all, completed ident.Tokens) {
	tw.t.Helper()
	runs, err := tw.Runs(tw.t.Context())
	tw.must(err)
	return faults.Used(runs)
}

// TestFaults runs the failures of processes side by side.
func TestFaults(t *testing.T) {
	bin := t.TempDir()
	if err := faults.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	for name, run := range map[string]func(*testing.T, string){
		"router killed": routerKilled, "router frozen": routerFrozen, "platform down": platformDown,
		"sidecar killed": sidecarKilled, "router terminated": routerTerminated,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t, bin)
		})
	}
}

// routerKilled guards against a request that is charged twice, or whose escrow
// is lost, when its router dies and the caller retries at another one.
func routerKilled(t *testing.T, bin string) {
	tw := start(t, bin, faults.Plan{Engines: 2, Routers: 2, Prepaid: 20_000, Answer: 100, TokenTime: 10 * time.Millisecond})
	dead := tw.inc(0)
	wait := tw.begin(0, 1, "May child 17 enter?", "door-17")
	tw.RouterNodes[0].Kill()
	wait()
	tw.must(tw.Remove(faults.VM(0)))
	since := time.Now()
	re := tw.Ask(t.Context(), 1, "May child 17 enter? 0", "door-17")
	if !re.Served {
		t.Fatalf("the retry was refused: %s %s", re.Reason, re.Detail)
	}
	tw.recovered(dead, since)
	ba := tw.finish(0)
	if _, completed := tw.used(); ba.Settled != completed {
		t.Errorf("settled %d, the one complete answer used %d", ba.Settled, completed)
	}
}

// routerFrozen guards against a router that is paused while it is declared
// dead, and that spends the recovered escrow after all.
func routerFrozen(t *testing.T, bin string) {
	tw := start(t, bin, faults.Plan{Engines: 2, Routers: 2, Prepaid: 3000, Answer: 40, TokenTime: 5 * time.Millisecond})
	frozen := tw.inc(0)
	wait := tw.begin(0, 4, "May child enter?", "")
	tw.must(tw.RouterNodes[0].Freeze())
	tw.must(tw.Remove(faults.VM(0)))
	tw.recovered(frozen, time.Now())
	for ix := range 400 {
		if re := tw.Ask(t.Context(), 1, fmt.Sprintf("question %d", ix), ""); re.Reason == refuse.OverBudget {
			break
		} else if !re.Served {
			t.Fatalf("question %d: %s %s", ix, re.Reason, re.Detail)
		}
	}
	spent, _ := tw.used()
	tw.must(tw.RouterNodes[0].Thaw())
	// At first the thawed router still believes in its escrow, and the sidecars
	// refuse; later it learns of its closure.
	for ix := range 8 {
		re := tw.Ask(t.Context(), 0, fmt.Sprintf("late question %d", ix), "")
		if re.Served || re.Outcome != refuse.NotRun {
			t.Errorf("the thawed router answered: served %v, %s (%s)", re.Served, re.Reason, re.Outcome)
		}
		t.Logf("late question: %s, %s", re.Reason, re.Detail)
	}
	wait()
	if now, _ := tw.used(); now != spent {
		t.Errorf("the thawed router used %d tokens", now-spent)
	}
	tw.RouterNodes[0].Kill()
	tw.finish(0)
}

// platformDown guards against spending beyond the held escrow while the table
// is out of reach, and against refusals while enough is held.
func platformDown(t *testing.T, bin string) {
	tw := start(t, bin, faults.Plan{
		Engines: 2, Routers: 2, Prepaid: 100_000, Answer: 50, TokenTime: time.Millisecond,
	})
	for ix := range 12 {
		tw.Ask(t.Context(), ix%2, fmt.Sprintf("warm %d", ix), "")
	}
	tw.must(tw.Outage(t.Context(), true))
	// Commits that were under way end before the outage is measured.
	held, err := tw.Granted(t.Context())
	tw.must(err)
	before, _ := tw.used()
	served, refused := 0, [2]int{}
	for ix := 0; refused[0] < 2 || refused[1] < 2; ix++ {
		if ix > 4000 {
			t.Fatal("the escrow was never used up")
		}
		re := tw.Ask(t.Context(), ix%2, fmt.Sprintf("outage %d", ix), "")
		switch {
		case re.Served:
			served++
		case re.Outcome == refuse.NotRun:
			refused[ix%2]++
		default:
			t.Fatalf("request %d: %s (%s) %s", ix, re.Reason, re.Outcome, re.Detail)
		}
	}
	after, _ := tw.used()
	t.Logf("outage: %d served with %d tokens, %d were held", served, after-before, held)
	if after-before > held || served == 0 {
		t.Errorf("%d requests used %d tokens during the outage, %d were held", served, after-before, held)
	}
	tw.must(tw.Outage(t.Context(), false))
	tw.must(tw.Until(t.Context(), func() bool { return tw.Ask(t.Context(), 0, "after the outage", "").Served }))
	tw.finish(0)
}

// sidecarKilled guards against escrow that is spent again although the usage at
// a sidecar was lost together with the router.
func sidecarKilled(t *testing.T, bin string) {
	tw := start(t, bin, faults.Plan{Engines: 1, Routers: 2, Prepaid: 6000, Answer: 60, TokenTime: 20 * time.Millisecond})
	dead := tw.inc(0)
	wait := tw.begin(0, 2, "May child enter?", "")
	tw.SidecarNodes[0].Kill()
	tw.RouterNodes[0].Kill()
	wait()
	tw.must(tw.Remove(faults.VM(0)))
	tw.must(tw.Remove("vm-engine-1"))
	ctx, cancel := context.WithTimeout(t.Context(), faults.Patience)
	defer cancel()
	_, err := tw.RouterNodes[1].Find(ctx, func(line string) bool {
		return bytes.Contains([]byte(line), []byte(`"event":3103`)) && bytes.Contains([]byte(line), []byte("lost [vm-engine-1]"))
	})
	tw.must(err)
	held := tw.held(dead)
	if used, _ := tw.used(); held < used {
		t.Errorf("%d tokens are held, the engine used %d", held, used)
	}
	tw.must(tw.RouterNodes[1].Stop())
	tw.audit(held)
	tw.must(tw.Ledger().Resolve(t.Context(), tw.Ref, dead, held, "op"))
	if ba := tw.audit(0); ba.Settled != held {
		t.Errorf("settled %d after the resolution, want %d", ba.Settled, held)
	}
}

// held returns what the incarnation holds.
func (tw *town) held(id ident.Incarnation) ident.Tokens {
	tw.t.Helper()
	ba, err := tw.Ledger().Balance(tw.t.Context(), tw.Ref)
	tw.must(err)
	for _, ho := range ba.Holders {
		if ho.Incarnation == id {
			return ho.Grant.Outstanding()
		}
	}
	return 0
}

// routerTerminated guards against a stream that is cut, and escrow that stays
// held, by the orderly end of a router.
func routerTerminated(t *testing.T, bin string) {
	const count = 8
	tw := start(t, bin, faults.Plan{Engines: 2, Routers: 2, Prepaid: 50_000, Answer: 100, TokenTime: 10 * time.Millisecond})
	leaving := tw.inc(0)
	wait, err := tw.Begin(t.Context(), 0, count, "May child enter?", "")
	tw.must(err)
	tw.must(tw.RouterNodes[0].Terminate())
	for ix, re := range wait() {
		if !re.Served {
			t.Errorf("stream %d was cut: %s %s", ix, re.Reason, re.Detail)
		}
	}
	tw.must(tw.RouterNodes[0].Wait())
	if held := tw.held(leaving); held != 0 {
		t.Errorf("the router left with %d tokens held", held)
	}
	ba := tw.finish(0)
	runs, err := tw.Runs(t.Context())
	tw.must(err)
	used, _ := faults.Used(runs)
	if len(runs) != count || runs[0].State != model.Completed || ba.Settled != used {
		t.Errorf("settled %d for %d runs that used %d", ba.Settled, len(runs), used)
	}
}
