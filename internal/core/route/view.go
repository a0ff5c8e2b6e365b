package route

import (
	"slices"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// View is an immutable list of candidates with an index by model. It is stored in
// a snap.Cell and replaced by read-copy-update. The zero value is empty.
type View struct {
	all    []*Candidate
	models map[ident.Model][]*Candidate
}

// NewView returns a view of the candidates.
func NewView(candidates ...Candidate) View {
	vi := View{}
	for _, ca := range candidates {
		cp := ca
		vi.all = append(vi.all, &cp)
	}
	slices.SortFunc(vi.all, func(aa, bb *Candidate) int { return strings.Compare(string(aa.id), string(bb.id)) })
	vi.models = make(map[ident.Model][]*Candidate)
	for _, ca := range vi.all {
		for _, mo := range ca.models {
			vi.models[mo] = append(vi.models[mo], ca)
		}
	}
	return vi
}

// Len returns the number of candidates.
func (vi View) Len() int { return len(vi.all) }

// Get returns the candidate of the upstream.
func (vi View) Get(id ident.Upstream) (Candidate, bool) {
	if at, ok := find(vi.all, id); ok {
		return *vi.all[at], true
	}
	return Candidate{}, false
}

// All returns all candidates ordered by identifier.
func (vi View) All() []Candidate {
	out := make([]Candidate, len(vi.all))
	for ix, ca := range vi.all {
		out[ix] = *ca
	}
	return out
}

// With returns a copy in which the candidate is added or replaced. Every load
// report replaces a candidate, so only lists of pointers are copied if the models
// are unchanged.
func (vi View) With(ca Candidate) View {
	at, ok := find(vi.all, ca.id)
	if !ok || !slices.Equal(vi.all[at].models, ca.models) {
		return NewView(append(vi.Without(ca.id).All(), ca)...)
	}
	next := View{all: replaced(vi.all, &ca), models: make(map[ident.Model][]*Candidate, len(vi.models))}
	for mo, li := range vi.models {
		if slices.Contains(ca.models, mo) {
			li = replaced(li, &ca)
		}
		next.models[mo] = li
	}
	return next
}

// Without returns a copy without the upstream.
func (vi View) Without(id ident.Upstream) View {
	if _, ok := find(vi.all, id); !ok {
		return vi
	}
	rest := slices.DeleteFunc(vi.All(), func(ca Candidate) bool { return ca.id == id })
	return NewView(rest...)
}

// Pool returns the candidates that serve the model of the demand, with the
// position of the hinted one.
func (vi View) Pool(de Demand) Pool[*Candidate] {
	po := Pool[*Candidate]{Items: vi.models[de.Model], Hint: -1}
	if de.Hint.Upstream == "" {
		return po
	}
	if at, ok := find(po.Items, de.Hint.Upstream); ok {
		po.Hint = at
	}
	return po
}

func find(li []*Candidate, id ident.Upstream) (int, bool) {
	return slices.BinarySearchFunc(li, id, func(ca *Candidate, id ident.Upstream) int {
		return strings.Compare(string(ca.id), string(id))
	})
}

func replaced(li []*Candidate, ca *Candidate) []*Candidate {
	cp := slices.Clone(li)
	if at, ok := find(cp, ca.id); ok {
		cp[at] = ca
	}
	return cp
}
