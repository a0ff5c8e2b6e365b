package relay

import (
	"context"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// maxCancelWrites bounds the writes for one cancellation, which is decided again
// after a lost response or a race.
const maxCancelWrites = 4

// errClaimLost means that the row no longer holds the claim that was to be
// replaced.
var errClaimLost = errors.New("relay: the row no longer holds this run's claim")

// Claims reads and cancels the claims on idempotency keys.
type Claims struct {
	tab store.Table
	cod store.Codec[claim.Record]
}

// NewClaims returns the claims that are stored in the table.
func NewClaims(tab store.Table, cod store.Codec[claim.Record]) Claims {
	return Claims{tab: tab, cod: cod}
}

// Lookup returns the record of a key, and whether there is one. The row key
// includes the account, so that another account cannot read the record.
func (cl Claims) Lookup(ctx context.Context, account ident.Account, key ident.Key) (claim.Record, bool, error) {
	rc, _, err := cl.read(ctx, claim.RowKey(account, key))
	if err != nil || rc == nil {
		return claim.Record{}, false, err
	}
	return *rc, true, nil
}

// CancelKey tries to cancel the key, so that no sidecar can run the call. Only
// NeverRun and FingerprintMismatch prove that the call did not and will not run,
// so that a refusal may say notRun. After an error it is unknown whether the key
// was cancelled, and CancelKey may be called again.
func (cl Claims) CancelKey(ctx context.Context, account ident.Account, key ident.Key, fingerprint []byte) (claim.Cancellation, error) {
	row := claim.RowKey(account, key)
	var ex *claim.Record
	var version uint64
	var last error
	for range maxCancelWrites {
		if ca := claim.DecideCancel(ex, fingerprint); ca != claim.Cancellable {
			return ca, nil
		}
		rc := claim.NewCancelled(fingerprint)
		if ex != nil {
			rc = ex.WithState(claim.Cancelled)
		}
		last = cl.write(ctx, row, rc, version)
		if last == nil {
			return claim.NeverRun, nil
		}
		if notExecuted(last) {
			return claim.Cancellable, last
		}
		var err error
		if ex, version, err = cl.read(ctx, row); err != nil {
			return claim.Cancellable, err
		}
	}
	return claim.Cancellable, last
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

// write writes the record if the row has the given version.
func (cl Claims) write(ctx context.Context, row string, rc claim.Record, version uint64) error {
	if cl.tab == nil {
		return store.ErrUnavailable
	}
	val, err := cl.cod.Encode(rc)
	if err != nil {
		// Nothing was written, so the error must satisfy notExecuted.
		return errors.Join(store.ErrUnavailable, err)
	}
	return cl.tab.Commit(ctx, store.Write{Key: row, Value: val, IfVersion: version})
}

// notExecuted reports whether the error proves that the table did not execute
// the write: nothing was written and the row's version was not compared.
func notExecuted(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrThrottled)
}
