package place

import (
	"cmp"
	"maps"
	"slices"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Map is the set of known upstreams. It is immutable; the stations that it
// holds keep their counters from one map to the next.
type Map struct {
	stations map[ident.Upstream]*Station
	services map[ident.Service][]*Station
}

// WithUpstreams returns a map of exactly these upstreams.
func (mp Map) WithUpstreams(upstreams ...Upstream) Map {
	next := Map{stations: make(map[ident.Upstream]*Station, len(upstreams)), services: map[ident.Service][]*Station{}}
	for _, up := range upstreams {
		st, ok := mp.stations[up.ID]
		switch {
		case !ok || st.Address != up.Address:
			st = NewStation(up)
		case st.Upstream != up:
			st = st.With(up)
		}
		next.stations[up.ID] = st
	}
	for _, id := range slices.Sorted(maps.Keys(next.stations)) {
		st := next.stations[id]
		next.services[st.Service] = append(next.services[st.Service], st)
	}
	return next
}

// Len returns the number of upstreams.
func (mp Map) Len() int { return len(mp.stations) }

// Service returns the upstreams of a service in the order of their ids. The
// slice must not be changed.
func (mp Map) Service(name ident.Service) []*Station { return mp.services[name] }

// Station returns the upstream with the id.
func (mp Map) Station(id ident.Upstream) (*Station, bool) {
	st, ok := mp.stations[id]
	return st, ok
}

// Upstreams returns the descriptions in the order of their ids.
func (mp Map) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(mp.stations))
	for _, st := range mp.stations {
		out = append(out, st.Upstream)
	}
	slices.SortFunc(out, func(one, two Upstream) int { return cmp.Compare(one.ID, two.ID) })
	return out
}
