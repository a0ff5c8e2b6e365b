package route

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
)

// A word packs what was sent in one report epoch, so that a report replaces the
// epoch and its counts in one atomic step.
const (
	tokenBits   = 32
	requestBits = 16
	countBits   = tokenBits + requestBits
	tokenMask   = 1<<tokenBits - 1
	requestMask = 1<<requestBits - 1
)

// shareScale is the fixed-point scale of entry.share.
const shareScale = 1 << 20

// Ticket stands for one request that was sent. It is passed to Done once.
type Ticket struct {
	en     *entry
	epoch  uint16
	tokens ident.Tokens
	urgent bool
}

// entry holds the router's own work at one upstream.
type entry struct {
	requests atomic.Int64
	tokens   atomic.Int64
	urgent   atomic.Int64
	// current and previous are packed words of the running report epoch and
	// the one before it.
	current  atomic.Uint64
	previous atomic.Uint64
	// share is the part of the previous epoch that the last report missed,
	// because it was taken before it arrived.
	share    atomic.Int64
	received atomic.Int64
}

// Tracker counts the router's own work per upstream. All methods may be called
// from several goroutines, but reports of one upstream must arrive in turn.
type Tracker struct {
	entries *snap.Cell[map[ident.Upstream]*entry]
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{entries: snap.NewCell(map[ident.Upstream]*entry{})}
}

// Sent counts a request that is sent to the upstream.
func (tr *Tracker) Sent(up ident.Upstream, de Demand) Ticket {
	en := tr.entry(up)
	ti := Ticket{en: en, tokens: de.Output, urgent: de.Class == config.Urgent}
	en.requests.Add(1)
	en.tokens.Add(int64(ti.tokens))
	if ti.urgent {
		en.urgent.Add(1)
	}
	for {
		old := en.current.Load()
		if en.current.CompareAndSwap(old, pack(epochOf(old), requestsOf(old)+1, tokensOf(old)+int64(ti.tokens))) {
			ti.epoch = epochOf(old)
			return ti
		}
	}
}

// Done counts the end of a request.
func (tr *Tracker) Done(ti Ticket) {
	en := ti.en
	en.requests.Add(-1)
	en.tokens.Add(-int64(ti.tokens))
	if ti.urgent {
		en.urgent.Add(-1)
	}
	if !subtract(&en.current, ti) {
		subtract(&en.previous, ti)
	}
}

// Report starts a new epoch for the upstream: at is when the report was taken,
// received is when it arrived.
func (tr *Tracker) Report(up ident.Upstream, at, received time.Time) {
	en := tr.entry(up)
	last := en.received.Swap(received.UnixNano())
	share := 1.0
	if interval := received.UnixNano() - last; interval > 0 {
		share = min(1, max(0, float64(received.Sub(at))/float64(interval)))
	}
	en.share.Store(int64(share * shareScale))
	for {
		old := en.current.Load()
		// Stored first, so that a request which ends meanwhile is found in one of
		// the two words; it makes the swap fail if it was taken off the current one.
		en.previous.Store(old)
		if en.current.CompareAndSwap(old, pack(epochOf(old)+1, 0, 0)) {
			return
		}
	}
}

// Own returns the router's own work at the upstream.
func (tr *Tracker) Own(up ident.Upstream) Own {
	en, ok := tr.entries.Load()[up]
	if !ok {
		return Own{}
	}
	cur, prev, share := en.current.Load(), en.previous.Load(), en.share.Load()
	return Own{
		Requests:     int(en.requests.Load()),
		Tokens:       ident.Tokens(en.tokens.Load()),
		SentRequests: int(requestsOf(cur) + requestsOf(prev)*share/shareScale),
		SentTokens:   ident.Tokens(tokensOf(cur) + tokensOf(prev)*share/shareScale),
		Urgent:       int(en.urgent.Load()),
	}
}

// Forget removes the upstream. Tickets that are still open stay valid.
func (tr *Tracker) Forget(up ident.Upstream) {
	tr.entries.Update(func(cur map[ident.Upstream]*entry) (map[ident.Upstream]*entry, bool) {
		if _, ok := cur[up]; !ok {
			return cur, false
		}
		next := maps.Clone(cur)
		delete(next, up)
		return next, true
	})
}

func (tr *Tracker) entry(up ident.Upstream) *entry {
	if en, ok := tr.entries.Load()[up]; ok {
		return en
	}
	fresh := &entry{}
	cur, _ := tr.entries.Update(func(cur map[ident.Upstream]*entry) (map[ident.Upstream]*entry, bool) {
		if _, ok := cur[up]; ok {
			return cur, false
		}
		next := maps.Clone(cur)
		next[up] = fresh
		return next, true
	})
	return cur[up]
}

func subtract(wo *atomic.Uint64, ti Ticket) bool {
	for {
		old := wo.Load()
		if epochOf(old) != ti.epoch || requestsOf(old) == 0 {
			return false
		}
		next := pack(ti.epoch, requestsOf(old)-1, max(0, tokensOf(old)-int64(ti.tokens)))
		if wo.CompareAndSwap(old, next) {
			return true
		}
	}
}

func pack(epoch uint16, requests, tokens int64) uint64 {
	return uint64(epoch)<<countBits | uint64(min(requests, requestMask))<<tokenBits | uint64(min(tokens, tokenMask))
}

func epochOf(wo uint64) uint16   { return uint16(wo >> countBits) }
func requestsOf(wo uint64) int64 { return int64(wo >> tokenBits & requestMask) }
func tokensOf(wo uint64) int64   { return int64(wo & tokenMask) }
