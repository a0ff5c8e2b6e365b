package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/fleet"
	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/app/gate"
	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// fixedClock is a clock that always returns start.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return start }

// fakeLink is a link without a connection.
type fakeLink struct {
	peer.Sidecar
	connected bool
	onReport  func(peer.Report)
}

func (*fakeLink) Run(ctx context.Context) { <-ctx.Done() }
func (*fakeLink) ConnectAttempted() bool  { return true }
func (li *fakeLink) Connected() bool      { return li.connected }
func (*fakeLink) ConfigChanged()          {}

// topology holds a fleet with its fake links and its configuration.
type topology struct {
	*fleet.Fleet
	links map[ident.Upstream]*fakeLink
	conf  config.Snapshot
}

func newTopology(t testing.TB, vm ident.VM, engines int) *topology {
	t.Helper()
	to := &topology{links: map[ident.Upstream]*fakeLink{}}
	var err error
	to.Fleet, err = fleet.New(vm, func(up config.Upstream, onReport func(peer.Report)) fleet.Link {
		to.links[up.ID] = &fakeLink{connected: true, onReport: onReport}
		return to.links[up.ID]
	}, fleet.WithClock(fixedClock{}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	to.Start(ctx)
	for no := range engines {
		id := ident.Upstream(fmt.Sprint("e", no))
		to.conf = to.conf.WithUpstream(config.Upstream{
			ID: id, VM: ident.VM(id), Kind: config.Engine, Domain: ident.Domain(fmt.Sprint("d", no%3)), Models: []ident.Model{"m1"},
		})
	}
	to.Sync(to.conf)
	t.Cleanup(func() { cancel(); to.Wait() })
	return to
}

func report(running, slots int) peer.Report {
	return peer.Report{Sidecar: "s1", Received: start, Routers: 1, Load: engine.Load{
		At: start, Running: running, Slots: slots, QueuedTokens: ident.Tokens(running * 100), TokensPerSecond: 1000,
	}}
}

func demand() gate.Demand {
	return gate.Demand{
		Kind: config.Engine, Model: "m1", Class: config.Normal, Prompt: 10, Output: 100,
		Deadline: start.Add(time.Minute), Account: "a1", QueueLimit: 10,
	}
}

// pick returns the target with its identifier, or else "wait" or the reason of the
// refusal.
func (to *topology) pick(de gate.Demand) (front.Target, string) {
	ta, decision := to.Pick(de, start)
	switch decision.Verdict {
	case admit.Admit:
		return ta, string(ta.Upstream.ID)
	case admit.Wait:
		return ta, "wait"
	default:
		return ta, string(decision.Reason)
	}
}

// TestDecisions guards against requests at full or disconnected upstreams while
// another one has free slots, and against refusals of requests that can still
// finish in time.
func TestDecisions(t *testing.T) {
	late, soon := demand(), demand()
	late.Deadline = start.Add(time.Second)
	soon.Deadline = start.Add(500 * time.Millisecond)
	batch := soon
	batch.WaitUntilLatestStart, batch.Deadline = true, start.Add(1200*time.Millisecond)
	withKey := demand()
	withKey.Key = "k1"
	queued := demand()
	queued.Queued = 1
	cases := []struct {
		name  string
		setup func(to *topology)
		de    gate.Demand
		want  string
	}{
		{"no report is no reason to refuse", func(*topology) {}, soon, "e"},
		{"one of three has free slots", func(to *topology) { to.deliver(report(10, 10), "e0", "e1"); to.deliver(report(0, 10), "e2") }, demand(), "e2"},
		{"all are full", func(to *topology) { to.deliver(report(10, 10), "e0", "e1", "e2") }, demand(), "wait"},
		{"other requests are queued", func(to *topology) { to.deliver(report(0, 10), "e0", "e1", "e2") }, queued, "wait"},
		{"deadline unmeetable at every upstream", func(to *topology) { to.deliver(report(0, 10), "e0", "e1", "e2") }, soon, string(refuse.DeadlineUnmeetable)},
		{"batch waits for its latest start", func(to *topology) { to.deliver(report(200, 10), "e0", "e1", "e2") }, batch, "wait"},
		{"a key stays with its full upstream", func(to *topology) { to.deliver(report(10, 10), "e0", "e1", "e2") }, withKey, "e"},
		{"two links are down", func(to *topology) { to.links["e0"].connected, to.links["e2"].connected = false, false }, demand(), "e1"},
		{"all links are down", func(to *topology) { to.disconnectAll() }, demand(), "wait"},
		{"all links are down after the latest start", func(to *topology) { to.deliver(report(0, 10), "e0"); to.disconnectAll() }, soon, string(refuse.NoUpstream)},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			to := newTopology(t, "r1", 3)
			ca.setup(to)
			if _, got := to.pick(ca.de); got != ca.want && (ca.want != "e" || got[0] != 'e') {
				t.Errorf("got %s, want %s", got, ca.want)
			}
		})
	}
}

// deliver applies the report to the upstreams.
func (to *topology) deliver(rp peer.Report, ids ...ident.Upstream) {
	for _, id := range ids {
		to.links[id].onReport(rp)
	}
}

func (to *topology) disconnectAll() {
	for _, li := range to.links {
		li.connected = false
	}
}

// TestRouterCount guards against several routers that fill the same free slots
// between two reports.
func TestRouterCount(t *testing.T) {
	for routers, want := range map[int]int{0: 8, 1: 8, 4: 2} {
		to := newTopology(t, "r1", 1)
		rp := report(0, 10)
		rp.Routers = routers
		to.deliver(rp, "e0")
		sent := 0
		for _, got := to.pick(demand()); got == "e0"; _, got = to.pick(demand()) {
			sent++
		}
		if sent != want {
			t.Errorf("with %d routers %d requests were sent to 10 slots, want %d", routers, sent, want)
		}
	}
}

// TestLeaving guards against new requests at an upstream that announced that it is
// leaving, by a report or a refusal, also if an older report arrives afterwards.
func TestLeaving(t *testing.T) {
	leaving := report(0, 10)
	leaving.Leaving = true
	for name, leave := range map[string]func(to *topology){
		"report": func(to *topology) { to.deliver(leaving, "e0") },
		"refusal": func(to *topology) {
			ta, _ := to.pick(demand())
			ta.Done(front.AttemptResult{Refusal: refuse.New(refuse.Leaving, "leaving")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			to := newTopology(t, "r1", 1)
			to.deliver(report(0, 10), "e0")
			leave(to)
			to.deliver(report(0, 10), "e0")
			if _, got := to.pick(demand()); got != "wait" {
				t.Errorf("got %s while it is leaving, want wait", got)
			}
			restarted := report(0, 10)
			restarted.Sidecar = "s2"
			to.deliver(restarted, "e0")
			if _, got := to.pick(demand()); got != "e0" {
				t.Errorf("got %s after its restart, want e0", got)
			}
		})
	}
}

// TestSuspect guards against requests at an upstream whose link failed, and
// against an upstream that is avoided although it sent a report since.
func TestSuspect(t *testing.T) {
	to := newTopology(t, "r1", 2)
	to.deliver(report(0, 10), "e0", "e1")
	ta, first := to.pick(demand())
	ta.Done(front.AttemptResult{Refusal: refuse.New(refuse.LinkLost, "cut")})
	for range 4 {
		if _, got := to.pick(demand()); got == first {
			t.Fatalf("%s was chosen again after its link failed", got)
		}
	}
	to.deliver(report(0, 10), ident.Upstream(first))
	seen := map[string]bool{}
	for range 8 {
		_, got := to.pick(demand())
		seen[got] = true
	}
	if !seen[first] {
		t.Errorf("%s is avoided after its report", first)
	}
}

// TestLastResort guards against refusing calls of a plain service because a call
// failed at each of its processes shortly before.
func TestLastResort(t *testing.T) {
	to := newTopology(t, "r1", 0)
	for _, id := range []ident.Upstream{"s0", "s1", "s2"} {
		to.conf = to.conf.WithUpstream(config.Upstream{ID: id, VM: ident.VM(id), Kind: config.Plain, Domain: "d1", Service: "register"})
	}
	to.Sync(to.conf)
	to.deliver(report(0, 10), "s0", "s1", "s2")
	de := gate.Demand{Kind: config.Plain, Service: "register", Deadline: start.Add(time.Second)}
	failed := map[string]bool{}
	for range 3 {
		ta, got := to.pick(de)
		failed[got] = true
		ta.Done(front.AttemptResult{Refusal: refuse.New(refuse.UpstreamFailed, "no response")})
	}
	if len(failed) != 3 {
		t.Fatalf("calls went to %v, want three upstreams", failed)
	}
	_, got := to.pick(de)
	if !failed[got] {
		t.Errorf("picked %q, want one of the suspect upstreams", got)
	}
}

// TestKeyed guards against running a request with an idempotency key twice: all
// routers must send requests with the same key to the same sidecar.
func TestKeyed(t *testing.T) {
	one, two := newTopology(t, "r1", 9), newTopology(t, "r2", 9)
	two.deliver(report(10, 10), "e0", "e1", "e2", "e3")
	var got, want []string
	for no := range 50 {
		de := demand()
		de.Key = ident.Key(fmt.Sprint("k", no))
		_, first := one.pick(de)
		_, second := two.pick(de)
		want, got = append(want, first), append(got, second)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("choices differ (-first router +second router):\n%s", diff)
	}
}

// TestRemoved guards against new requests at an upstream that was removed from the
// configuration, and against a failure when a request that was running there ends.
func TestRemoved(t *testing.T) {
	to := newTopology(t, "r1", 1)
	ta, _ := to.pick(demand())
	to.Sync(to.conf.WithoutUpstream("e0"))
	if _, got := to.pick(demand()); got != "wait" {
		t.Errorf("got %s, want wait", got)
	}
	ta.Done(front.AttemptResult{})
}
