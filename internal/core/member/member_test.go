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

func listed(vi member.View, sec int, leaving bool) member.View {
	return vi.WithList([]member.Listed{{ID: "v", Domain: "d", Address: "10.0.0.1", Leaving: leaving}}, at(sec))
}

func said(vi member.View, sec int, inc ident.Incarnation, leaving bool) member.View {
	return vi.WithStatement(member.Statement{VM: "v", Incarnation: inc, Domain: "d", Leaving: leaving, At: at(sec)})
}

// TestState guards against a lagging list that overrides what a VM says about
// itself, and against a VM that is taken for gone while it may run.
func TestState(t *testing.T) {
	type view = member.View
	cases := []struct {
		name string
		vi   view
		want member.State
	}{
		{"never heard of", view{}, member.Unknown},
		{"listed", listed(view{}, 1, false), member.Live},
		{"listed as leaving", listed(view{}, 1, true), member.Leaving},
		{"says live before it is listed", said(view{}.WithList(nil, at(1)), 2, "i1", false), member.Live},
		{"says leaving before the list does", listed(said(view{}, 1, "i1", true), 2, false), member.Leaving},
		{"a late statement does not undo leaving", said(said(view{}, 2, "i1", true), 1, "i1", false), member.Leaving},
		{"the same incarnation does not return", said(said(view{}, 1, "i1", true), 2, "i1", false), member.Leaving},
		{"a restart returns", said(said(view{}, 1, "i1", true), 2, "i2", false), member.Live},
		{"silent", listed(said(view{}, 1, "i1", false).WithLost("v", at(2)), 3, false), member.Suspect},
		{"answers again", said(said(view{}, 1, "i1", false).WithLost("v", at(2)), 3, "i1", false), member.Live},
		{"late news of a loss", said(view{}, 3, "i1", false).WithLost("v", at(2)), member.Live},
		{"absent once", listed(view{}, 1, false).WithList(nil, at(2)), member.Suspect},
		{"absent twice", listed(view{}, 1, false).WithList(nil, at(2)).WithList(nil, at(3)), member.Gone},
		{"absent but answering", said(listed(view{}, 1, false).WithList(nil, at(2)).WithList(nil, at(3)), 4, "i1", false), member.Live},
		{"known from its row, not listed yet", view{}.WithKnown(member.Listed{ID: "v"}).WithList(nil, at(1)), member.Suspect},
		{"known from its row, absent twice", view{}.WithKnown(member.Listed{ID: "v"}).WithList(nil, at(1)).WithList(nil, at(2)), member.Gone},
		{"known from its row does not undo the list", listed(view{}, 1, true).WithKnown(member.Listed{ID: "v"}), member.Leaving},
		{"never listed, silent", said(view{}, 1, "i1", false).WithLost("v", at(2)).WithList(nil, at(3)).WithList(nil, at(4)), member.Suspect},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			if got := ca.vi.State("v"); got != ca.want {
				t.Errorf("state %v, want %v", got, ca.want)
			}
		})
	}
	vi := listed(member.View{}, 1, false)
	_ = said(vi, 2, "i1", true)
	if diff := cmp.Diff([]ident.VM{"v"}, vi.In(member.Live)); diff != "" {
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
	lost := part.WithConfirmation(member.Confirmation{Sidecar: "b", Used: 50}).WithGone("c", true)
	cases := []struct {
		name     string
		cl       member.Closure
		free     ident.Tokens
		ok       bool
		awaiting []ident.VM
		lost     []ident.VM
	}{
		{"nothing confirmed", cl, 0, false, []ident.VM{"a", "b", "c"}, nil},
		{"one confirmed twice", part, 0, false, []ident.VM{"b", "c"}, nil},
		{"confirmed or never linked", done, 500, true, nil, nil},
		{"a sidecar joined", done.WithSidecar("d"), 0, false, []ident.VM{"d"}, nil},
		{"restarted and gone with a link", lost, 0, false, nil, []ident.VM{"b", "c"}},
		{"resolved", lost.WithResolved("b", 100).WithResolved("c", 100), 600, true, nil, nil},
		{"confirmed evidence cannot be resolved away", part.WithResolved("a", 0), 0, false, []ident.VM{"b", "c"}, nil},
		{"a confirmed VM that goes stays confirmed", done.WithGone("a", true), 500, true, nil, nil},
		{"used more than held", member.NewClosure("r1", 100, "a").WithConfirmation(member.Confirmation{Sidecar: "a", Used: 150, Complete: true}), 0, true, nil, nil},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			free, ok := ca.cl.Free()
			if free != ca.free || ok != ca.ok {
				t.Errorf("free %d (%v), want %d (%v)", free, ok, ca.free, ca.ok)
			}
			want, got := [][]ident.VM{ca.awaiting, ca.lost}, [][]ident.VM{ca.cl.Awaiting(), ca.cl.Lost()}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("awaiting and lost (-want +got):\n%s", diff)
			}
		})
	}
}
