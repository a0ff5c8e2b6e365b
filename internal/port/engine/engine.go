// Package engine is the port to an upstream: a model engine or a plain service.
package engine

import (
	"context"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Call is one request to an upstream.
type Call struct {
	Request ident.Request
	Key     ident.Key
	// Method, Path and Header apply to plain services only.
	Method   string
	Path     string
	Header   []Field
	Body     []byte
	Deadline time.Time
	// Priority orders work in a model engine. A lower number runs first.
	Priority  int
	MaxTokens ident.Tokens
	Stream    bool
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Chunk is a part of a response. Chunks are delivered in order. Tokens is the
// number of completion tokens in it.
type Chunk struct {
	Data   []byte
	Tokens ident.Tokens
}

// Usage is the number of tokens that a call used.
type Usage struct {
	Prompt     ident.Tokens
	Completion ident.Tokens
}

// Total returns the number of tokens to charge.
func (us Usage) Total() ident.Tokens { return us.Prompt + us.Completion }

// Result describes a response after its last chunk. Status and Header are those
// of the upstream's HTTP response.
type Result struct {
	Status int
	Header []Field
	Usage  Usage
}

// Load is the latest load report of an upstream.
type Load struct {
	At      time.Time
	Running int
	Waiting int
	Slots   int
	// QueuedTokens is the number of tokens that waiting and running calls may
	// still generate.
	QueuedTokens ident.Tokens
	// TokensPerSecond is the total generation rate of all slots.
	TokensPerSecond float64
	Leaving         bool
}

// Order instructs a model engine to load a model or an adapter or to change its
// role. Engines refuse orders with a superseded fencing number.
type Order struct {
	Fence   ident.Fence
	Kind    OrderKind
	Subject string
}

// OrderKind is the kind of an order.
type OrderKind string

const (
	// LoadModel loads a model.
	LoadModel OrderKind = "loadModel"
	// LoadAdapter loads an adapter.
	LoadAdapter OrderKind = "loadAdapter"
	// ChangeRole changes the engine's role.
	ChangeRole OrderKind = "changeRole"
)

// Upstream runs calls. An error that carries a *refuse.Refusal with the outcome
// notRun proves that the call did not run. After any other error, it is unknown
// whether it ran.
type Upstream interface {
	// Run runs the call and passes each chunk to emit in order. If ctx ends or
	// emit fails, it cancels the call at the upstream and returns. The usage in
	// the result is valid even if the error is not nil.
	Run(ctx context.Context, ca Call, emit func(Chunk) error) (Result, error)
	// Load returns the latest load report.
	Load(ctx context.Context) (Load, error)
	// Order sends an order to the upstream. It returns an error if the fencing
	// number is superseded.
	Order(ctx context.Context, or Order) error
}
