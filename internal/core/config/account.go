package config

import (
	"slices"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Preference says whether false refusals or overspend weigh more for a client
// account.
type Preference string

const (
	// AvoidRefusal holds more escrow in advance, so that fewer affordable
	// requests are refused.
	AvoidRefusal Preference = "refusal"
	// AvoidOverspend holds little escrow and settles often.
	AvoidOverspend Preference = "overspend"
)

// KeyHash is the SHA-256 of an API key in hexadecimal. API keys are random
// 256-bit strings, so no slow hash is needed.
type KeyHash string

// Account is a client account.
type Account struct {
	ID         ident.Account  `json:"id"`
	Keys       []KeyHash      `json:"keys"`
	Budgets    []ident.Budget `json:"budgets"`
	Preference Preference     `json:"weight"`
	// RequestsPerSecond and Burst limit the request rate; zero means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	Burst             int     `json:"burst,omitempty"`
	// MaxRunning bounds the requests in flight at one router; zero means no
	// limit.
	MaxRunning int             `json:"maxRunning,omitempty"`
	Models     []ident.Model   `json:"models,omitempty"`
	Services   []ident.Service `json:"services,omitempty"`
}

// WithKey returns a copy that also accepts the key.
func (ac Account) WithKey(kh KeyHash) Account {
	if slices.Contains(ac.Keys, kh) {
		return ac
	}
	ac.Keys = append(slices.Clone(ac.Keys), kh)
	return ac
}

// WithoutKey returns a copy that no longer accepts the key.
func (ac Account) WithoutKey(kh KeyHash) Account {
	ac.Keys = slices.DeleteFunc(slices.Clone(ac.Keys), func(it KeyHash) bool { return it == kh })
	return ac
}

// WithBudget returns a copy that owns the budget.
func (ac Account) WithBudget(bu ident.Budget) Account {
	if slices.Contains(ac.Budgets, bu) {
		return ac
	}
	ac.Budgets = append(slices.Clone(ac.Budgets), bu)
	return ac
}

// WithoutBudget returns a copy that no longer owns the budget.
func (ac Account) WithoutBudget(bu ident.Budget) Account {
	ac.Budgets = slices.DeleteFunc(slices.Clone(ac.Budgets), func(it ident.Budget) bool { return it == bu })
	return ac
}

// Owns reports whether the account owns the budget.
func (ac Account) Owns(bu ident.Budget) bool { return slices.Contains(ac.Budgets, bu) }

// MayUseModel reports whether the account may use the model. An empty list
// allows every model.
func (ac Account) MayUseModel(mo ident.Model) bool {
	return len(ac.Models) == 0 || slices.Contains(ac.Models, mo)
}

// MayUseService reports whether the account may use the service.
func (ac Account) MayUseService(se ident.Service) bool {
	return len(ac.Services) == 0 || slices.Contains(ac.Services, se)
}
