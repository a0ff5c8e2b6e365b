// Package config holds the configuration as an immutable value, validates it,
// and decides which of two revisions a process uses.
package config

import (
	"maps"
	"slices"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Snapshot is one accepted configuration. It is immutable: With methods return
// changed copies. The zero value has revision 0 and is not in force anywhere.
type Snapshot struct {
	revision  ident.Revision
	author    ident.Operator
	accounts  map[ident.Account]Account
	keys      map[KeyHash]ident.Account
	upstreams map[ident.Upstream]Upstream
	services  map[ident.Service]Service
	closed    map[ident.Domain]ClosedDomain
}

// ClosedDomain is a failure domain whose upstreams get no new requests.
type ClosedDomain struct {
	ID ident.Domain `json:"id"`
}

// Revision returns the revision.
func (sn Snapshot) Revision() ident.Revision { return sn.revision }

// Author returns the operator who made the revision.
func (sn Snapshot) Author() ident.Operator { return sn.author }

// Account returns the client account.
func (sn Snapshot) Account(id ident.Account) (Account, bool) {
	ac, ok := sn.accounts[id]
	return ac, ok
}

// AccountByKey returns the client account that the API key's hash belongs to.
func (sn Snapshot) AccountByKey(kh KeyHash) (Account, bool) {
	id, ok := sn.keys[kh]
	if !ok {
		return Account{}, false
	}
	return sn.Account(id)
}

// Accounts returns all client accounts ordered by id.
func (sn Snapshot) Accounts() []Account { return sortedByKey(sn.accounts) }

// Upstream returns the upstream.
func (sn Snapshot) Upstream(id ident.Upstream) (Upstream, bool) {
	up, ok := sn.upstreams[id]
	return up, ok
}

// Upstreams returns all upstreams ordered by id.
func (sn Snapshot) Upstreams() []Upstream { return sortedByKey(sn.upstreams) }

// Service returns the plain service.
func (sn Snapshot) Service(id ident.Service) (Service, bool) {
	se, ok := sn.services[id]
	return se, ok
}

// Services returns all plain services ordered by id.
func (sn Snapshot) Services() []Service { return sortedByKey(sn.services) }

// ClosedDomains returns the closed failure domains ordered by id.
func (sn Snapshot) ClosedDomains() []ClosedDomain { return sortedByKey(sn.closed) }

// DomainClosed reports whether the failure domain is closed.
func (sn Snapshot) DomainClosed(id ident.Domain) bool {
	_, ok := sn.closed[id]
	return ok
}

// HasDomain reports whether some upstream is in the failure domain.
func (sn Snapshot) HasDomain(id ident.Domain) bool {
	for _, up := range sn.upstreams {
		if up.Domain == id {
			return true
		}
	}
	return false
}

// ServesModel reports whether some upstream serves the model.
func (sn Snapshot) ServesModel(mo ident.Model) bool {
	for _, up := range sn.upstreams {
		if slices.Contains(up.Models, mo) {
			return true
		}
	}
	return false
}

// WithRevision returns a copy with the given revision and author.
func (sn Snapshot) WithRevision(re ident.Revision, by ident.Operator) Snapshot {
	sn.revision, sn.author = re, by
	return sn
}

// WithAccount returns a copy in which the client account is added or replaced.
func (sn Snapshot) WithAccount(ac Account) Snapshot {
	sn.accounts = withEntry(sn.accounts, ac.ID, ac)
	sn.keys = keyIndex(sn.accounts)
	return sn
}

// WithoutAccount returns a copy without the client account.
func (sn Snapshot) WithoutAccount(id ident.Account) Snapshot {
	sn.accounts = withoutEntry(sn.accounts, id)
	sn.keys = keyIndex(sn.accounts)
	return sn
}

// WithUpstream returns a copy in which the upstream is added or replaced.
func (sn Snapshot) WithUpstream(up Upstream) Snapshot {
	sn.upstreams = withEntry(sn.upstreams, up.ID, up)
	return sn
}

// WithoutUpstream returns a copy without the upstream.
func (sn Snapshot) WithoutUpstream(id ident.Upstream) Snapshot {
	sn.upstreams = withoutEntry(sn.upstreams, id)
	return sn
}

// WithService returns a copy in which the plain service is added or replaced.
func (sn Snapshot) WithService(se Service) Snapshot {
	sn.services = withEntry(sn.services, se.ID, se)
	return sn
}

// WithoutService returns a copy without the plain service.
func (sn Snapshot) WithoutService(id ident.Service) Snapshot {
	sn.services = withoutEntry(sn.services, id)
	return sn
}

// WithClosedDomain returns a copy in which the failure domain is closed.
func (sn Snapshot) WithClosedDomain(id ident.Domain) Snapshot {
	sn.closed = withEntry(sn.closed, id, ClosedDomain{ID: id})
	return sn
}

// WithoutClosedDomain returns a copy in which the failure domain is open.
func (sn Snapshot) WithoutClosedDomain(id ident.Domain) Snapshot {
	sn.closed = withoutEntry(sn.closed, id)
	return sn
}

// Advance returns next if its revision is higher than that of cur, else cur.
// A process applies it to every configuration that it receives, so that its
// revision in force never decreases. The boolean reports whether next was
// returned.
func Advance(cur, next Snapshot) (Snapshot, bool) {
	if next.revision <= cur.revision {
		return cur, false
	}
	return next, true
}

func keyIndex(accounts map[ident.Account]Account) map[KeyHash]ident.Account {
	index := make(map[KeyHash]ident.Account)
	for _, ac := range accounts {
		for _, kh := range ac.Keys {
			index[kh] = ac.ID
		}
	}
	return index
}

func withEntry[K comparable, V any](ma map[K]V, key K, val V) map[K]V {
	cp := maps.Clone(ma)
	if cp == nil {
		cp = make(map[K]V)
	}
	cp[key] = val
	return cp
}

func withoutEntry[K comparable, V any](ma map[K]V, key K) map[K]V {
	cp := maps.Clone(ma)
	delete(cp, key)
	return cp
}

func sortedByKey[K ~string, V any](ma map[K]V) []V {
	out := make([]V, 0, len(ma))
	for _, key := range slices.Sorted(maps.Keys(ma)) {
		out = append(out, ma[key])
	}
	return out
}
