package route

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// prefillSpeedup is how many prompt tokens an engine processes in the time
	// in which it generates one token over all slots.
	prefillSpeedup = 8
	// unknownService is the assumed time per outstanding request at an upstream
	// that reports no token rate. It only orders such upstreams.
	unknownService = 100 * time.Millisecond
	// maxWait caps an estimate, so that a rate near zero cannot overflow it.
	maxWait = 24 * time.Hour
)

// Estimate is when a request is expected to start, to give its first token and
// to finish.
type Estimate struct {
	Start      time.Time
	FirstToken time.Time
	Finish     time.Time
	// Requests is the expected number of requests at the upstream.
	Requests int
	// Known is false when the upstream reports no token rate. Such an estimate
	// only orders candidates and is no reason to refuse.
	Known bool
}

// EstimateAt returns the estimate for the demand at the candidate. The reported
// work is reduced by what the upstream has generated since the report and
// raised by the router's own work that the report does not contain. The own
// outstanding work is a lower bound, which keeps the estimate sound when
// reports stop arriving.
func EstimateAt(ca Candidate, de Demand, now time.Time) Estimate {
	ld := ca.load
	if ld.TokensPerSecond <= 0 || ld.Slots <= 0 {
		at := now.Add(time.Duration(ca.own.Requests) * unknownService)
		return Estimate{Start: at, FirstToken: at.Add(unknownService), Finish: at.Add(unknownService), Requests: ca.own.Requests}
	}
	requests, tokens := backlog(ld, ca.own, now)
	start := now.Add(seconds(waiting(ld, ca.own, de, requests, tokens) / ld.TokensPerSecond))
	first := start.Add(seconds(uncached(ca.id, de) / (prefillSpeedup * ld.TokensPerSecond)))
	perSlot := ld.TokensPerSecond / float64(ld.Slots)
	return Estimate{
		Start:      start,
		FirstToken: first,
		Finish:     first.Add(seconds(float64(de.Output) / perSlot)),
		Requests:   int(requests),
		Known:      true,
	}
}

// backlog returns the requests and tokens that are expected at the upstream.
func backlog(ld Load, ow Own, now time.Time) (requests, tokens float64) {
	requests, tokens = float64(ld.Running+ld.Waiting), float64(ld.QueuedTokens)
	if age := now.Sub(ld.At).Seconds(); age > 0 && tokens > 0 {
		left := max(0, tokens-age*ld.TokensPerSecond)
		requests *= left / tokens
		tokens = left
	}
	requests = max(requests+float64(ow.SentRequests), float64(ow.Requests))
	tokens = max(tokens+float64(ow.SentTokens), float64(ow.Tokens))
	return requests, tokens
}

// waiting returns the tokens that are generated before the request gets a slot.
// Work is taken as spread evenly over the requests, so a slot is free after the
// work of all requests but Slots-1. Engines honour priorities: an urgent request
// passes waiting work but that of its own class, whose share is taken to be that
// among the router's own requests, because reports do not tell classes apart.
func waiting(ld Load, ow Own, de Demand, requests, tokens float64) float64 {
	over := requests - float64(ld.Slots-1)
	if over <= 0 {
		return 0
	}
	if de.Class == config.Urgent {
		over = min(over, 1+over*float64(ow.Urgent)/float64(max(1, ow.Requests)))
	}
	return tokens * over / requests
}

func uncached(id ident.Upstream, de Demand) float64 {
	if de.Hint.Upstream != id {
		return float64(de.Prompt)
	}
	return float64(max(0, de.Prompt-de.Hint.Tokens))
}

func seconds(se float64) time.Duration {
	return time.Duration(min(se, maxWait.Seconds()) * float64(time.Second))
}
