package intent

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Kind is the kind of a request, which decides the form of its response and
// whether it may be repeated.
type Kind string

const (
	// Stream is a request whose response is a series of events.
	Stream Kind = "stream"
	// Idempotent is a request that may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent is a request that runs at most once.
	NonIdempotent Kind = "nonIdempotent"
)

// Target is a service with its share of a route's requests.
type Target struct {
	Service ident.Service
	Weight  int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the time within which a request needs its final response, and
	// LatencyGoal the latency within which it counts as on time. MaxEventGap is
	// the longest gap between the events of a stream that counts as on time.
	Timeout     time.Duration
	LatencyGoal time.Duration
	MaxEventGap time.Duration
	// Priority ranks the route; zero is the highest.
	Priority int
	Targets  []Target
	// AttemptLimit is the largest number of attempts for one request that an
	// upstream may have worked on.
	AttemptLimit int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable says that a broken stream may be resumed at another upstream.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (ro Route) Repeatable() bool {
	return ro.Kind == Idempotent || ro.Kind == Stream && ro.Resumable
}

// ServiceFor returns the service of a request by the weights of the targets.
// Requests with the same number go to the same service. The numbers are assumed
// to be uniformly distributed.
func (ro Route) ServiceFor(number uint64) ident.Service {
	total := 0
	for _, ta := range ro.Targets {
		total += max(0, ta.Weight)
	}
	if total == 0 {
		if len(ro.Targets) == 0 {
			return ""
		}
		return ro.Targets[0].Service
	}
	pos := int(number % uint64(total))
	for _, ta := range ro.Targets {
		if pos -= max(0, ta.Weight); pos < 0 {
			return ta.Service
		}
	}
	return ro.Targets[len(ro.Targets)-1].Service
}
