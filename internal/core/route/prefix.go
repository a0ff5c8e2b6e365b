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
	defaultHintSets   = 1 << 14
	defaultHintMaxAge = 10 * time.Minute
	// hintWays is how many upstreams or colliding prefixes one set can hold.
	hintWays = 4
)

// Block is a prefix of a prompt that ends at a message boundary.
type Block struct {
	Hash   uint64
	Tokens ident.Tokens
}

// Blocks returns the prefixes of a prompt, shortest first. Each message has the
// number of tokens at the same position.
func Blocks(messages [][]byte, tokens []ident.Tokens) []Block {
	out := make([]Block, 0, len(messages))
	var prev Block
	for ix, me := range messages {
		var head [8]byte
		binary.LittleEndian.PutUint64(head[:], prev.Hash)
		di := xxhash.New()
		_, _ = di.Write(head[:])
		_, _ = di.Write(me)
		prev = Block{Hash: di.Sum64(), Tokens: prev.Tokens + tokens[ix]}
		out = append(out, prev)
	}
	return out
}

// CacheEvent is what an engine tells about its prefix cache. Seq numbers the
// events of one upstream without gaps.
type CacheEvent struct {
	Upstream ident.Upstream
	Seq      uint64
	Removed  bool
	Hashes   []uint64
}

// feed is the state of the events of one upstream.
type feed struct {
	seq atomic.Uint64
	// generation rises at a gap. Hints of an older generation are void.
	generation atomic.Uint64
}

// hint is one immutable entry of the index.
type hint struct {
	hash       uint64
	upstream   ident.Upstream
	feed       *feed
	generation uint64
	seen       time.Time
}

// Prefixes is a bounded index from prefix hashes to the upstreams that probably
// cache them. Lookups take no lock. Entries age out; a gap in the events of an
// upstream voids all its entries.
type Prefixes struct {
	slots  []atomic.Pointer[hint]
	sets   uint64
	maxAge time.Duration
	feeds  *snap.Cell[map[ident.Upstream]*feed]
}

// PrefixOption configures a Prefixes.
type PrefixOption func(*Prefixes)

// WithHintSets sets the number of sets of four entries. The default is 16384,
// the range is 1 to 1<<24.
func WithHintSets(sets int) PrefixOption {
	return func(pr *Prefixes) { pr.sets = uint64(min(max(1, sets), 1<<24)) }
}

// WithHintMaxAge sets the time after which an entry is ignored. The default is
// 10 minutes, the range is above 0.
func WithHintMaxAge(age time.Duration) PrefixOption {
	return func(pr *Prefixes) { pr.maxAge = age }
}

// NewPrefixes returns an empty index.
func NewPrefixes(opts ...PrefixOption) *Prefixes {
	pr := &Prefixes{sets: defaultHintSets, maxAge: defaultHintMaxAge, feeds: snap.NewCell(map[ident.Upstream]*feed{})}
	for _, opt := range opts {
		opt(pr)
	}
	pr.slots = make([]atomic.Pointer[hint], pr.sets*hintWays)
	return pr
}

// Lookup returns the hint for the longest known prefix.
func (pr *Prefixes) Lookup(blocks []Block, now time.Time) Hint {
	for ix := len(blocks) - 1; ix >= 0; ix-- {
		var best *hint
		set := pr.set(blocks[ix].Hash)
		for way := range set {
			hi := set[way].Load()
			if pr.valid(hi, now) && hi.hash == blocks[ix].Hash && (best == nil || hi.seen.After(best.seen)) {
				best = hi
			}
		}
		if best != nil {
			return Hint{Upstream: best.upstream, Tokens: blocks[ix].Tokens}
		}
	}
	return Hint{}
}

// Remember records that the upstream was sent a prompt and so caches its
// prefixes.
func (pr *Prefixes) Remember(up ident.Upstream, blocks []Block, now time.Time) {
	fe := pr.feed(up)
	for _, bl := range blocks {
		pr.put(up, fe, bl.Hash, now)
	}
}

// Observe applies an event. An event that comes after a later one is ignored,
// because its effect may have been undone since. A skipped sequence number may
// hide a removal, so it voids all entries of the upstream.
func (pr *Prefixes) Observe(ev CacheEvent, now time.Time) {
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
			pr.drop(ev.Upstream, ha)
		} else {
			pr.put(ev.Upstream, fe, ha, now)
		}
	}
}

// Forget voids all entries of the upstream, for example after its restart.
func (pr *Prefixes) Forget(up ident.Upstream) {
	fe := pr.feed(up)
	fe.seq.Store(0)
	fe.generation.Add(1)
}

func (pr *Prefixes) set(ha uint64) []atomic.Pointer[hint] {
	at := ha % pr.sets * hintWays
	return pr.slots[at : at+hintWays]
}

func (pr *Prefixes) valid(hi *hint, now time.Time) bool {
	return hi != nil && hi.generation == hi.feed.generation.Load() && now.Sub(hi.seen) <= pr.maxAge
}

// put stores the entry in place of its older version, an invalid entry or the
// oldest one of the set.
func (pr *Prefixes) put(up ident.Upstream, fe *feed, ha uint64, now time.Time) {
	set := pr.set(ha)
	victim, age := 0, time.Duration(-1)
	for way := range set {
		hi := set[way].Load()
		if hi != nil && hi.hash == ha && hi.upstream == up {
			victim = way
			break
		}
		if !pr.valid(hi, now) {
			victim, age = way, time.Duration(1<<62)
		} else if now.Sub(hi.seen) > age {
			victim, age = way, now.Sub(hi.seen)
		}
	}
	set[victim].Store(&hint{hash: ha, upstream: up, feed: fe, generation: fe.generation.Load(), seen: now})
}

func (pr *Prefixes) drop(up ident.Upstream, ha uint64) {
	set := pr.set(ha)
	for way := range set {
		if hi := set[way].Load(); hi != nil && hi.hash == ha && hi.upstream == up {
			set[way].CompareAndSwap(hi, nil)
		}
	}
}

func (pr *Prefixes) feed(up ident.Upstream) *feed {
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
