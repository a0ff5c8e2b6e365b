package route

import (
	"encoding/binary"
	"maps"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
)

const (
	defaultPrefixSets   = 1 << 14
	defaultPrefixMaxAge = 10 * time.Minute
	// setSize is the number of entries of a set. They hold several upstreams of one
	// prefix, or prefixes whose hashes fall into the same set.
	setSize = 4
)

// Prefix is a prefix of a prompt that ends at a message boundary.
type Prefix struct {
	Hash   uint64
	Tokens ident.Tokens
}

// PromptPrefixes returns the prefixes of a prompt, shortest first. tokens holds
// the length of each message.
func PromptPrefixes(messages [][]byte, tokens []ident.Tokens) []Prefix {
	out := make([]Prefix, 0, len(messages))
	var prev Prefix
	for ix, me := range messages {
		var head [8]byte
		binary.LittleEndian.PutUint64(head[:], prev.Hash)
		di := xxhash.New()
		_, _ = di.Write(head[:])
		_, _ = di.Write(me)
		prev = Prefix{Hash: di.Sum64(), Tokens: prev.Tokens + tokens[ix]}
		out = append(out, prev)
	}
	return out
}

// CacheEvent reports a change of an engine's prefix cache. Seq numbers the events
// of one upstream without gaps.
type CacheEvent struct {
	Upstream ident.Upstream
	Seq      uint64
	Removed  bool
	Hashes   []uint64
}

// feed holds the position in the cache events of one upstream.
type feed struct {
	seq atomic.Uint64
	// generation is incremented at a gap. Entries of an older generation are
	// invalid.
	generation atomic.Uint64
}

// indexEntry records that an upstream probably caches a prefix. It is immutable.
type indexEntry struct {
	hash       uint64
	upstream   ident.Upstream
	feed       *feed
	generation uint64
	seenAt     time.Time
}

// PrefixIndex is a bounded index from prefix hashes to the upstreams that probably
// cache them. Lookups take no lock. Entries expire; a gap in the events of an
// upstream invalidates all its entries.
type PrefixIndex struct {
	slots  []atomic.Pointer[indexEntry]
	sets   uint64
	maxAge time.Duration
	feeds  *snap.Cell[map[ident.Upstream]*feed]
}

// PrefixIndexOption configures a prefix index.
type PrefixIndexOption func(*PrefixIndex)

// WithPrefixSets sets the number of sets of four entries. The default is 16384,
// the range is 1 to 1<<24.
func WithPrefixSets(sets int) PrefixIndexOption {
	return func(pr *PrefixIndex) { pr.sets = uint64(min(max(1, sets), 1<<24)) }
}

// WithPrefixMaxAge sets the time after which an entry is ignored. The default is
// 10 minutes, the range is above 0.
func WithPrefixMaxAge(age time.Duration) PrefixIndexOption {
	return func(pr *PrefixIndex) { pr.maxAge = age }
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(opts ...PrefixIndexOption) *PrefixIndex {
	pr := &PrefixIndex{sets: defaultPrefixSets, maxAge: defaultPrefixMaxAge, feeds: snap.NewCell(map[ident.Upstream]*feed{})}
	for _, opt := range opts {
		opt(pr)
	}
	pr.slots = make([]atomic.Pointer[indexEntry], pr.sets*setSize)
	return pr
}

// Lookup returns the hint for the longest known prefix, or the zero value.
func (pr *PrefixIndex) Lookup(prefixes []Prefix, now time.Time) Hint {
	for ix := len(prefixes) - 1; ix >= 0; ix-- {
		var best *indexEntry
		set := pr.set(prefixes[ix].Hash)
		for slot := range set {
			ie := set[slot].Load()
			if pr.valid(ie, now) && ie.hash == prefixes[ix].Hash && (best == nil || ie.seenAt.After(best.seenAt)) {
				best = ie
			}
		}
		if best != nil {
			return Hint{Upstream: best.upstream, Tokens: prefixes[ix].Tokens}
		}
	}
	return Hint{}
}

// RecordPrompt records that the prompt was sent to the upstream, which therefore
// caches its prefixes.
func (pr *PrefixIndex) RecordPrompt(up ident.Upstream, prefixes []Prefix, now time.Time) {
	fe := pr.feed(up)
	for _, pf := range prefixes {
		pr.put(up, fe, pf.Hash, now)
	}
}

// ApplyEvent applies an event. An event that arrives after a later one is ignored,
// because the later one may have undone its effect. A skipped sequence number may
// hide a removal, so it invalidates all entries of the upstream.
func (pr *PrefixIndex) ApplyEvent(ev CacheEvent, now time.Time) {
	fe := pr.feed(ev.Upstream)
	for {
		last := fe.seq.Load()
		if ev.Seq <= last {
			return
		}
		if fe.seq.CompareAndSwap(last, ev.Seq) {
			if last != 0 && ev.Seq != last+1 {
				fe.generation.Add(1)
			}
			break
		}
	}
	for _, ha := range ev.Hashes {
		if ev.Removed {
			pr.remove(ev.Upstream, ha)
		} else {
			pr.put(ev.Upstream, fe, ha, now)
		}
	}
}

// Forget invalidates all entries of the upstream, for example after its restart.
func (pr *PrefixIndex) Forget(up ident.Upstream) {
	fe := pr.feed(up)
	fe.seq.Store(0)
	fe.generation.Add(1)
}

func (pr *PrefixIndex) set(ha uint64) []atomic.Pointer[indexEntry] {
	at := ha % pr.sets * setSize
	return pr.slots[at : at+setSize]
}

func (pr *PrefixIndex) valid(ie *indexEntry, now time.Time) bool {
	return ie != nil && ie.generation == ie.feed.generation.Load() && now.Sub(ie.seenAt) <= pr.maxAge
}

// put stores an entry. It replaces the older version of the entry if there is one,
// else an invalid entry or the oldest one of the set.
func (pr *PrefixIndex) put(up ident.Upstream, fe *feed, ha uint64, now time.Time) {
	set := pr.set(ha)
	victim, age := 0, time.Duration(-1)
	for slot := range set {
		ie := set[slot].Load()
		if ie != nil && ie.hash == ha && ie.upstream == up {
			victim = slot
			break
		}
		if !pr.valid(ie, now) {
			victim, age = slot, time.Duration(1<<62)
		} else if now.Sub(ie.seenAt) > age {
			victim, age = slot, now.Sub(ie.seenAt)
		}
	}
	set[victim].Store(&indexEntry{hash: ha, upstream: up, feed: fe, generation: fe.generation.Load(), seenAt: now})
}

func (pr *PrefixIndex) remove(up ident.Upstream, ha uint64) {
	set := pr.set(ha)
	for slot := range set {
		if ie := set[slot].Load(); ie != nil && ie.hash == ha && ie.upstream == up {
			set[slot].CompareAndSwap(ie, nil)
		}
	}
}

func (pr *PrefixIndex) feed(up ident.Upstream) *feed {
	if fe, ok := pr.feeds.Load()[up]; ok {
		return fe
	}
	cur, _ := pr.feeds.Update(func(cur map[ident.Upstream]*feed) (map[ident.Upstream]*feed, bool) {
		if _, ok := cur[up]; ok {
			return cur, false
		}
		next := maps.Clone(cur)
		next[up] = &feed{}
		return next, true
	})
	return cur[up]
}
