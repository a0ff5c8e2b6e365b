package front

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// Request is a caller's request after its front end has decoded and checked it.
type Request struct {
	ID       ident.Request
	Account  config.Account
	Budget   ident.Budget
	Class    config.Class
	Deadline time.Time
	Key      ident.Key
	Kind     config.Kind
	Model    ident.Model
	Service  ident.Service
	// Idempotent says that the request may run more than once.
	Idempotent  bool
	Fingerprint []byte
	// Prompt is an upper bound of the prompt tokens.
	Prompt ident.Tokens
	// MaxTokens bounds the completion tokens. For a plain service, it is the
	// cost of the call.
	MaxTokens ident.Tokens
	// Prefixes lists the prefixes of the prompt, the longest last.
	Prefixes []route.Prefix
	Call     engine.Call
}

// MaxCharge returns the most that the request can be charged.
func (rq Request) MaxCharge() ident.Tokens { return rq.Prompt + rq.MaxTokens }

// BudgetRef returns the budget that the request is charged to.
func (rq Request) BudgetRef() ident.BudgetRef {
	return ident.BudgetRef{Account: rq.Account.ID, Budget: rq.Budget}
}

// Response holds the result of a request after all its chunks were emitted.
type Response struct {
	Result   engine.Result
	Charged  ident.Tokens
	Upstream ident.Upstream
	Attempts int
	// Replay says that the stored response of an earlier request with the same
	// idempotency key was returned.
	Replay bool
}
