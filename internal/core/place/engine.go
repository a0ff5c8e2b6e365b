package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// runningRequestMs is the cost of each running request: it lengthens a decoding step
	// by about 0.02 ms, and a response takes about 60 steps. It is scaled by the measured
	// growth of the gaps.
	runningRequestMs = 1.2
	// decodeMs is the cost of decoding at the usual speed. It counts less than the time
	// that decoding takes, because later events are due later.
	decodeMs = 60.0
	// defaultEngineMs is the time of a whole request, in milliseconds, that is assumed
	// until one was measured.
	defaultEngineMs = 3000.0
	// remoteDomainMs is the extra cost of an upstream in another failure domain:
	// the network adds 0.3 ms each way, and bytes between domains are charged.
	remoteDomainMs = 2.0
	// prefillWeight is the weight of the time to prefill a prompt: it delays the tokens
	// of all other requests at the engine too.
	prefillWeight = 1.5
	// prefixLifetime is how long an engine is assumed to cache a prefix.
	prefixLifetime = 30 * time.Second
)

// cachedProbability holds the assumed probabilities that the first engines in the
// rendezvous order of a prefix cache it because other routers prefer them too.
var cachedProbability = [...]float64{0.85, 0.5, 0.25}

// Prompt describes the prompt of a request for the choice of an engine.
type Prompt struct {
	// Input is the length of the whole prompt.
	Input ident.Tokens
	// Shared lists the prefixes that the prompt has in common with those of other
	// requests, shortest first.
	Shared []Prefix
}

// Unshared returns the number of tokens that the prompt has in common with no other
// request.
func (pr Prompt) Unshared() ident.Tokens {
	rest := pr.Input
	for _, pf := range pr.Shared {
		rest -= pf.Tokens
	}
	return max(0, rest)
}

// Prefix is a prefix of a prompt that ends with a shared part. Tokens is the
// length of its last part only.
type Prefix struct {
	Hash   uint64
	Tokens ident.Tokens
}

// WithPart returns a copy whose shared prefix is extended by one part.
func (pr Prompt) WithPart(id string, tokens ident.Tokens) Prompt {
	var before uint64
	if n := len(pr.Shared); n > 0 {
		before = pr.Shared[n-1].Hash
	}
	next := make([]Prefix, len(pr.Shared), len(pr.Shared)+1)
	copy(next, pr.Shared)
	pr.Shared = append(next, Prefix{Hash: mix(before*31 + xxhash.Sum64String(id)), Tokens: tokens})
	return pr
}

// EnginePolicy is the policy for model engines: it chooses the engine with the
// lowest expected time to the first token. Prompts with a common prefix prefer
// the same engines, which all routers determine by rendezvous hashing.
type EnginePolicy struct {
	prefixes *RecentPrefixes
	cheapest Cheapest[orderedDemand]
}

// orderedDemand is a demand with the engines that probably cache its prompt.
type orderedDemand struct {
	Demand
	order rendezvousOrder
}

// NewEnginePolicy returns the policy.
func NewEnginePolicy(opts ...Option) *EnginePolicy {
	en := &EnginePolicy{prefixes: NewRecentPrefixes(prefixLifetime)}
	en.cheapest = newCheapest(en.cost, opts)
	return en
}

// Choose returns the engine and the number of prompt tokens that it probably has
// to prefill.
func (en *EnginePolicy) Choose(list []*Endpoint, de Demand, now time.Time) (*Endpoint, ident.Tokens) {
	ep := en.cheapest.Choose(list, orderedDemand{de, newRendezvousOrder(list, de.Prompt)}, now)
	if ep == nil {
		return nil, 0
	}
	return ep, max(0, de.Prompt.Input-en.cachedTokens(ep, de.Prompt, now))
}

// RecordPrompt records that the engine has prefilled the prompt and so caches
// its shared prefixes.
func (en *EnginePolicy) RecordPrompt(ep *Endpoint, pr Prompt, now time.Time) {
	for _, pf := range pr.Shared {
		en.prefixes.Add(pf.Hash, ep.hash, now)
	}
}

// cost returns the expected delay in milliseconds.
func (en *EnginePolicy) cost(ep *Endpoint, de orderedDemand, now time.Time) float64 {
	return en.terms(ep, de, now).Total()
}

// terms returns the parts of the cost.
func (en *EnginePolicy) terms(ep *Endpoint, de orderedDemand, now time.Time) Terms {
	requests, room := ep.expectedRequests(defaultEngineMs, now), ep.Limit(now)
	te := Terms{
		Work:     ep.prefillMs(max(0, de.Prompt.Input-en.cachedTokens(ep, de.Prompt, now)), now),
		Requests: runningRequestMs * ep.profile.gapGrowth() / defaultGapGrowth * requests,
		Slowness: ep.Slowness(now), Saving: de.order.expectedSavingMs(ep, de.Prompt),
	}
	if over := requests - room + 1; over > 0 {
		// There is room again each time that one of the running requests ends.
		te.OverLimit = ep.profile.ServiceTime(defaultEngineMs) / room * over
	}
	te.SlowDecoding = decodeMs * (te.Slowness - 1)
	if ep.Domain != de.Domain {
		te.Remote = remoteDomainMs
	}
	return te
}

func (en *EnginePolicy) candidate(ep *Endpoint, list []*Endpoint, de Demand, now time.Time) Candidate {
	return Candidate{
		Terms:  en.terms(ep, orderedDemand{de, newRendezvousOrder(list, de.Prompt)}, now),
		Cached: en.cachedTokens(ep, de.Prompt, now), Requests: ep.expectedRequests(defaultEngineMs, now),
	}
}

// cachedTokens returns the number of prompt tokens that the engine has prefilled
// for this router and probably still caches.
func (en *EnginePolicy) cachedTokens(ep *Endpoint, pr Prompt, now time.Time) ident.Tokens {
	var sum ident.Tokens
	for _, pf := range pr.Shared {
		if !en.prefixes.Contains(pf.Hash, ep.hash, now) {
			break
		}
		sum += pf.Tokens
	}
	return sum
}

// rendezvousOrder holds the first engines in the rendezvous order of the longest
// shared prefix.
type rendezvousOrder struct {
	first [len(cachedProbability)]*Endpoint
}

func newRendezvousOrder(list []*Endpoint, pr Prompt) rendezvousOrder {
	var ro rendezvousOrder
	if len(pr.Shared) == 0 {
		return ro
	}
	key := pr.Shared[len(pr.Shared)-1].Hash
	var score [len(cachedProbability)]uint64
	for _, ep := range list {
		if !ep.Accepting() {
			continue
		}
		sc := mix(key ^ ep.hash)
		for ix := range ro.first {
			if ro.first[ix] == nil || sc > score[ix] {
				copy(ro.first[ix+1:], ro.first[ix:])
				copy(score[ix+1:], score[ix:])
				ro.first[ix], score[ix] = ep, sc
				break
			}
		}
	}
	return ro
}

// expectedSavingMs returns the prefill time that is expected to be saved because
// other routers sent the shared prefixes to the engine.
func (ro rendezvousOrder) expectedSavingMs(ep *Endpoint, pr Prompt) float64 {
	for ix, other := range ro.first {
		if other == ep {
			var shared ident.Tokens
			for _, pf := range pr.Shared {
				shared += pf.Tokens
			}
			return prefillWeight * cachedProbability[ix] * float64(shared) / ep.profile.PrefillRate()
		}
	}
	return 0
}
