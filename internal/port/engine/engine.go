// Package engine is the port to an upstream: a model engine or a plain service.
package engine

import (
	"context"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Call is one request to the upstream.
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

// Chunk is a part of the answer in order. Tokens counts the completion tokens
// in it.
type Chunk struct {
	Data   []byte
	Tokens ident.Tokens
}

// Usage is the metered consumption of a call.
type Usage struct {
	Prompt     ident.Tokens
	Completion ident.Tokens
}

// Total returns the tokens to be charged.
func (us Usage) Total() ident.Tokens { return us.Prompt + us.Completion }

// Result ends an answer. Status and Header are those of the upstream's HTTP
// response.
type Result struct {
	Status int
	Header []Field
	Usage  Usage
}

// Load is what an upstream last reported about itself.
type Load struct {
	At      time.Time
	Running int
	Waiting int
	Slots   int
	// QueuedTokens is the sum of tokens that waiting and running calls may
	// still produce.
	QueuedTokens ident.Tokens
	// TokensPerSecond is the generation rate over all slots.
	TokensPerSecond float64
	Leaving         bool
}

// Order tells a model engine to load something or to change its role.
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

// Upstream runs calls. Errors that carry a *refuse.Refusal with the outcome
// notRun prove that the call did not run; any other error leaves it unknown.
type Upstream interface {
	// Run runs the call and passes each chunk to emit in order. It stops when
	// ctx ends or emit fails, and then cancels the call at the upstream. The
	// usage in the result is valid also when the error is not nil.
	Run(ctx context.Context, ca Call, emit func(Chunk) error) (Result, error)
	// Load returns the latest load report.
	Load(ctx context.Context) (Load, error)
	// Order passes an order on. A superseded fencing number is an error.
	Order(ctx context.Context, or Order) error
}
