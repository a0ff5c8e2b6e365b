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

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 4096

// CacheEvent tells that the cache stored or evicted a prefix block.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Prefix is the hash of the prompt up to the end of the block.
	Prefix string `json:"prefix"`
	// Tokens is the length of that part of the prompt.
	Tokens int `json:"tokens"`
	at     time.Time
}

// cache keeps the blocks that were used last.
type cache struct {
	mu     sync.Mutex
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List
	events []CacheEvent
	seq    uint64
	rng    *rand.Rand
}

type block struct {
	hash   uint64
	tokens int
}

func newCache(limit int, seed uint64) *cache {
	return &cache{
		limit: limit, blocks: make(map[uint64]*list.Element), recent: list.New(),
		rng: rand.New(rand.NewPCG(seed, 2)),
	}
}

// use returns how many leading tokens of the prompt are cached and stores its
// full blocks.
func (ca *cache) use(prompt []string, now time.Time, loss float64) int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	hit, matching := 0, true
	dig := xxhash.New()
	for end := blockTokens; end <= len(prompt); end += blockTokens {
		for _, tok := range prompt[end-blockTokens : end] {
			_, _ = dig.WriteString(tok + "\x00")
		}
		bl := block{hash: dig.Sum64(), tokens: end}
		if el, ok := ca.blocks[bl.hash]; ok {
			ca.recent.MoveToFront(el)
			if matching {
				hit = end
			}
			continue
		}
		matching = false
		ca.store(bl, now, loss)
	}
	return hit
}

func (ca *cache) store(bl block, now time.Time, loss float64) {
	if ca.limit < 1 {
		return
	}
	if len(ca.blocks) >= ca.limit {
		last := ca.recent.Back()
		old := ca.recent.Remove(last).(block)
		delete(ca.blocks, old.hash)
		ca.publish("removed", old, now, loss)
	}
	ca.blocks[bl.hash] = ca.recent.PushFront(bl)
	ca.publish("stored", bl, now, loss)
}

// publish numbers the event. A lost event leaves a gap in the numbers.
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

// after returns the events with higher numbers that are not later than until.
func (ca *cache) after(seq uint64, until time.Time) []CacheEvent {
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

// serveEvents answers with the events after the number in the query parameter
// after.
func (en *Engine) serveEvents(wr http.ResponseWriter, re *http.Request) {
	var seq uint64
	if text := re.URL.Query().Get("after"); text != "" {
		num, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			fail(wr, http.StatusBadRequest, "invalid_request_error", "", "after is no number")
			return
		}
		seq = num
	}
	fault.WriteJSON(wr, http.StatusOK, en.cache.after(seq, en.se.clk.Now().Add(-en.se.eventLag)))
}
