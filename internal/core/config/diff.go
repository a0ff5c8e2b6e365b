package config

import (
	"fmt"
	"slices"
	"strings"
)

// Part says which kind of entry a change concerns.
type Part string

// Kinds of entries of the configuration.
const (
	PartAccount  Part = "account"
	PartUpstream Part = "upstream"
	PartService  Part = "service"
	PartClosed   Part = "closedDomain"
)

// Action says what happened to an entry.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two configurations. Field, From and To are
// set for the action changed.
type Change struct {
	Part   Part   `json:"part"`
	ID     string `json:"id"`
	Action Action `json:"action"`
	Field  string `json:"field,omitempty"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
}

// String returns the change in one line.
func (ch Change) String() string {
	if ch.Action != Changed {
		return fmt.Sprintf("%s %s %s", ch.Part, ch.ID, ch.Action)
	}
	return fmt.Sprintf("%s %s %s: %s -> %s", ch.Part, ch.ID, ch.Field, ch.From, ch.To)
}

// field is the printed form of one field.
type field struct{ name, text string }

// Diff returns the differences that lead from old to next: accounts, then
// upstreams, then services, then closed failure domains, each ordered by id.
func Diff(old, next Snapshot) []Change {
	out := diff(PartAccount, old.accounts, next.accounts, accountFields)
	out = append(out, diff(PartUpstream, old.upstreams, next.upstreams, upstreamFields)...)
	out = append(out, diff(PartService, old.services, next.services, serviceFields)...)
	return append(out, diff(PartClosed, old.closed, next.closed, func(ClosedDomain) []field { return nil })...)
}

func diff[K ~string, V any](part Part, old, next map[K]V, fields func(V) []field) []Change {
	var out []Change
	for id, val := range old {
		nv, ok := next[id]
		if !ok {
			out = append(out, Change{Part: part, ID: string(id), Action: Removed})
			continue
		}
		prev := fields(val)
		for ix, fd := range fields(nv) {
			if fd != prev[ix] {
				out = append(out, Change{
					Part: part, ID: string(id), Action: Changed,
					Field: fd.name, From: prev[ix].text, To: fd.text,
				})
			}
		}
	}
	for id := range next {
		if _, ok := old[id]; !ok {
			out = append(out, Change{Part: part, ID: string(id), Action: Added})
		}
	}
	// The stable sort keeps the order of the fields of one entry.
	slices.SortStableFunc(out, func(le, ri Change) int { return strings.Compare(le.ID, ri.ID) })
	return out
}

func accountFields(ac Account) []field {
	return []field{
		{"keys", joinStrings(ac.Keys)},
		{"budgets", joinStrings(ac.Budgets)},
		{"weight", string(ac.Preference)},
		{"requestsPerSecond", fmt.Sprint(ac.RequestsPerSecond)},
		{"burst", fmt.Sprint(ac.Burst)},
		{"maxRunning", fmt.Sprint(ac.MaxRunning)},
		{"models", joinStrings(ac.Models)},
		{"services", joinStrings(ac.Services)},
	}
}

func upstreamFields(up Upstream) []field {
	return []field{
		{"vm", string(up.VM)},
		{"kind", string(up.Kind)},
		{"domain", string(up.Domain)},
		{"sidecar", up.Sidecar},
		{"models", joinStrings(up.Models)},
		{"service", string(up.Service)},
		{"checksFencing", fmt.Sprint(up.ChecksFencing)},
	}
}

func serviceFields(se Service) []field {
	var routes []string
	for _, ro := range se.Routes {
		routes = append(routes, fmt.Sprintf("%s %s idempotent=%t cost=%d", ro.Method, ro.Path, ro.Idempotent, ro.Cost))
	}
	return []field{{"routes", joinStrings(routes)}}
}

func joinStrings[S ~string](items []S) string {
	texts := make([]string, len(items))
	for ix, it := range items {
		texts[ix] = string(it)
	}
	return strings.Join(texts, ", ")
}
