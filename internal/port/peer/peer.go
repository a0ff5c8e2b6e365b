// Package peer is the port between a router and the sidecars of its upstreams.
package peer

import (
	"context"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// Dispatch is one attempt at a request.
type Dispatch struct {
	Request ident.Request
	Attempt uint32
	Account ident.Account
	Budget  ident.Budget
	// Router is the router incarnation whose escrow is reserved for the attempt.
	Router ident.Incarnation
	// Reserved is the number of tokens reserved for the attempt. The sidecar stops
	// the call before its usage exceeds it.
	Reserved   ident.Tokens
	Idempotent bool
	// Fingerprint is a hash of the request. It is compared when an idempotency key
	// is used again.
	Fingerprint []byte
	Call        engine.Call
}

// EventKind is the kind of an event and determines which of its fields are set.
type EventKind int

const (
	// Accepted means that the sidecar runs the attempt.
	Accepted EventKind = iota
	// Refused means that the sidecar did not and will not run the attempt.
	Refused
	// Data carries a chunk.
	Data
	// Final ends a complete response.
	Final
	// Failed ends an attempt that may have run.
	Failed
)

// Event is a message of a sidecar about an attempt. Seq numbers the chunks from
// 1; in the final event it is the number of chunks.
type Event struct {
	Request ident.Request
	Attempt uint32
	Seq     uint64
	Kind    EventKind
	Chunk   engine.Chunk
	Result  engine.Result
	// Charged is the usage that is charged to the incarnation of the router. It is
	// zero if another attempt with the same idempotency key was charged.
	Charged ident.Tokens
	// Replay says that the stored response of an earlier request is returned.
	Replay  bool
	Refusal *refuse.Refusal
}

// Stream delivers the events of one attempt.
type Stream interface {
	// Recv returns the next event in sequence.
	Recv(ctx context.Context) (Event, error)
	// Ack confirms to the sidecar that all chunks up to seq were received.
	Ack(seq uint64)
	// Cancel asks the sidecar to stop the attempt. The last event still
	// arrives and carries the usage. Cancel may be called from any goroutine.
	Cancel()
	// Close releases the stream. An attempt that has not ended continues for a
	// grace period, in which it can be resumed.
	Close()
}

// Report is the latest report of a sidecar about itself and its upstream.
type Report struct {
	Upstream ident.Upstream
	VM       ident.VM
	Domain   ident.Domain
	Sidecar  ident.Incarnation
	Revision ident.Revision
	Load     engine.Load
	// Received is the local time at which the report arrived.
	Received time.Time
	Leaving  bool
	// Routers is the number of routers that are connected to the sidecar, or zero
	// if it is not known.
	Routers int
}

// Sidecar runs attempts. Routers use an implementation that sends them over a
// connection; the sidecar process implements the same interface locally.
type Sidecar interface {
	// Open sends the attempt. An error that carries a refusal with the outcome
	// notRun proves that the sidecar will not run it.
	Open(ctx context.Context, di Dispatch) (Stream, error)
	// Resume continues the events of an attempt at the chunk nextSeq. It fails
	// with a refusal if the attempt is not known or its chunks were discarded.
	Resume(ctx context.Context, re ident.Request, attempt uint32, nextSeq uint64) (Stream, error)
	// Report returns the latest report and whether one has arrived.
	Report() (Report, bool)
}
