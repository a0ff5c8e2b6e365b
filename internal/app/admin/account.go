package admin

import (
	"context"
	"fmt"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Limits are the members of a client account that an operator sets. Nil leaves
// a member as it is.
type Limits struct {
	Weight            *config.Weight   `json:"weight,omitempty"`
	RequestsPerSecond *float64         `json:"requestsPerSecond,omitempty"`
	Burst             *int             `json:"burst,omitempty"`
	MaxRunning        *int             `json:"maxRunning,omitempty"`
	Models            *[]ident.Model   `json:"models,omitempty"`
	Services          *[]ident.Service `json:"services,omitempty"`
}

func (li Limits) apply(ac config.Account) config.Account {
	set(&ac.Weight, li.Weight)
	set(&ac.RequestsPerSecond, li.RequestsPerSecond)
	set(&ac.Burst, li.Burst)
	set(&ac.MaxRunning, li.MaxRunning)
	set(&ac.Models, li.Models)
	set(&ac.Services, li.Services)
	return ac
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// AddAccount adds a client account without keys and budgets. Without a weight
// it weighs refusals.
func (se *Service) AddAccount(ctx context.Context, te Terms, id ident.Account, li Limits) (Changed, error) {
	return se.change(ctx, te, func(sn config.Snapshot) (config.Snapshot, error) {
		if _, ok := sn.Account(id); ok {
			return sn, fmt.Errorf("%w: account %s", ErrExists, id)
		}
		return sn.WithAccount(li.apply(config.Account{ID: id, Weight: config.WeighRefusal})), nil
	})
}

// SetAccount changes the limits and the weight of a client account.
func (se *Service) SetAccount(ctx context.Context, te Terms, id ident.Account, li Limits) (Changed, error) {
	return se.editAccount(ctx, te, id, func(ac config.Account) (config.Account, error) { return li.apply(ac), nil })
}

// RemoveAccount removes a client account with its keys. Its requests in flight
// finish and settle, because the ledger's rows of its budgets stay.
func (se *Service) RemoveAccount(ctx context.Context, te Terms, id ident.Account) (Changed, error) {
	return se.change(ctx, te, func(sn config.Snapshot) (config.Snapshot, error) {
		_, err := account(sn, id)
		return sn.WithoutAccount(id), err
	})
}

func account(sn config.Snapshot, id ident.Account) (config.Account, error) {
	ac, ok := sn.Account(id)
	if !ok {
		return ac, fmt.Errorf("%w: account %s", ErrNotFound, id)
	}
	return ac, nil
}

func (se *Service) editAccount(ctx context.Context, te Terms, id ident.Account, ed func(config.Account) (config.Account, error)) (Changed, error) {
	return se.change(ctx, te, func(sn config.Snapshot) (config.Snapshot, error) {
		ac, err := account(sn, id)
		if err != nil {
			return sn, err
		}
		ac, err = ed(ac)
		return sn.WithAccount(ac), err
	})
}

// NewKey is an API key that was made. Key is shown this once; the platform
// keeps only the hash.
type NewKey struct {
	Changed
	Key     string         `json:"key,omitempty"`
	KeyHash config.KeyHash `json:"keyHash,omitempty"`
}

// AddKey makes an API key for the client account. A repeated op returns no
// key, because the first answer is the only one that shows it.
func (se *Service) AddKey(ctx context.Context, te Terms, id ident.Account) (NewKey, error) {
	return se.makeKey(ctx, te, id, func(ac config.Account, kh config.KeyHash) (config.Account, error) {
		return ac.WithKey(kh), nil
	})
}

// RotateKey replaces a key, named by the first digits of its hash, by a new
// one in one revision.
func (se *Service) RotateKey(ctx context.Context, te Terms, id ident.Account, old string) (NewKey, error) {
	return se.makeKey(ctx, te, id, func(ac config.Account, kh config.KeyHash) (config.Account, error) {
		was, err := findKey(ac, old)
		return ac.WithoutKey(was).WithKey(kh), err
	})
}

func (se *Service) makeKey(ctx context.Context, te Terms, id ident.Account, ed func(config.Account, config.KeyHash) (config.Account, error)) (NewKey, error) {
	key := config.NewAPIKey()
	kh := config.HashAPIKey(key)
	ch, err := se.editAccount(ctx, te, id, func(ac config.Account) (config.Account, error) { return ed(ac, kh) })
	if err != nil || ch.Repeated || ch.DryRun {
		return NewKey{Changed: ch}, err
	}
	return NewKey{Changed: ch, Key: key, KeyHash: kh}, nil
}

// RevokeKey removes a key, named by the first digits of its hash.
func (se *Service) RevokeKey(ctx context.Context, te Terms, id ident.Account, digits string) (Changed, error) {
	return se.editAccount(ctx, te, id, func(ac config.Account) (config.Account, error) {
		kh, err := findKey(ac, digits)
		return ac.WithoutKey(kh), err
	})
}

// minDigits is the shortest start of a hash that names a key, so that a slip
// does not revoke another key.
const minDigits = 8

func findKey(ac config.Account, digits string) (config.KeyHash, error) {
	var found []config.KeyHash
	for _, kh := range ac.Keys {
		if len(digits) >= minDigits && strings.HasPrefix(string(kh), digits) {
			found = append(found, kh)
		}
	}
	switch len(found) {
	case 0:
		return "", fmt.Errorf("%w: key %s of account %s (want at least %d digits of the hash)", ErrNotFound, digits, ac.ID, minDigits)
	case 1:
		return found[0], nil
	default:
		return "", fmt.Errorf("%w: %s", ErrAmbiguous, digits)
	}
}
