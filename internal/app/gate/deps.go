package gate

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

// Fleet chooses among the upstreams.
type Fleet interface {
	// Pick decides whether the demand is dispatched now. If the verdict is Admit,
	// the request counts at the target until Done.
	Pick(de Demand, now time.Time) (front.Target, admit.Decision)
	// Share returns this router's share of the slots of all usable upstreams that
	// meet the demand, or zero if no slots were reported.
	Share(de Demand) int
	// LatestStart returns the last time at which the demand can start at an
	// idle upstream and finish by its deadline.
	LatestStart(de Demand) time.Time
}

// Demand describes a request for the choice of an upstream.
type Demand struct {
	Kind    config.Kind
	Model   ident.Model
	Service ident.Service
	// Class is the class in which the request is served.
	Class config.Class
	// WaitUntilLatestStart makes the request wait until its latest start instead of
	// being refused when no upstream is expected to finish it in time now.
	WaitUntilLatestStart bool
	// Prompt is an upper bound of the prompt tokens, and Output the expected number
	// of completion tokens.
	Prompt ident.Tokens
	Output ident.Tokens
	// Prefixes are the prefixes of the prompt, shortest first.
	Prefixes []route.Prefix
	Deadline time.Time
	Account  ident.Account
	// Key, if set, selects the upstream together with Account, so that all routers
	// send requests with the same key to the same upstream.
	Key ident.Key
	// Tried lists the upstreams to which earlier attempts were sent.
	Tried route.Tried
	// Queued is the number of queued requests, and QueueLimit the capacity of
	// the queue.
	Queued     int
	QueueLimit int
}
