package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

func prefixes(parts ...string) []route.Prefix {
	var messages [][]byte
	var tokens []ident.Tokens
	for _, pa := range parts {
		messages, tokens = append(messages, []byte(pa)), append(tokens, 100)
	}
	return route.PromptPrefixes(messages, tokens)
}

// TestPrefixIndex guards against hints from events that are late, incomplete or
// old, and against matching equal messages after different prefixes.
func TestPrefixIndex(t *testing.T) {
	long, short := prefixes("system", "sheet", "question"), prefixes("system", "sheet")
	stored := func(seq uint64) route.CacheEvent {
		return route.CacheEvent{Upstream: "e", Seq: seq, Hashes: []uint64{short[1].Hash}}
	}
	removed := func(seq uint64) route.CacheEvent {
		ev := stored(seq)
		ev.Removed = true
		return ev
	}
	cases := []struct {
		name   string
		events []route.CacheEvent
		age    time.Duration
		want   route.Hint
	}{
		{"longest known prefix", []route.CacheEvent{stored(1)}, 0, route.Hint{Upstream: "e", Tokens: 200}},
		{"removed", []route.CacheEvent{stored(1), removed(2)}, 0, route.Hint{}},
		{"late event", []route.CacheEvent{removed(2), stored(1)}, 0, route.Hint{}},
		{"gap", []route.CacheEvent{stored(1), {Upstream: "e", Seq: 3}}, 0, route.Hint{}},
		{"stored after a gap", []route.CacheEvent{stored(1), stored(3)}, 0, route.Hint{Upstream: "e", Tokens: 200}},
		{"aged", []route.CacheEvent{stored(1)}, time.Hour, route.Hint{}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			pr := route.NewPrefixIndex(route.WithPrefixSets(64))
			for _, ev := range ca.events {
				pr.ApplyEvent(ev, start)
			}
			if diff := cmp.Diff(ca.want, pr.Lookup(long, start.Add(ca.age))); diff != "" {
				t.Errorf("hint (-want +got):\n%s", diff)
			}
		})
	}
	pr := route.NewPrefixIndex()
	pr.RecordPrompt("e", prefixes("system", "sheet"), start)
	if got := pr.Lookup(prefixes("other", "sheet"), start); got != (route.Hint{}) {
		t.Errorf("hint for a message after another prefix: %v", got)
	}
	pr.Forget("e")
	if got := pr.Lookup(short, start); got != (route.Hint{}) {
		t.Errorf("hint after Forget: %v", got)
	}
}

// TestSubset guards against links that are concentrated in one failure domain,
// leave upstreams without routers, or move when an unrelated upstream is removed.
func TestSubset(t *testing.T) {
	const routers, size = 380, 48
	var members []route.Member
	for ix := range 600 {
		members = append(members, route.Member{
			Upstream: ident.Upstream(fmt.Sprintf("engine-%03d", ix)), Domain: ident.Domain(fmt.Sprint("domain-", ix%7)),
		})
	}
	links, moved := map[ident.Upstream]int{}, 0
	for ro := range routers {
		router := ident.VM(fmt.Sprint("router-", ro))
		before := route.Subset(router, members, size)
		domains := map[ident.Domain]int{}
		for _, up := range before {
			links[up]++
			at := slices.IndexFunc(members, func(me route.Member) bool { return me.Upstream == up })
			domains[members[at].Domain]++
		}
		for do, count := range domains {
			if count < size/7 || count > size/7+1 {
				t.Fatalf("%s has %d links in %s", router, count, do)
			}
		}
		for _, up := range route.Subset(router, members[1:], size) {
			if !slices.Contains(before, up) {
				moved++
			}
		}
	}
	if moved != links[members[0].Upstream] {
		t.Errorf("%d links moved, want %d", moved, links[members[0].Upstream])
	}
	for _, me := range members {
		if links[me.Upstream] == 0 {
			t.Errorf("%s has no router", me.Upstream)
		}
	}
}
