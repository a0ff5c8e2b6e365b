package admin

import (
	"context"
	"fmt"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Limits holds the fields of a client account that an operator can set. A nil
// field is left unchanged.
type Limits struct {
	Preference        *config.Preference `json:"weight,omitempty"`
	RequestsPerSecond *float64           `json:"requestsPerSecond,omitempty"`
	Burst             *int               `json:"burst,omitempty"`
	MaxRunning        *int               `json:"maxRunning,omitempty"`
	Models            *[]ident.Model     `json:"models,omitempty"`
	Services          *[]ident.Service   `json:"services,omitempty"`
}

// apply returns the account with the fields that are set.
func (li Limits) apply(ac config.Account) config.Account {
	setIfGiven(&ac.Preference, li.Preference)
	setIfGiven(&ac.RequestsPerSecond, li.RequestsPerSecond)
	setIfGiven(&ac.Burst, li.Burst)
	setIfGiven(&ac.MaxRunning, li.MaxRunning)
	setIfGiven(&ac.Models, li.Models)
	setIfGiven(&ac.Services, li.Services)
	return ac
}

func setIfGiven[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// AddAccount adds a client account without keys and budgets. By default, a false
// refusal weighs more than overspend.
func (se *Service) AddAccount(ctx context.Context, co ChangeOptions, id ident.Account, li Limits) (ChangeResult, error) {
	return se.change(ctx, co, func(sn config.Snapshot) (config.Snapshot, error) {
		if _, ok := sn.Account(id); ok {
			return sn, fmt.Errorf("%w: account %s", ErrExists, id)
		}
		return sn.WithAccount(li.apply(config.Account{ID: id, Preference: config.AvoidRefusal})), nil
	})
}

// SetAccount changes the limits and the preference of a client account.
func (se *Service) SetAccount(ctx context.Context, co ChangeOptions, id ident.Account, li Limits) (ChangeResult, error) {
	return se.editAccount(ctx, co, id, func(ac config.Account) (config.Account, error) { return li.apply(ac), nil })
}

// RemoveAccount removes a client account with its keys. Its requests in flight
// finish and are settled, because the ledger rows of its budgets are kept.
func (se *Service) RemoveAccount(ctx context.Context, co ChangeOptions, id ident.Account) (ChangeResult, error) {
	return se.change(ctx, co, func(sn config.Snapshot) (config.Snapshot, error) {
		_, err := findAccount(sn, id)
		return sn.WithoutAccount(id), err
	})
}

func findAccount(sn config.Snapshot, id ident.Account) (config.Account, error) {
	ac, ok := sn.Account(id)
	if !ok {
		return ac, fmt.Errorf("%w: account %s", ErrNotFound, id)
	}
	return ac, nil
}

// editAccount accepts the change that ed makes to a client account.
func (se *Service) editAccount(ctx context.Context, co ChangeOptions, id ident.Account, ed func(config.Account) (config.Account, error)) (ChangeResult, error) {
	return se.change(ctx, co, func(sn config.Snapshot) (config.Snapshot, error) {
		ac, err := findAccount(sn, id)
		if err != nil {
			return sn, err
		}
		ac, err = ed(ac)
		return sn.WithAccount(ac), err
	})
}

// CreatedKey is a new API key. Key is returned only once, because only its hash is
// stored.
type CreatedKey struct {
	ChangeResult
	Key     string         `json:"key,omitempty"`
	KeyHash config.KeyHash `json:"keyHash,omitempty"`
}

// AddKey creates an API key for the client account. A repeated op returns no
// key, because the key itself is not stored.
func (se *Service) AddKey(ctx context.Context, co ChangeOptions, id ident.Account) (CreatedKey, error) {
	return se.createKey(ctx, co, id, func(ac config.Account, kh config.KeyHash) (config.Account, error) {
		return ac.WithKey(kh), nil
	})
}

// RotateKey replaces a key, identified by the first digits of its hash, by a new
// one in a single revision.
func (se *Service) RotateKey(ctx context.Context, co ChangeOptions, id ident.Account, old string) (CreatedKey, error) {
	return se.createKey(ctx, co, id, func(ac config.Account, kh config.KeyHash) (config.Account, error) {
		oldHash, err := findKey(ac, old)
		return ac.WithoutKey(oldHash).WithKey(kh), err
	})
}

func (se *Service) createKey(ctx context.Context, co ChangeOptions, id ident.Account, ed func(config.Account, config.KeyHash) (config.Account, error)) (CreatedKey, error) {
	key := config.NewAPIKey()
	kh := config.HashAPIKey(key)
	cr, err := se.editAccount(ctx, co, id, func(ac config.Account) (config.Account, error) { return ed(ac, kh) })
	if err != nil || cr.Repeated || cr.DryRun {
		return CreatedKey{ChangeResult: cr}, err
	}
	return CreatedKey{ChangeResult: cr, Key: key, KeyHash: kh}, nil
}

// RevokeKey removes a key, identified by the first digits of its hash.
func (se *Service) RevokeKey(ctx context.Context, co ChangeOptions, id ident.Account, digits string) (ChangeResult, error) {
	return se.editAccount(ctx, co, id, func(ac config.Account) (config.Account, error) {
		kh, err := findKey(ac, digits)
		return ac.WithoutKey(kh), err
	})
}

// minHashDigits is the shortest prefix of a hash that identifies a key, so that a
// typing error does not revoke another key.
const minHashDigits = 8

// findKey returns the key hash of the account that starts with the digits.
func findKey(ac config.Account, digits string) (config.KeyHash, error) {
	var found []config.KeyHash
	for _, kh := range ac.Keys {
		if len(digits) >= minHashDigits && strings.HasPrefix(string(kh), digits) {
			found = append(found, kh)
		}
	}
	switch len(found) {
	case 0:
		return "", fmt.Errorf("%w: key %s of account %s (want at least %d digits of the hash)", ErrNotFound, digits, ac.ID, minHashDigits)
	case 1:
		return found[0], nil
	default:
		return "", fmt.Errorf("%w: %s", ErrAmbiguous, digits)
	}
}
