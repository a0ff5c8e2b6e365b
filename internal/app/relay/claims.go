package relay

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// cancelTries bounds how often a cancellation is decided anew after a lost
// answer or a race.
const cancelTries = 4

// errTaken means that the row is no longer the claim that was to be replaced.
var errTaken = errors.New("relay: the claim was decided otherwise")

// Claims gives access to the rows that guard idempotency keys.
type Claims struct {
	tab store.Table
	cod store.Codec[claim.Record]
}

// NewClaims returns access to the claims in the table.
func NewClaims(tab store.Table, cod store.Codec[claim.Record]) Claims {
	return Claims{tab: tab, cod: cod}
}

// Ask returns the record of a key. The row belongs to the account, so that
// another account cannot read it.
func (cl Claims) Ask(ctx context.Context, account ident.Account, key ident.Key) (claim.Record, bool, error) {
	rc, _, err := cl.read(ctx, claim.Row(account, key))
	if err != nil || rc == nil {
		return claim.Record{}, false, err
	}
	return *rc, true, nil
}

// CancelKey tries to win the key, so that no sidecar can run the call. Only
// after Won or Foreign the caller may be told notRun. An error leaves it
// unknown whether the key was won; the call may be repeated.
func (cl Claims) CancelKey(ctx context.Context, account ident.Account, key ident.Key, fingerprint []byte) (claim.Cancellation, error) {
	row := claim.Row(account, key)
	var ex *claim.Record
	var version uint64
	var last error
	for range cancelTries {
		if ve := claim.DecideCancel(ex, fingerprint); ve != claim.Open {
			return ve, nil
		}
		rc := claim.Void(fingerprint)
		if ex != nil {
			rc = ex.WithState(claim.Cancelled)
		}
		last = cl.write(ctx, row, rc, version)
		if last == nil {
			return claim.Won, nil
		}
		if unsent(last) {
			return claim.Open, last
		}
		var err error
		if ex, version, err = cl.read(ctx, row); err != nil {
			return claim.Open, err
		}
	}
	return claim.Open, last
}

// read returns the record, or nil if there is none, and its version.
func (cl Claims) read(ctx context.Context, row string) (*claim.Record, uint64, error) {
	if cl.tab == nil {
		return nil, 0, store.ErrUnavailable
	}
	it, ok, err := cl.tab.Get(ctx, row)
	if err != nil || !ok {
		return nil, store.Absent, err
	}
	rc, err := cl.cod.Decode(it.Value)
	if err != nil {
		return nil, 0, err
	}
	return &rc, it.Version, nil
}

// write puts the record if the row has the given version.
func (cl Claims) write(ctx context.Context, row string, rc claim.Record, version uint64) error {
	if cl.tab == nil {
		return store.ErrUnavailable
	}
	val, err := cl.cod.Encode(rc)
	if err != nil {
		// Nothing was sent.
		return errors.Join(store.ErrUnavailable, err)
	}
	return cl.tab.Commit(ctx, store.Write{Key: row, Value: val, IfVersion: version})
}

// unsent reports whether the error proves that nothing was written and that
// the row was not examined.
func unsent(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrThrottled)
}
