package place

import (
	"cmp"
	"maps"
	"slices"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Map is the set of known upstreams. It is immutable; the counters of an endpoint
// are kept from one map to the next.
type Map struct {
	byID      map[ident.Upstream]*Station
	byService map[ident.Service][]*Station
}

// WithUpstreams returns a map of exactly these upstreams. An upstream whose
// address changed starts with new counters, because it is another instance.
func (mp Map) WithUpstreams(upstreams ...Upstream) Map {
	next := Map{byID: make(map[ident.Upstream]*Station, len(upstreams)), byService: map[ident.Service][]*Station{}}
	for _, up := range upstreams {
		ep, ok := mp.byID[up.ID]
		switch {
		case !ok || ep.Address != up.Address:
			ep = NewStation(up)
		case ep.Upstream != up:
			ep = ep.With(up)
		}
		next.byID[up.ID] = ep
	}
	for _, id := range slices.Sorted(maps.Keys(next.byID)) {
		ep := next.byID[id]
		next.byService[ep.Service] = append(next.byService[ep.Service], ep)
	}
	return next
}

// Len returns the number of upstreams.
func (mp Map) Len() int { return len(mp.byID) }

// Service returns the endpoints of a service ordered by identifier. The slice
// must not be changed.
func (mp Map) Service(name ident.Service) []*Station { return mp.byService[name] }

// Station returns the endpoint of the upstream with the identifier.
func (mp Map) Station(id ident.Upstream) (*Station, bool) {
	ep, ok := mp.byID[id]
	return ep, ok
}

// Upstreams returns the descriptions of the upstreams ordered by identifier.
func (mp Map) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(mp.byID))
	for _, ep := range mp.byID {
		out = append(out, ep.Upstream)
	}
	slices.SortFunc(out, func(one, two Upstream) int { return cmp.Compare(one.ID, two.ID) })
	return out
}
