// Package routes measures the decisions of the router on virtual time, against
// small in-memory models of engines. It runs in one goroutine with fixed seeds.
package routes

import (
	"math"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

const (
	engineSlots = 96
	// engineRate gives 40 ms between the tokens of one request, below the target
	// of 43 ms.
	engineRate = 2400.0
	// prefillFactor is the speed of prompt processing relative to engineRate.
	prefillFactor = 8
	// cachedPrefixes is how many prompt prefixes an engine keeps.
	cachedPrefixes = 24
)

// job is one attempt of a caller.
type job struct {
	account int
	class   config.Class
	// ranked is the class in which the job is served: that of the caller, or a
	// lower one while its account exceeds its share.
	ranked   config.Class
	arrived  time.Time
	firstBy  time.Time
	deadline time.Time
	prompt   ident.Tokens
	prefix   int
	shared   ident.Tokens
	// expected is what the router is told; output is what the engine generates.
	expected ident.Tokens
	output   ident.Tokens
	blocks   []route.Block
	tries    int
	original bool

	router   *router
	ticket   route.Ticket
	tried    route.Tried
	attempts int
	started  time.Time
	first    time.Time
	end      time.Time
	run      int
}

// remaining returns the expected tokens that the job may still produce.
func (jo *job) remaining(now time.Time) float64 {
	if jo.first.IsZero() || !now.After(jo.first) {
		return float64(jo.expected)
	}
	part := now.Sub(jo.first).Seconds() / max(1e-9, jo.end.Sub(jo.first).Seconds())
	return float64(jo.expected) * max(0, 1-part)
}

// engine is a model engine with continuous batching, priorities and a prefix
// cache. Prompts are processed one after the other, and the next one is chosen
// by priority when the last is done.
type engine struct {
	id      ident.Upstream
	domain  ident.Domain
	rate    float64
	down    bool
	waiting []*job
	running []*job
	prefill time.Time
	waking  bool
	cache   []int

	preempts  bool
	preempted int
	hits      int
	lookups   int
}

// enqueue adds the job behind those of the same or a higher class.
func (en *engine) enqueue(jo *job) {
	at := len(en.waiting)
	for at > 0 && en.waiting[at-1].ranked.Rank() > jo.ranked.Rank() {
		at--
	}
	en.waiting = slices.Insert(en.waiting, at, jo)
}

// start gives free slots to waiting jobs and returns those that it started and
// those that it dropped because their deadline has passed.
func (en *engine) start(now time.Time) (started, dropped []*job) {
	for len(en.waiting) > 0 && len(en.running) < engineSlots && !en.prefill.After(now) {
		jo := en.waiting[0]
		en.waiting = slices.Delete(en.waiting, 0, 1)
		if now.After(jo.deadline) {
			dropped = append(dropped, jo)
			continue
		}
		jo.started = now
		jo.first = now.Add(en.prefillTime(jo))
		jo.end = jo.first.Add(en.outputTime(jo.output))
		jo.run++
		en.prefill = jo.first
		en.lookup(jo.prefix)
		en.running = append(en.running, jo)
		started = append(started, jo)
	}
	return started, dropped
}

// wake returns when start should run again because a prompt is done, and
// whether nothing else has planned that.
func (en *engine) wake(now time.Time) (time.Time, bool) {
	if en.waking || len(en.waiting) == 0 || len(en.running) >= engineSlots || !en.prefill.After(now) {
		return time.Time{}, false
	}
	en.waking = true
	return en.prefill, true
}

// finish removes the job and reports whether it was running.
func (en *engine) finish(jo *job) bool {
	at := slices.Index(en.running, jo)
	if at < 0 {
		return false
	}
	en.running = slices.Delete(en.running, at, at+1)
	return true
}

// fail empties the engine and returns all its jobs.
func (en *engine) fail() []*job {
	lost := append(en.running, en.waiting...)
	en.running, en.waiting, en.cache, en.down = nil, nil, nil, true
	return lost
}

func (en *engine) load(now time.Time) route.Load {
	tokens := 0.0
	for _, jo := range en.running {
		tokens += jo.remaining(now)
	}
	for _, jo := range en.waiting {
		tokens += jo.remaining(now)
	}
	return route.Load{
		At: now, Running: len(en.running), Waiting: len(en.waiting), Slots: engineSlots,
		QueuedTokens: ident.Tokens(tokens), TokensPerSecond: en.rate,
	}
}

// makesRoom takes a slot from a batch job when a dry run shows that the urgent
// job meets its first-token deadline with it and not without it; otherwise it
// changes nothing.
func (en *engine) makesRoom(jo *job, now time.Time) {
	if !en.preempts || jo.ranked != config.Urgent || len(en.running) < engineSlots {
		return
	}
	need := en.prefillTime(jo)
	next, victim := time.Time{}, -1
	for ix, ru := range en.running {
		if next.IsZero() || ru.end.Before(next) {
			next = ru.end
		}
		if ru.ranked == config.Batch && (victim < 0 || ru.started.After(en.running[victim].started)) {
			victim = ix
		}
	}
	if victim < 0 || !next.Add(need).After(jo.firstBy) || now.Add(need).After(jo.firstBy) {
		return
	}
	ru := en.running[victim]
	en.running = slices.Delete(en.running, victim, victim+1)
	ru.run++
	ru.first = time.Time{}
	en.enqueue(ru)
	en.preempted++
}

// meets reports whether the job would be on time if it were sent now, with full
// knowledge of the engine.
func (en *engine) meets(jo *job, now time.Time) bool {
	if en.down {
		return false
	}
	begin, ahead := now, 0
	if en.prefill.After(begin) {
		begin = en.prefill
	}
	for _, wa := range en.waiting {
		if wa.class.Rank() <= jo.class.Rank() {
			ahead++
			begin = begin.Add(en.prefillTime(wa))
		}
	}
	if over := len(en.running) + ahead - engineSlots; over >= 0 {
		ends := make([]time.Time, 0, len(en.running))
		for _, ru := range en.running {
			ends = append(ends, ru.end)
		}
		slices.SortFunc(ends, time.Time.Compare)
		if free := ends[min(over, len(ends)-1)]; free.After(begin) {
			begin = free
		}
	}
	first := begin.Add(en.prefillTime(jo))
	return onTime(jo, first, first.Add(en.outputTime(jo.output)))
}

func (en *engine) prefillTime(jo *job) time.Duration {
	tokens := jo.prompt
	if slices.Contains(en.cache, jo.prefix) {
		tokens -= jo.shared
	}
	return span(float64(tokens) / (prefillFactor * en.rate))
}

func (en *engine) outputTime(tokens ident.Tokens) time.Duration {
	return span(float64(tokens) * engineSlots / en.rate)
}

// lookup moves the prefix to the front of the cache.
func (en *engine) lookup(prefix int) {
	en.lookups++
	if at := slices.Index(en.cache, prefix); at >= 0 {
		en.hits++
		en.cache = slices.Delete(en.cache, at, at+1)
	}
	en.cache = append(en.cache, prefix)
	if len(en.cache) > cachedPrefixes {
		en.cache = slices.Delete(en.cache, 0, 1)
	}
}

func onTime(jo *job, first, end time.Time) bool {
	return !end.After(jo.deadline) && (jo.firstBy.IsZero() || !first.After(jo.firstBy))
}

func span(sec float64) time.Duration {
	return time.Duration(math.Round(sec * float64(time.Second)))
}
