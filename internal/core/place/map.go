package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// EndpointMap maps the known upstreams to their endpoints. It is immutable; the
// counters of an endpoint are kept from one map to the next.
type EndpointMap struct {
	byID      map[ident.Upstream]*Endpoint
	byService map[ident.Service][]*Endpoint
	profiles  map[ident.Service]*Profile
	closed    DomainSet
	view      ColdView
}

// WithClosed returns a map of the same upstreams in which exactly these failure domains
// are closed. Upstreams of a domain that is opened are cold until they report otherwise.
func (mp EndpointMap) WithClosed(ds DomainSet, now time.Time) EndpointMap {
	before := mp.byID
	mp.closed = ds
	mp = mp.WithUpstreams(mp.Upstreams()...)
	for id, ep := range mp.byID {
		if before[id].Closed && !ep.Closed {
			ep.assumeCold(now)
		}
	}
	return mp
}

// WithColdView returns a map without upstreams whose upstreams have the limits of the
// view while they are cold.
func (mp EndpointMap) WithColdView(view ColdView) EndpointMap {
	return EndpointMap{closed: mp.closed, view: view}
}

// DomainLen returns the number of upstreams in a failure domain.
func (mp EndpointMap) DomainLen(domain ident.Domain) int {
	count := 0
	for _, ep := range mp.byID {
		if ep.Domain == domain {
			count++
		}
	}
	return count
}

// WithUpstreams returns a map of exactly these upstreams. An upstream whose
// address, service or lifetime changed starts with new counters, because it is another
// instance or knows nothing of before. What was learned about a service is kept, and so
// are the closed failure domains.
func (mp EndpointMap) WithUpstreams(upstreams ...Upstream) EndpointMap {
	next := EndpointMap{
		byID: make(map[ident.Upstream]*Endpoint, len(upstreams)), byService: map[ident.Service][]*Endpoint{},
		profiles: make(map[ident.Service]*Profile, len(mp.profiles)), closed: mp.closed, view: mp.view,
	}
	maps.Copy(next.profiles, mp.profiles)
	for _, up := range upstreams {
		up = up.WithClosed(mp.closed.Contains(up.Domain))
		if next.profiles[up.Service] == nil {
			next.profiles[up.Service] = NewProfile()
		}
		ep, ok := mp.byID[up.ID]
		switch {
		case !ok || ep.Address != up.Address || ep.Service != up.Service || ep.StartedMs != up.StartedMs:
			ep = NewEndpoint(up, next.profiles[up.Service]).WithColdView(mp.view)
		case ep.Upstream != up:
			ep = ep.WithUpstream(up)
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
func (mp EndpointMap) Len() int { return len(mp.byID) }

// Service returns the endpoints of a service ordered by identifier. The slice
// must not be changed.
func (mp EndpointMap) Service(name ident.Service) []*Endpoint { return mp.byService[name] }

// Services returns the names of the services that have upstreams, in order.
func (mp EndpointMap) Services() []ident.Service { return slices.Sorted(maps.Keys(mp.byService)) }

// Endpoint returns the endpoint of the upstream with the identifier.
func (mp EndpointMap) Endpoint(id ident.Upstream) (*Endpoint, bool) {
	ep, ok := mp.byID[id]
	return ep, ok
}

// Upstreams returns the descriptions of the upstreams ordered by identifier.
func (mp EndpointMap) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(mp.byID))
	for _, ep := range mp.byID {
		out = append(out, ep.Upstream)
	}
	slices.SortFunc(out, func(one, two Upstream) int { return cmp.Compare(one.ID, two.ID) })
	return out
}
