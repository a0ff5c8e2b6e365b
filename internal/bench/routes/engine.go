// Package routes measures the routing decisions of the router in a simulation on
// virtual time with in-memory models of engines. A run uses one goroutine, and its
// seed determines its result.
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
	// engineRate is the number of tokens per second of an engine. It gives 40 ms
	// between the tokens of one request, below the target of 43 ms.
	engineRate = 2400.0
	// prefillFactor is the rate of prompt processing as a multiple of the token
	// rate.
	prefillFactor = 8
	// cachedPrefixes is the number of prompt prefixes in the cache of an engine.
	cachedPrefixes = 24
)

// job is one request of a caller. A retry by the caller is a new job; a retry by
// the router is another attempt of the same job.
type job struct {
	account int
	class   config.Class
	// servedClass is the class in which the job is queued and served. It differs
	// from class if the account exceeds its share or the queue raised the job.
	servedClass        config.Class
	arrived            time.Time
	firstTokenDeadline time.Time
	deadline           time.Time
	promptTokens       ident.Tokens
	// prefix identifies the shared prefix of the prompt.
	prefix       int
	prefixTokens ident.Tokens
	// expectedOutput is the number of output tokens that the router expects, and
	// outputTokens the number that the engine generates.
	expectedOutput ident.Tokens
	outputTokens   ident.Tokens
	promptPrefixes []route.Prefix
	callerRetries  int
	// original is false for a retry by the caller.
	original bool

	router     *router
	ticket     route.Ticket
	tried      route.Tried
	attempts   int
	started    time.Time
	firstToken time.Time
	end        time.Time
	// generation changes when the job starts or is interrupted, so that the event
	// at the end of an interrupted attempt is ignored.
	generation int
}

// remaining returns the expected number of tokens that are still to be generated.
func (jo *job) remaining(now time.Time) float64 {
	if jo.firstToken.IsZero() || !now.After(jo.firstToken) {
		return float64(jo.expectedOutput)
	}
	fraction := now.Sub(jo.firstToken).Seconds() / max(1e-9, jo.end.Sub(jo.firstToken).Seconds())
	return float64(jo.expectedOutput) * max(0, 1-fraction)
}

// engine models an engine with continuous batching, priorities and a prefix cache.
// It processes one prompt at a time and chooses the next one by priority.
type engine struct {
	id              ident.Upstream
	domain          ident.Domain
	tokensPerSecond float64
	down            bool
	waiting         []*job
	running         []*job
	prefillUntil    time.Time
	wakePlanned     bool
	// cache holds prefixes, the least recently used one first.
	cache      []int
	preemption bool
	preempted  int
	hits       int
	lookups    int
}

// enqueue inserts the job after those of the same or a higher class.
func (en *engine) enqueue(jo *job) {
	at := len(en.waiting)
	for at > 0 && en.waiting[at-1].servedClass.Rank() > jo.servedClass.Rank() {
		at--
	}
	en.waiting = slices.Insert(en.waiting, at, jo)
}

// start assigns free slots to waiting jobs. It returns the jobs that it started and
// those that it dropped because their deadline has passed.
func (en *engine) start(now time.Time) (started, dropped []*job) {
	for len(en.waiting) > 0 && len(en.running) < engineSlots && !en.prefillUntil.After(now) {
		jo := en.waiting[0]
		en.waiting = slices.Delete(en.waiting, 0, 1)
		if now.After(jo.deadline) {
			dropped = append(dropped, jo)
			continue
		}
		jo.started = now
		jo.firstToken = now.Add(en.prefillTime(jo))
		jo.end = jo.firstToken.Add(en.outputTime(jo.outputTokens))
		jo.generation++
		en.prefillUntil = jo.firstToken
		en.lookup(jo.prefix)
		en.running = append(en.running, jo)
		started = append(started, jo)
	}
	return started, dropped
}

// planWake returns the time at which start has to run again because the current
// prompt is processed. It returns false if this is not necessary or planned
// already.
func (en *engine) planWake(now time.Time) (time.Time, bool) {
	if en.wakePlanned || len(en.waiting) == 0 || len(en.running) >= engineSlots || !en.prefillUntil.After(now) {
		return time.Time{}, false
	}
	en.wakePlanned = true
	return en.prefillUntil, true
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

// fail takes the engine down. It clears the cache and removes and returns all jobs.
func (en *engine) fail() []*job {
	jobs := append(en.running, en.waiting...)
	en.running, en.waiting, en.cache, en.down = nil, nil, nil, true
	return jobs
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
		QueuedTokens: ident.Tokens(tokens), TokensPerSecond: en.tokensPerSecond,
	}
}

// preempt interrupts a running batch job if a dry run shows that the urgent job
// meets its first-token deadline with the slot and not without it. Otherwise it
// changes nothing.
func (en *engine) preempt(jo *job, now time.Time) {
	if !en.preemption || jo.servedClass != config.Urgent || len(en.running) < engineSlots {
		return
	}
	prefill := en.prefillTime(jo)
	next, victim := time.Time{}, -1
	for ix, ru := range en.running {
		if next.IsZero() || ru.end.Before(next) {
			next = ru.end
		}
		if ru.servedClass == config.Batch && (victim < 0 || ru.started.After(en.running[victim].started)) {
			victim = ix
		}
	}
	if victim < 0 || !next.Add(prefill).After(jo.firstTokenDeadline) || now.Add(prefill).After(jo.firstTokenDeadline) {
		return
	}
	ru := en.running[victim]
	en.running = slices.Delete(en.running, victim, victim+1)
	ru.generation++
	ru.firstToken = time.Time{}
	en.enqueue(ru)
	en.preempted++
}

// canServeOnTime reports whether the job would be on time if it were sent now. It
// knows the full state of the engine.
func (en *engine) canServeOnTime(jo *job, now time.Time) bool {
	if en.down {
		return false
	}
	start, ahead := now, 0
	if en.prefillUntil.After(start) {
		start = en.prefillUntil
	}
	for _, wa := range en.waiting {
		if wa.class.Rank() <= jo.class.Rank() {
			ahead++
			start = start.Add(en.prefillTime(wa))
		}
	}
	if excess := len(en.running) + ahead - engineSlots; excess >= 0 {
		ends := make([]time.Time, 0, len(en.running))
		for _, ru := range en.running {
			ends = append(ends, ru.end)
		}
		slices.SortFunc(ends, time.Time.Compare)
		if slotFree := ends[min(excess, len(ends)-1)]; slotFree.After(start) {
			start = slotFree
		}
	}
	first := start.Add(en.prefillTime(jo))
	return onTime(jo, first, first.Add(en.outputTime(jo.outputTokens)))
}

func (en *engine) prefillTime(jo *job) time.Duration {
	tokens := jo.promptTokens
	if slices.Contains(en.cache, jo.prefix) {
		tokens -= jo.prefixTokens
	}
	return seconds(float64(tokens) / (prefillFactor * en.tokensPerSecond))
}

func (en *engine) outputTime(tokens ident.Tokens) time.Duration {
	return seconds(float64(tokens) * engineSlots / en.tokensPerSecond)
}

// lookup counts whether the prefix is cached and makes it the most recently used
// one.
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

// onTime reports whether the times of the first and the last token meet the
// deadlines of the job.
func onTime(jo *job, first, end time.Time) bool {
	return !end.After(jo.deadline) && (jo.firstTokenDeadline.IsZero() || !first.After(jo.firstTokenDeadline))
}

func seconds(sec float64) time.Duration {
	return time.Duration(math.Round(sec * float64(time.Second)))
}
