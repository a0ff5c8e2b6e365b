package intent

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Kind says how a request is answered and what may be repeated.
type Kind string

const (
	// Stream is a request whose answer is a series of events.
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
	// Timeout is the longest time that a request is kept waiting, and Goal the
	// time within which it is on time. Pause is the longest pause between the
	// events of a stream that is on time.
	Timeout time.Duration
	Goal    time.Duration
	Pause   time.Duration
	// Priority ranks the route; zero is the highest.
	Priority int
	Targets  []Target
	// Attempts is the largest number of upstreams that one request is sent to.
	Attempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable says that a broken stream may go on at another upstream.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (ro Route) Repeatable() bool {
	return ro.Kind == Idempotent || ro.Kind == Stream && ro.Resumable
}

// Choose returns the service of a request. Requests with the same number go to
// the same service; the numbers are taken to be uniform.
func (ro Route) Choose(number uint64) ident.Service {
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
	at := int(number % uint64(total))
	for _, ta := range ro.Targets {
		if at -= max(0, ta.Weight); at < 0 {
			return ta.Service
		}
	}
	return ro.Targets[len(ro.Targets)-1].Service
}
