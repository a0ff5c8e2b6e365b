package router_test

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/bucket"
	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/bench/stack"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Numbers of the events that report which revision is in force.
const (
	eventRouterConfig  = 4003
	eventSidecarConfig = 9205
)

// waitTimeout bounds the wait for an event.
const waitTimeout = 20 * time.Second

// configEvents sends the events about configurations in force to a channel, as
// number, revision and source.
type configEvents struct {
	meter.Nop
	ch chan string
}

func (ce configEvents) Log(ev meter.Event, attrs ...slog.Attr) {
	if ev.Number != eventRouterConfig && ev.Number != eventSidecarConfig {
		return
	}
	text := fmt.Sprint(ev.Number)
	for _, at := range attrs {
		if at.Key == "revision" || at.Key == "source" {
			text += " " + at.Value.String()
		}
	}
	ce.ch <- text
}

func (ce configEvents) await(t *testing.T, want string) {
	t.Helper()
	var got []string
	end := time.After(waitTimeout)
	for {
		select {
		case text := <-ce.ch:
			if got = append(got, text); text == want {
				return
			}
		case <-end:
			t.Fatalf("no event %q among %s", want, strings.Join(got, ", "))
		}
	}
}

// disableTable throttles the table until it refuses every call. The object store
// keeps working.
func disableTable(t *testing.T, st *stack.Stack) {
	t.Helper()
	st.Cloud.SetLimits(cloud.Limits{ReadsPerSecond: 1e-9, WritesPerSecond: 1e-9})
	// The rate limiter still admits one read.
	for range 5 {
		if _, err := st.Acceptor.Current(t.Context()); err != nil {
			return
		}
	}
	t.Fatal("the table still responds")
}

// TestStartFromSidecar guards against a router that starts while the table is
// down and keeps the older configuration of the object store, although a sidecar
// has a newer one.
func TestStartFromSidecar(t *testing.T) {
	ce := configEvents{ch: make(chan string, 1000)}
	st := stack.New(stack.WithMeter(ce))
	t.Cleanup(st.Close)
	up, _, err := st.StartSidecar(config.Upstream{
		ID: "e1", VM: "vm-e1", Kind: config.Engine, Domain: "d1", Models: []ident.Model{"m1"},
	}, st.Serve(model.New()))
	if err != nil {
		t.Fatal(err)
	}
	if err := st.ChangeConfig(func(sn config.Snapshot) config.Snapshot { return sn.WithUpstream(up) }); err != nil {
		t.Fatal(err)
	}
	first, err := st.Acceptor.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	doc, _ := codec.Config{}.Encode(first)
	update.NewArchive(bucket.New(st.Serve(st.Cloud))).Store(t.Context(), 1, doc)
	_, stop, err := st.StartRouter("vm-r1", "d1")
	if err != nil {
		t.Fatal(err)
	}
	ce.await(t, "9205 1")
	err = st.ChangeConfig(func(sn config.Snapshot) config.Snapshot {
		return sn.WithAccount(config.Account{ID: "a1", Preference: config.AvoidRefusal})
	})
	if err != nil {
		t.Fatal(err)
	}
	ce.await(t, "9205 2")
	stop()
	disableTable(t, st)
	if _, _, err := st.StartRouter("vm-r2", "d1"); err != nil {
		t.Fatal(err)
	}
	ce.await(t, "4003 1 object store")
	ce.await(t, "4003 2 peer")
}

// TestPlannedConfigSize guards against a configuration of the planned size (110
// accounts with 1000 budgets each) that does not fit into the frames between
// routers and sidecars.
func TestPlannedConfigSize(t *testing.T) {
	ce := configEvents{ch: make(chan string, 1000)}
	st := stack.New(stack.WithMeter(ce))
	t.Cleanup(st.Close)
	up, _, err := st.StartSidecar(config.Upstream{
		ID: "e1", VM: "vm-e1", Kind: config.Engine, Domain: "d1", Models: []ident.Model{"m1"},
	}, st.Serve(model.New()))
	if err != nil {
		t.Fatal(err)
	}
	err = st.ChangeConfig(func(sn config.Snapshot) config.Snapshot {
		for ix := range 110 {
			ac := config.Account{ID: ident.Account(fmt.Sprint("account-", ix)), Preference: config.AvoidRefusal}
			for jx := range 1000 {
				ac.Budgets = append(ac.Budgets, ident.Budget(fmt.Sprintf("budget-%04d", jx)))
			}
			sn = sn.WithAccount(ac)
		}
		return sn.WithUpstream(up)
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := st.StartRouter("vm-r1", "d1"); err != nil {
		t.Fatal(err)
	}
	ce.await(t, "9205 1")
}
