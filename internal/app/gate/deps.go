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
	// Pick decides about the demand. If the verdict is Admit, the target counts
	// as busy with it until Done.
	Pick(de Demand, now time.Time) (front.Target, admit.Decision)
	// Share returns this router's share of the slots of all usable upstreams
	// that meet the demand. Zero means that none were reported.
	Share(de Demand) int
	// LatestStart returns the last time at which the demand can start at an
	// idle upstream and finish by its deadline.
	LatestStart(de Demand) time.Time
}

// Demand is what the choice of an upstream depends on.
type Demand struct {
	Kind    config.Kind
	Model   ident.Model
	Service ident.Service
	// Class is the class in which the request is served.
	Class config.Class
	// Patient says that the request waits while it can still be on time,
	// although no upstream could take it in time now.
	Patient bool
	// Prompt is an upper bound, and Output the expected number of completion
	// tokens.
	Prompt   ident.Tokens
	Output   ident.Tokens
	Prefixes []route.Block
	Deadline time.Time
	// Key, if set, selects the upstream, so that attempts with the same key
	// from all routers meet.
	Account ident.Account
	Key     ident.Key
	// Tried are the upstreams that earlier attempts were sent to.
	Tried route.Tried
	// Queued is the number of queued requests, and QueueLimit the capacity of
	// the queue.
	Queued     int
	QueueLimit int
}
