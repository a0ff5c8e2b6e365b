package member_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/member"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func at(sec int) time.Time { return start.Add(time.Duration(sec) * time.Second) }

func withListed(vi member.View, sec int, leaving bool) member.View {
	return vi.WithList([]member.ListedVM{{ID: "v", Domain: "d", Address: "10.0.0.1", Leaving: leaving}}, at(sec))
}

func withReport(vi member.View, sec int, inc ident.Incarnation, leaving bool) member.View {
	return vi.WithStatusReport(member.StatusReport{VM: "v", Incarnation: inc, Domain: "d", Leaving: leaving, ReceivedAt: at(sec)})
}

// TestState guards against a lagging list that overrides a VM's own report, and
// against a VM that is considered gone while it may run.
func TestState(t *testing.T) {
	type view = member.View
	cases := []struct {
		name string
		vi   view
		want member.State
	}{
		{"unknown", view{}, member.Unknown},
		{"listed", withListed(view{}, 1, false), member.Live},
		{"listed as leaving", withListed(view{}, 1, true), member.Leaving},
		{"reports live before it is listed", withReport(view{}.WithList(nil, at(1)), 2, "i1", false), member.Live},
		{"reports leaving before the list does", withListed(withReport(view{}, 1, "i1", true), 2, false), member.Leaving},
		{"an older report does not undo leaving", withReport(withReport(view{}, 2, "i1", true), 1, "i1", false), member.Leaving},
		{"the same incarnation stays leaving", withReport(withReport(view{}, 1, "i1", true), 2, "i1", false), member.Leaving},
		{"a restarted process is live", withReport(withReport(view{}, 1, "i1", true), 2, "i2", false), member.Live},
		{"listed but unreachable", withListed(withReport(view{}, 1, "i1", false).WithUnreachable("v", at(2)), 3, false), member.Suspect},
		{"reachable again", withReport(withReport(view{}, 1, "i1", false).WithUnreachable("v", at(2)), 3, "i1", false), member.Live},
		{"unreachable before the latest report", withReport(view{}, 3, "i1", false).WithUnreachable("v", at(2)), member.Live},
		{"absent once", withListed(view{}, 1, false).WithList(nil, at(2)), member.Suspect},
		{"absent twice", withListed(view{}, 1, false).WithList(nil, at(2)).WithList(nil, at(3)), member.Gone},
		{"absent twice, reports afterwards", withReport(withListed(view{}, 1, false).WithList(nil, at(2)).WithList(nil, at(3)), 4, "i1", false), member.Live},
		{"registered, absent once", view{}.WithRegistered(member.ListedVM{ID: "v"}).WithList(nil, at(1)), member.Suspect},
		{"registered, absent twice", view{}.WithRegistered(member.ListedVM{ID: "v"}).WithList(nil, at(1)).WithList(nil, at(2)), member.Gone},
		{"a registration does not undo the list", withListed(view{}, 1, true).WithRegistered(member.ListedVM{ID: "v"}), member.Leaving},
		{"never listed, unreachable", withReport(view{}, 1, "i1", false).WithUnreachable("v", at(2)).WithList(nil, at(3)).WithList(nil, at(4)), member.Suspect},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			if got := ca.vi.State("v"); got != ca.want {
				t.Errorf("state %v, want %v", got, ca.want)
			}
		})
	}
	vi := withListed(member.View{}, 1, false)
	_ = withReport(vi, 2, "i1", true)
	if diff := cmp.Diff([]ident.VM{"v"}, vi.InState(member.Live)); diff != "" {
		t.Errorf("the older view changed (-want +got):\n%s", diff)
	}
}

// TestClosure guards against escrow of a dead router that is freed without the
// evidence of every sidecar, or freed twice.
func TestClosure(t *testing.T) {
	cl := member.NewClosure("r1", 1000, "a", "b", "c")
	part := cl.WithConfirmation(member.Confirmation{Sidecar: "a", Used: 200, Complete: true}).
		WithConfirmation(member.Confirmation{Sidecar: "a", Used: 200, Complete: true})
	done := part.WithConfirmation(member.Confirmation{Sidecar: "b", Used: 300, Complete: true}).WithGone("c", false)
	missing := part.WithConfirmation(member.Confirmation{Sidecar: "b", Used: 50}).WithGone("c", true)
	cases := []struct {
		name     string
		cl       member.Closure
		free     ident.Tokens
		ok       bool
		awaiting []ident.VM
		missing  []ident.VM
	}{
		{"nothing confirmed", cl, 0, false, []ident.VM{"a", "b", "c"}, nil},
		{"one confirmed twice", part, 0, false, []ident.VM{"b", "c"}, nil},
		{"confirmed or never linked", done, 500, true, nil, nil},
		{"a sidecar joined", done.WithSidecar("d"), 0, false, []ident.VM{"d"}, nil},
		{"restarted and gone with a link", missing, 0, false, nil, []ident.VM{"b", "c"}},
		{"resolved", missing.WithResolved("b", 100).WithResolved("c", 100), 600, true, nil, nil},
		{"an operator cannot override a confirmation", part.WithResolved("a", 0), 0, false, []ident.VM{"b", "c"}, nil},
		{"a confirmed VM that is removed stays confirmed", done.WithGone("a", true), 500, true, nil, nil},
		{"used more than held", member.NewClosure("r1", 100, "a").WithConfirmation(member.Confirmation{Sidecar: "a", Used: 150, Complete: true}), 0, true, nil, nil},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			free, ok := ca.cl.Reclaimable()
			if free != ca.free || ok != ca.ok {
				t.Errorf("free %d (%v), want %d (%v)", free, ok, ca.free, ca.ok)
			}
			want, got := [][]ident.VM{ca.awaiting, ca.missing}, [][]ident.VM{ca.cl.Awaiting(), ca.cl.Missing()}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("awaiting and missing (-want +got):\n%s", diff)
			}
		})
	}
}
