package place

import (
	"maps"
	"slices"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// DomainSet is an immutable set of failure domains. The zero value is empty.
type DomainSet struct {
	members map[ident.Domain]struct{}
}

// NewDomainSet returns the set of the domains.
func NewDomainSet(domains ...ident.Domain) DomainSet {
	ds := DomainSet{members: make(map[ident.Domain]struct{}, len(domains))}
	for _, domain := range domains {
		ds.members[domain] = struct{}{}
	}
	return ds
}

// Contains reports whether the domain is in the set.
func (ds DomainSet) Contains(domain ident.Domain) bool {
	_, ok := ds.members[domain]
	return ok
}

// Equal reports whether both sets have the same members.
func (ds DomainSet) Equal(other DomainSet) bool { return maps.Equal(ds.members, other.members) }

// Without returns the members that are not in the other set, in order.
func (ds DomainSet) Without(other DomainSet) []ident.Domain {
	var out []ident.Domain
	for _, domain := range ds.List() {
		if !other.Contains(domain) {
			out = append(out, domain)
		}
	}
	return out
}

// List returns the members in order.
func (ds DomainSet) List() []ident.Domain { return slices.Sorted(maps.Keys(ds.members)) }
