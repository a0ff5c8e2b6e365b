// Package poison decides which requests are refused because a part of their prompts
// ends upstreams. It is pure: times are parameters, in milliseconds of a clock that
// all routers share.
package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// blockAfter is the number of ends of upstreams under a part from which on
	// requests with it are refused.
	blockAfter = 3
	// firstBlock is how long requests are refused then, before one is tried, which may
	// end an upstream with all its requests. It doubles with each further upstream that
	// ends, up to maxBlock.
	firstBlock = 30 * time.Second
	maxBlock   = time.Hour
	// suspectTime is how long a part stays suspect after an upstream has ended, and
	// how long one that is known to be sound cannot become suspect.
	suspectTime = time.Minute
	// keepFactor is the multiple of its block time for which a part stays suspect
	// after it was blocked, so that a later end blocks it again for longer.
	keepFactor = 10
	// maxListed bounds the upstreams that a record lists.
	maxListed = 16
)

// Part identifies a part of a prompt by the hash of its id, which a caller chooses.
type Part uint64

// PartOf returns the part with the id.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// History holds what was known about some parts at a moment. It is immutable.
type History map[Part]Record

// Record is what is known about one part. It is immutable.
type Record struct {
	// Ends counts the ends of upstreams under a request with the part which had just
	// begun, and Upstreams lists the upstreams of the latest ones. An upstream that
	// started again under its id is listed once for each end.
	Ends      int              `json:"ends"`
	Upstreams []ident.Upstream `json:"upstreams,omitempty"`
	// Common holds the parts that all these requests had in common.
	Common []Part `json:"common,omitempty"`
	// EndedAtMs is when the last upstream ended, and BlockedUntilMs the time until
	// which requests are refused.
	EndedAtMs      int64 `json:"endedAtMs,omitempty"`
	BlockedUntilMs int64 `json:"blockedUntilMs,omitempty"`
	// SoundAtMs is when a request with the part was served, which rules it out.
	SoundAtMs int64 `json:"soundAtMs,omitempty"`
}

// WithEnd returns a copy that counts the end of an upstream under a request with the
// parts. known is the record when the request was sent: an end of the upstream that was
// not known then may be this one, which other requests have reported. A part that is
// sound stays so.
func (re Record) WithEnd(up ident.Upstream, parts []Part, known Record, nowMs int64) Record {
	if re.Sound(nowMs) || re.endsOf(up) > known.endsOf(up) {
		return re
	}
	if re.Forgotten(nowMs) {
		re = Record{}
	}
	next := re
	next.Common = slices.Clone(parts)
	if re.Ends > 0 {
		next.Common = slices.DeleteFunc(next.Common, func(pa Part) bool { return !slices.Contains(re.Common, pa) })
	}
	next.Upstreams = append(slices.Clone(re.Upstreams[max(0, len(re.Upstreams)-maxListed+1):]), up)
	next.Ends++
	next.EndedAtMs, next.SoundAtMs = nowMs, 0
	if next.Ends >= blockAfter {
		next.BlockedUntilMs = nowMs + next.blockTime().Milliseconds()
	}
	return next
}

// WithTrial returns a copy that refuses requests for the block time again, while one
// of them is tried.
func (re Record) WithTrial(nowMs int64) Record {
	re.BlockedUntilMs = nowMs + re.blockTime().Milliseconds()
	return re
}

// WithSound returns the record of a part that a served request has ruled out.
func (re Record) WithSound(nowMs int64) Record { return Record{SoundAtMs: nowMs} }

// blockTime returns how long requests are refused after the last end.
func (re Record) blockTime() time.Duration {
	block := firstBlock
	for range re.Ends - blockAfter {
		if block *= 2; block >= maxBlock {
			return maxBlock
		}
	}
	return block
}

// endsOf returns how often the upstream is listed.
func (re Record) endsOf(up ident.Upstream) int {
	count := 0
	for _, other := range re.Upstreams {
		if other == up {
			count++
		}
	}
	return count
}

// Suspect reports whether an upstream has ended under the part other than those in
// tried, which may have ended once each.
func (re Record) Suspect(tried []ident.Upstream, nowMs int64) bool {
	if re.Ends == 0 || re.Forgotten(nowMs) {
		return false
	}
	return re.Ends > len(re.Upstreams) || !containsAll(tried, re.Upstreams) ||
		slices.ContainsFunc(tried, func(up ident.Upstream) bool { return re.endsOf(up) > 1 })
}

// Blocks reports whether a request with the parts is refused unless it is the one
// that is tried: enough upstreams have ended, and the request has all that theirs had
// in common.
func (re Record) Blocks(parts []Part, nowMs int64) bool {
	if re.Ends < blockAfter || re.Forgotten(nowMs) {
		return false
	}
	return containsAll(parts, re.Common)
}

func containsAll[T comparable](all, some []T) bool {
	for _, val := range some {
		if !slices.Contains(all, val) {
			return false
		}
	}
	return true
}

// TrialDue reports whether the time has passed for which requests are refused, so
// that one may be tried.
func (re Record) TrialDue(nowMs int64) bool { return nowMs >= re.BlockedUntilMs }

// Sound reports whether a served request has ruled the part out lately.
func (re Record) Sound(nowMs int64) bool {
	return re.SoundAtMs > 0 && nowMs < re.SoundAtMs+suspectTime.Milliseconds()
}

// NewerThan reports whether the record was changed after another one of the part.
func (re Record) NewerThan(other Record) bool {
	at, otherAt := max(re.EndedAtMs, re.SoundAtMs), max(other.EndedAtMs, other.SoundAtMs)
	if at != otherAt {
		return at > otherAt
	}
	return re.Ends > other.Ends || re.Ends == other.Ends && re.BlockedUntilMs > other.BlockedUntilMs
}

// Forgotten reports whether the record is too old to have an effect.
func (re Record) Forgotten(nowMs int64) bool {
	keep := suspectTime
	if re.Ends >= blockAfter {
		keep = keepFactor * re.blockTime()
	}
	return nowMs >= max(re.EndedAtMs, re.SoundAtMs)+keep.Milliseconds()
}
