package place

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// tokensPerMs is how fast an engine reads a prompt. The users' engines read
	// 38 to 44 tokens in a millisecond.
	tokensPerMs = 40.0
	// requestMs is by how much a running request delays another one: a step
	// takes longer by about 0.02 ms for each, and an answer takes some 60 steps.
	requestMs = 1.2
	// fullMs is the delay for each request beyond the places of an engine.
	fullMs = 60.0
	// remoteMs is the extra cost of another failure domain: its link is slower
	// by 0.3 ms each way, and bytes between domains are charged.
	remoteMs = 2.0
	// warmFor is how long an engine is taken to keep what it has read.
	warmFor = 30 * time.Second
)

// trust is the probability with which the first engines in the hash order of a
// prefix are taken to hold it, because the other routers prefer them as well.
var trust = [...]float64{0.85, 0.5, 0.25}

// Prompt is the prompt of a request as the choice of an engine sees it.
type Prompt struct {
	Input ident.Tokens
	// Shared lists the prefixes that other requests have in common with this
	// one, shortest first.
	Shared []Prefix
}

// Prefix is the beginning of a prompt. Tokens is the length of its last part.
type Prefix struct {
	Hash   uint64
	Tokens ident.Tokens
}

// WithPart returns a copy whose shared prefix is longer by one part.
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

// Engines chooses model engines by the expected time to the first token.
// Prompts with a common prefix prefer the same engines, on which all routers
// agree by rendezvous hashing.
type Engines struct {
	warm *Warm
	pick Cheapest[Demand]
}

// NewEngines returns the policy.
func NewEngines() *Engines {
	en := &Engines{warm: NewWarm(warmFor)}
	en.pick = Cheapest[Demand]{
		Cost: en.cost,
		Skip: func(st *Station, de Demand) bool { return de.tried(st) },
		Turn: rand.IntN,
	}
	return en
}

// Choose returns the engine and the number of prompt tokens that it probably
// has to read.
func (en *Engines) Choose(list []*Station, de Demand, now time.Time) (*Station, ident.Tokens) {
	ranks := newRanks(list, de.Prompt)
	pick := en.pick
	pick.Cost = func(st *Station, de Demand, now time.Time) float64 {
		return en.cost(st, de, now) - ranks.saved(st, de.Prompt)
	}
	st := pick.Choose(list, de, now)
	if st == nil {
		return nil, 0
	}
	return st, max(0, de.Prompt.Input-en.known(st, de.Prompt, now))
}

// Read records that the engine has read the prompt.
func (en *Engines) Read(st *Station, pr Prompt, now time.Time) {
	for _, pf := range pr.Shared {
		en.warm.Note(pf.Hash, st.hash, now)
	}
}

// cost is the expected delay without the trust in other routers' choices.
func (en *Engines) cost(st *Station, de Demand, now time.Time) float64 {
	unread := float64(de.Prompt.Input - en.known(st, de.Prompt, now))
	cost := (unread + float64(st.state.prefill.Load())) / tokensPerMs
	occupied := st.Occupied(now)
	cost += requestMs * float64(occupied)
	if over := occupied - st.capacity() + 1; over > 0 {
		cost += fullMs * float64(over)
	}
	if st.Domain != de.Domain {
		cost += remoteMs
	}
	return cost
}

// known returns the tokens of the prompt that the engine has read for this
// router.
func (en *Engines) known(st *Station, pr Prompt, now time.Time) ident.Tokens {
	var sum ident.Tokens
	for _, pf := range pr.Shared {
		if !en.warm.Has(pf.Hash, st.hash, now) {
			break
		}
		sum += pf.Tokens
	}
	return sum
}

// ranks is the hash order of the engines for the longest shared prefix.
type ranks struct {
	first [len(trust)]*Station
}

func newRanks(list []*Station, pr Prompt) ranks {
	var ra ranks
	if len(pr.Shared) == 0 {
		return ra
	}
	key := pr.Shared[len(pr.Shared)-1].Hash
	var score [len(trust)]uint64
	for _, st := range list {
		if st.Leaving {
			continue
		}
		sc := mix(key ^ st.hash)
		for ix := range ra.first {
			if ra.first[ix] == nil || sc > score[ix] {
				copy(ra.first[ix+1:], ra.first[ix:])
				copy(score[ix+1:], score[ix:])
				ra.first[ix], score[ix] = st, sc
				break
			}
		}
	}
	return ra
}

// saved returns the milliseconds that are expected to be saved because other
// routers sent the prefix to the engine.
func (ra ranks) saved(st *Station, pr Prompt) float64 {
	for ix, other := range ra.first {
		if other == st {
			var shared ident.Tokens
			for _, pf := range pr.Shared {
				shared += pf.Tokens
			}
			return trust[ix] * float64(shared) / tokensPerMs
		}
	}
	return 0
}
