// Package ident defines the identifier types that all other packages share.
package ident

// Account identifies a client account.
type Account string

// Budget identifies a prepaid budget within a client account.
type Budget string

// Model identifies a model that engines serve.
type Model string

// Service identifies a plain service.
type Service string

// Request identifies one request of a caller, unique across the fleet.
type Request string

// Key is an idempotency key chosen by a caller, unique within a client account.
type Key string

// VM identifies a virtual machine of the platform.
type VM string

// Upstream identifies a model engine or a plain service process.
type Upstream string

// Domain identifies a failure domain.
type Domain string

// Region identifies a region, which holds one or more failure domains.
type Region string

// Incarnation identifies one start of one process. A restarted process has a
// new incarnation.
type Incarnation string

// Op identifies one write operation, so that a repeated write takes effect once.
type Op string

// Operator names a person or program that changes configuration or budgets.
type Operator string

// Fence is a fencing number. A higher number supersedes all lower ones.
type Fence uint64

// Revision numbers an accepted configuration. It only increases.
type Revision uint64

// Tokens counts prompt and completion tokens.
type Tokens int64

// BudgetRef names a budget together with the client account that owns it.
type BudgetRef struct {
	Account Account
	Budget  Budget
}

// String returns the reference in the form account/budget.
func (rf BudgetRef) String() string {
	return string(rf.Account) + "/" + string(rf.Budget)
}
