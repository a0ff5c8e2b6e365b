package route

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// prefillSpeedup is the number of prompt tokens that an engine processes in
	// the time in which all its slots together generate one token.
	prefillSpeedup = 8
	// assumedServiceTime is the time per outstanding request that is assumed for
	// an upstream that reports no token rate. It only orders such upstreams.
	assumedServiceTime = 100 * time.Millisecond
	// maxEstimate caps an estimate, so that a rate near zero cannot overflow it.
	maxEstimate = 24 * time.Hour
)

// Estimate holds the expected times at which a request starts, returns its first
// token and finishes.
type Estimate struct {
	Start      time.Time
	FirstToken time.Time
	Finish     time.Time
	// Requests is the expected number of requests at the upstream.
	Requests int
	// Known is false if the upstream reports no token rate. Such an estimate only
	// orders candidates and is never a reason to refuse a request.
	Known bool
}

// EstimateAt returns the estimate for the demand at the candidate. The reported
// work is reduced by the tokens that the upstream has generated since the report
// and increased by this router's requests that the report does not contain. This
// router's outstanding requests are a lower bound, which keeps the estimate sound
// when reports stop arriving.
func EstimateAt(ca Candidate, de Demand, now time.Time) Estimate {
	ld := ca.load
	if ld.TokensPerSecond <= 0 || ld.Slots <= 0 {
		at := now.Add(time.Duration(ca.own.Requests) * assumedServiceTime)
		return Estimate{Start: at, FirstToken: at.Add(assumedServiceTime), Finish: at.Add(assumedServiceTime), Requests: ca.own.Requests}
	}
	requests, tokens := backlog(ld, ca.own, now)
	start := now.Add(seconds(tokensAhead(ld, ca.own, de, requests, tokens) / ld.TokensPerSecond))
	first := start.Add(seconds(uncachedTokens(ca.id, de) / (prefillSpeedup * ld.TokensPerSecond)))
	perSlot := ld.TokensPerSecond / float64(ld.Slots)
	return Estimate{
		Start:      start,
		FirstToken: first,
		Finish:     first.Add(seconds(float64(de.Output) / perSlot)),
		Requests:   int(requests),
		Known:      true,
	}
}

// backlog returns the expected numbers of requests at the upstream and of tokens
// that they have still to generate.
func backlog(ld Load, ow OwnLoad, now time.Time) (requests, tokens float64) {
	requests, tokens = float64(ld.Running+ld.Waiting), float64(ld.QueuedTokens)
	if age := now.Sub(ld.At).Seconds(); age > 0 && tokens > 0 {
		left := max(0, tokens-age*ld.TokensPerSecond)
		requests *= left / tokens
		tokens = left
	}
	requests = max(requests+float64(ow.UnreportedRequests), float64(ow.Requests))
	tokens = max(tokens+float64(ow.UnreportedTokens), float64(ow.Tokens))
	return requests, tokens
}

// tokensAhead returns the number of tokens that are generated before the request
// gets a slot. Tokens are assumed to be spread evenly over the requests, so that a
// slot becomes free after the work of all requests but Slots-1. Engines honour
// priorities: an urgent request passes waiting requests except those of its own
// class. Reports do not tell classes apart, so the share of urgent requests is
// assumed to be that among this router's own requests.
func tokensAhead(ld Load, ow OwnLoad, de Demand, requests, tokens float64) float64 {
	excess := requests - float64(ld.Slots-1)
	if excess <= 0 {
		return 0
	}
	if de.Class == config.Urgent {
		excess = min(excess, 1+excess*float64(ow.Urgent)/float64(max(1, ow.Requests)))
	}
	return tokens * excess / requests
}

// uncachedTokens returns the number of prompt tokens that the upstream has to
// prefill.
func uncachedTokens(id ident.Upstream, de Demand) float64 {
	if de.Hint.Upstream != id {
		return float64(de.Prompt)
	}
	return float64(max(0, de.Prompt-de.Hint.Tokens))
}

// seconds converts seconds to a duration of at most maxEstimate.
func seconds(se float64) time.Duration {
	return time.Duration(min(se, maxEstimate.Seconds()) * float64(time.Second))
}
