package place

import (
	"maps"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// WithRelease returns a copy whose upstream must run the software release.
func (de Demand) WithRelease(release string) Demand {
	de.release = &release
	return de
}

// excludes reports whether the endpoint may not be used, whatever its cost.
func (de Demand) excludes(ep *Endpoint) bool {
	return de.wasTried(ep) || de.release != nil && *de.release != ep.Release
}

// ReleaseHistory is when upstreams of which software releases were known. It is
// immutable.
type ReleaseHistory struct {
	// since is the time from which on no upstream can have been missed.
	since time.Time
	// seenAt is when an upstream of a release was known last.
	seenAt map[ident.Service]map[string]time.Time
}

// WithGap returns a history that starts at the time, because upstreams may have been
// missed before it.
func (rh ReleaseHistory) WithGap(at time.Time) ReleaseHistory {
	rh.since = at
	return rh
}

// Begun reports whether the history has a start.
func (rh ReleaseHistory) Begun() bool { return !rh.since.IsZero() }

// WithUpstreams returns a history in which the upstreams are known at the time. Releases
// that were known before the time from only are forgotten.
func (rh ReleaseHistory) WithUpstreams(mp EndpointMap, from, at time.Time) ReleaseHistory {
	next := make(map[ident.Service]map[string]time.Time, len(rh.seenAt))
	for se, releases := range rh.seenAt {
		next[se] = maps.Clone(releases)
		maps.DeleteFunc(next[se], func(_ string, seenAt time.Time) bool { return seenAt.Before(from) })
	}
	for se, list := range mp.byService {
		if next[se] == nil {
			next[se] = map[string]time.Time{}
		}
		for _, ep := range list {
			next[se][ep.Release] = at
		}
	}
	rh.seenAt = next
	return rh
}

// Single reports whether the upstreams of a service that were known in the whole history
// run one release, and none was missed since the history began.
func (rh ReleaseHistory) Single(se ident.Service) bool {
	_, only := rh.Only(se, rh.since)
	return only && len(rh.seenAt[se]) == 1
}

// Only returns the one release whose upstreams can have begun a stream of the service
// since the time from. It reports false if there may have been another one.
func (rh ReleaseHistory) Only(se ident.Service, from time.Time) (string, bool) {
	only, count := "", 0
	for release, seenAt := range rh.seenAt[se] {
		if !seenAt.Before(from) {
			only, count = release, count+1
		}
	}
	// A deployment whose upstreams name no release has none.
	known := only == "" || rh.Begun() && !rh.since.After(from)
	if count != 1 || !known {
		return "", false
	}
	return only, true
}
