package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Member is an upstream that a router may connect to.
type Member struct {
	Upstream ident.Upstream
	Domain   ident.Domain
}

// scored is a member with its rendezvous score and its rank by that score
// within its failure domain.
type scored struct {
	member Member
	score  uint64
	domain uint64
	rank   int
}

// Subset returns the upstreams that the router keeps links to, ordered by
// identifier. Upstreams are ranked within their failure domain by rendezvous
// hashing. The subset consists of the first of each domain, then the second of
// each, and so on up to the size. When one upstream is added or removed, at most
// one link of the router changes as long as no domain is exhausted. Upstreams that
// serve different models are passed in separate calls, so that the router has
// links for each model.
func Subset(router ident.VM, members []Member, size int) []ident.Upstream {
	list := make([]scored, len(members))
	for ix, me := range members {
		list[ix] = scored{member: me, score: score(router, string(me.Upstream)), domain: score(router, string(me.Domain))}
	}
	slices.SortFunc(list, func(aa, bb scored) int {
		return cmp.Or(cmp.Compare(aa.member.Domain, bb.member.Domain), cmp.Compare(bb.score, aa.score),
			cmp.Compare(aa.member.Upstream, bb.member.Upstream))
	})
	for ix := 1; ix < len(list); ix++ {
		if list[ix].member.Domain == list[ix-1].member.Domain {
			list[ix].rank = list[ix-1].rank + 1
		}
	}
	slices.SortStableFunc(list, func(aa, bb scored) int {
		return cmp.Or(cmp.Compare(aa.rank, bb.rank), cmp.Compare(bb.domain, aa.domain))
	})
	out := make([]ident.Upstream, 0, min(size, len(list)))
	for _, sc := range list[:min(max(0, size), len(list))] {
		out = append(out, sc.member.Upstream)
	}
	slices.Sort(out)
	return out
}

// score returns the rendezvous score of the name for the router.
func score(router ident.VM, name string) uint64 {
	var di xxhash.Digest
	di.Reset()
	// Digest.WriteString never fails.
	_, _ = di.WriteString(string(router))
	_, _ = di.Write([]byte{0})
	_, _ = di.WriteString(name)
	return di.Sum64()
}
