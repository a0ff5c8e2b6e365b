package route

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
)

// A word packs a report epoch with the counts of the requests and tokens sent in
// it, so that a report replaces the epoch and its counts in one atomic step.
const (
	tokenBits   = 32
	requestBits = 16
	countBits   = tokenBits + requestBits
	tokenMask   = 1<<tokenBits - 1
	requestMask = 1<<requestBits - 1
)

// missedShareScale is the fixed-point scale of ownCounters.missedShare.
const missedShareScale = 1 << 20

// Ticket identifies a request that was sent. It is passed to Done once.
type Ticket struct {
	oc     *ownCounters
	epoch  uint16
	tokens ident.Tokens
	urgent bool
}

// ownCounters counts this router's outstanding requests at one upstream.
type ownCounters struct {
	requests atomic.Int64
	tokens   atomic.Int64
	urgent   atomic.Int64
	// current and previous are the packed words of the current report epoch and
	// the one before it.
	current  atomic.Uint64
	previous atomic.Uint64
	// missedShare is the share of the previous epoch that the last report does not
	// cover, because time passes between its creation and its arrival.
	missedShare atomic.Int64
	// lastReceived is the time at which the last report arrived.
	lastReceived atomic.Int64
}

// Tracker counts this router's outstanding requests per upstream. Its methods are
// safe for concurrent use, but Report must not be called concurrently for the same
// upstream.
type Tracker struct {
	byUpstream *snap.Cell[map[ident.Upstream]*ownCounters]
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{byUpstream: snap.NewCell(map[ident.Upstream]*ownCounters{})}
}

// Sent counts the start of a request that is sent to the upstream.
func (tr *Tracker) Sent(up ident.Upstream, de Demand) Ticket {
	oc := tr.ownCounters(up)
	ti := Ticket{oc: oc, tokens: de.Output, urgent: de.Class == config.Urgent}
	oc.requests.Add(1)
	oc.tokens.Add(int64(ti.tokens))
	if ti.urgent {
		oc.urgent.Add(1)
	}
	for {
		old := oc.current.Load()
		if oc.current.CompareAndSwap(old, pack(epochOf(old), requestsOf(old)+1, tokensOf(old)+int64(ti.tokens))) {
			ti.epoch = epochOf(old)
			return ti
		}
	}
}

// Done counts the end of a request.
func (tr *Tracker) Done(ti Ticket) {
	oc := ti.oc
	oc.requests.Add(-1)
	oc.tokens.Add(-int64(ti.tokens))
	if ti.urgent {
		oc.urgent.Add(-1)
	}
	if !subtract(&oc.current, ti) {
		subtract(&oc.previous, ti)
	}
}

// Report starts a new epoch for the upstream: at is the time at which the report
// was created, received the time at which it arrived.
func (tr *Tracker) Report(up ident.Upstream, at, received time.Time) {
	oc := tr.ownCounters(up)
	last := oc.lastReceived.Swap(received.UnixNano())
	missed := 1.0
	if interval := received.UnixNano() - last; interval > 0 {
		missed = min(1, max(0, float64(received.Sub(at))/float64(interval)))
	}
	oc.missedShare.Store(int64(missed * missedShareScale))
	for {
		old := oc.current.Load()
		// The previous word is stored before the swap, so that a request that
		// ends in the meantime finds its epoch in one of the two words. If it
		// changes the current word first, the swap fails and is repeated.
		oc.previous.Store(old)
		if oc.current.CompareAndSwap(old, pack(epochOf(old)+1, 0, 0)) {
			return
		}
	}
}

// OwnLoad returns this router's outstanding requests at the upstream.
func (tr *Tracker) OwnLoad(up ident.Upstream) OwnLoad {
	oc, ok := tr.byUpstream.Load()[up]
	if !ok {
		return OwnLoad{}
	}
	cur, prev, missed := oc.current.Load(), oc.previous.Load(), oc.missedShare.Load()
	return OwnLoad{
		Requests:           int(oc.requests.Load()),
		Tokens:             ident.Tokens(oc.tokens.Load()),
		UnreportedRequests: int(requestsOf(cur) + requestsOf(prev)*missed/missedShareScale),
		UnreportedTokens:   ident.Tokens(tokensOf(cur) + tokensOf(prev)*missed/missedShareScale),
		Urgent:             int(oc.urgent.Load()),
	}
}

// Forget removes the upstream. Tickets that were not passed to Done remain valid.
func (tr *Tracker) Forget(up ident.Upstream) {
	tr.byUpstream.Update(func(cur map[ident.Upstream]*ownCounters) (map[ident.Upstream]*ownCounters, bool) {
		if _, ok := cur[up]; !ok {
			return cur, false
		}
		next := maps.Clone(cur)
		delete(next, up)
		return next, true
	})
}

func (tr *Tracker) ownCounters(up ident.Upstream) *ownCounters {
	if oc, ok := tr.byUpstream.Load()[up]; ok {
		return oc
	}
	fresh := &ownCounters{}
	cur, _ := tr.byUpstream.Update(func(cur map[ident.Upstream]*ownCounters) (map[ident.Upstream]*ownCounters, bool) {
		if _, ok := cur[up]; ok {
			return cur, false
		}
		next := maps.Clone(cur)
		next[up] = fresh
		return next, true
	})
	return cur[up]
}

// subtract removes the request from the word, and reports false if the word does
// not count it.
func subtract(word *atomic.Uint64, ti Ticket) bool {
	for {
		old := word.Load()
		if epochOf(old) != ti.epoch || requestsOf(old) == 0 {
			return false
		}
		next := pack(ti.epoch, requestsOf(old)-1, max(0, tokensOf(old)-int64(ti.tokens)))
		if word.CompareAndSwap(old, next) {
			return true
		}
	}
}

func pack(epoch uint16, requests, tokens int64) uint64 {
	return uint64(epoch)<<countBits | uint64(min(requests, requestMask))<<tokenBits | uint64(min(tokens, tokenMask))
}

func epochOf(word uint64) uint16   { return uint16(word >> countBits) }
func requestsOf(word uint64) int64 { return int64(word >> tokenBits & requestMask) }
func tokensOf(word uint64) int64   { return int64(word & tokenMask) }
