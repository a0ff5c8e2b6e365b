package model

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// blockTokens is the number of tokens in a block of the prefix cache.
const blockTokens = 16

// maxEvents bounds the number of cache events that are kept for readers. The
// oldest ones are dropped.
const maxEvents = 4096

// CacheEvent reports that the prefix cache stored or evicted a block.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Prefix is the hash of the prompt up to the end of the block.
	Prefix string `json:"prefix"`
	// Tokens is the length of that part of the prompt.
	Tokens int `json:"tokens"`
	at     time.Time
}

// cache is a prefix cache of prompt blocks with LRU eviction.
type cache struct {
	mu        sync.Mutex
	maxBlocks int
	blocks    map[uint64]*list.Element
	byRecency *list.List
	events    []CacheEvent
	seq       uint64
	rng       *rand.Rand
}

type block struct {
	hash   uint64
	tokens int
}

func newCache(maxBlocks int, seed uint64) *cache {
	return &cache{
		maxBlocks: maxBlocks, blocks: make(map[uint64]*list.Element), byRecency: list.New(),
		rng: rand.New(rand.NewPCG(seed, 2)),
	}
}

// lookupAndStore returns the number of leading tokens of the prompt that are
// cached, and stores the full blocks of the prompt. loss is the share of events
// that are lost.
func (ca *cache) lookupAndStore(prompt []string, now time.Time, loss float64) int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	cached, matching := 0, true
	dig := xxhash.New()
	for end := blockTokens; end <= len(prompt); end += blockTokens {
		for _, tok := range prompt[end-blockTokens : end] {
			_, _ = dig.WriteString(tok + "\x00")
		}
		bl := block{hash: dig.Sum64(), tokens: end}
		if el, ok := ca.blocks[bl.hash]; ok {
			ca.byRecency.MoveToFront(el)
			if matching {
				cached = end
			}
			continue
		}
		matching = false
		ca.store(bl, now, loss)
	}
	return cached
}

func (ca *cache) store(bl block, now time.Time, loss float64) {
	if ca.maxBlocks < 1 {
		return
	}
	if len(ca.blocks) >= ca.maxBlocks {
		oldest := ca.byRecency.Back()
		old := ca.byRecency.Remove(oldest).(block)
		delete(ca.blocks, old.hash)
		ca.publish("removed", old, now, loss)
	}
	ca.blocks[bl.hash] = ca.byRecency.PushFront(bl)
	ca.publish("stored", bl, now, loss)
}

// publish assigns the next sequence number to the event and keeps it for readers.
// A lost event leaves a gap in the sequence numbers.
func (ca *cache) publish(kind string, bl block, now time.Time, loss float64) {
	ca.seq++
	if loss > 0 && ca.rng.Float64() < loss {
		return
	}
	if len(ca.events) == maxEvents {
		ca.events = append(ca.events[:0], ca.events[1:]...)
	}
	ca.events = append(ca.events, CacheEvent{
		Seq: ca.seq, Kind: kind, Prefix: fmt.Sprintf("%016x", bl.hash), Tokens: bl.tokens, at: now,
	})
}

// eventsAfter returns the events with sequence numbers above seq that are not later
// than until.
func (ca *cache) eventsAfter(seq uint64, until time.Time) []CacheEvent {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := []CacheEvent{}
	for _, ev := range ca.events {
		if ev.Seq > seq && !ev.at.After(until) {
			out = append(out, ev)
		}
	}
	return out
}

// serveEvents responds with the events after the sequence number in the query
// parameter after.
func (en *Engine) serveEvents(wr http.ResponseWriter, re *http.Request) {
	var seq uint64
	if text := re.URL.Query().Get("after"); text != "" {
		num, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(wr, http.StatusBadRequest, "invalid_request_error", "", `the query parameter "after" is not a number`)
			return
		}
		seq = num
	}
	fault.WriteJSON(wr, http.StatusOK, en.cache.eventsAfter(seq, en.se.clk.Now().Add(-en.se.eventLag)))
}
