// Package budget draws, settles and returns escrow of prepaid budgets, tops
// budgets up, and recovers the escrow of dead routers on evidence.
package budget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Codecs encode the rows of the ledger.
type Codecs struct {
	Budget      store.Codec[escrow.BudgetRow]
	Grant       store.Codec[escrow.GrantRow]
	TopUp       store.Codec[escrow.TopUpRow]
	Incarnation store.Codec[escrow.IncarnationRow]
	Closure     store.Codec[escrow.ClosureRow]
	Witness     store.Codec[escrow.WitnessRow]
	Lease       store.Codec[escrow.LeaseRow]
}

// Ledger reads and writes the rows of all budgets in the table.
type Ledger struct {
	table  store.Table
	codecs Codecs
	era    func() uint64
}

// LedgerOption configures a Ledger.
type LedgerOption func(*Ledger)

// WithEra sets the source of the store's era, which rises when the store returns from
// an older copy. By default the store never does.
func WithEra(era func() uint64) LedgerOption { return func(le *Ledger) { le.era = era } }

// NewLedger returns a ledger on the table.
func NewLedger(table store.Table, codecs Codecs, opts ...LedgerOption) *Ledger {
	le := &Ledger{table: table, codecs: codecs, era: func() uint64 { return 0 }}
	for _, opt := range opts {
		opt(le)
	}
	return le
}

// withTable returns a ledger of the same rows that reaches them through the table.
func (le *Ledger) withTable(table store.Table) *Ledger {
	nx := *le
	nx.table = table
	return &nx
}

// Errors of the operator's commands.
var (
	// ErrUnknownBudget means that the budget has no row.
	ErrUnknownBudget = errors.New("budget: no such budget")
	// ErrUnknownIncarnation means that the incarnation has no row.
	ErrUnknownIncarnation = errors.New("budget: no such incarnation")
	// ErrUnknownGrant means that the incarnation has no grant of the budget.
	ErrUnknownGrant = errors.New("budget: no such grant")
	// ErrOpReused means that the operation id was used with another amount.
	ErrOpReused = errors.New("budget: operation id was used with another amount")
	// ErrNoEvidence means that the evidence names no sidecar and is not marked
	// as complete.
	ErrNoEvidence = errors.New("budget: evidence names no sidecar")
	// ErrStillOpen means that the incarnation has not been declared dead.
	ErrStillOpen = errors.New("budget: incarnation is open")
)

func budgetKey(rf ident.BudgetRef) string { return "budget/" + rf.String() }

func grantPrefix(rf ident.BudgetRef) string { return "grant/" + rf.String() + "/" }

func grantKey(rf ident.BudgetRef, inc ident.Incarnation) string {
	return grantPrefix(rf) + string(inc)
}

func topUpKey(rf ident.BudgetRef, op ident.Op) string {
	return "topup/" + rf.String() + "/" + string(op)
}

func incarnationKey(inc ident.Incarnation) string { return "incarnation/" + string(inc) }

func leaseKey(inc ident.Incarnation) string { return "lease/" + string(inc) + "/lock" }

func closureKey(inc, side ident.Incarnation) string {
	return closurePrefix(inc) + string(side)
}

func witnessPrefix(inc ident.Incarnation) string { return "witness/" + string(inc) + "/" }

func closurePrefix(inc ident.Incarnation) string { return "closure/" + string(inc) + "/" }

// row is a decoded row with its key and version. The version store.Absent means
// that the row does not exist.
type row[T any] struct {
	key     string
	val     T
	version uint64
}

func (ro row[T]) exists() bool { return ro.version != store.Absent }

// loadRow reads and decodes a row.
func loadRow[T any](ctx context.Context, table store.Table, codec store.Codec[T], key string) (row[T], error) {
	ro := row[T]{key: key}
	it, ok, err := table.Get(ctx, key)
	if err != nil || !ok {
		return ro, err
	}
	ro.version = it.Version
	if ro.val, err = codec.Decode(it.Value); err != nil {
		return ro, fmt.Errorf("budget: row %s: %w", key, err)
	}
	return ro, nil
}

// newWrite returns the write that replaces the row's value.
func newWrite[T any](codec store.Codec[T], ro row[T], val T) (store.Write, error) {
	data, err := codec.Encode(val)
	if err != nil {
		return store.Write{}, fmt.Errorf("budget: row %s: %w", ro.key, err)
	}
	return store.Write{Key: ro.key, Value: data, IfVersion: ro.version}, nil
}

func (le *Ledger) budget(ctx context.Context, rf ident.BudgetRef) (row[escrow.BudgetRow], error) {
	return loadRow(ctx, le.table, le.codecs.Budget, budgetKey(rf))
}

func (le *Ledger) grant(ctx context.Context, rf ident.BudgetRef, inc ident.Incarnation) (row[escrow.GrantRow], error) {
	return loadRow(ctx, le.table, le.codecs.Grant, grantKey(rf, inc))
}

func (le *Ledger) incarnation(ctx context.Context, inc ident.Incarnation) (row[escrow.IncarnationRow], error) {
	return loadRow(ctx, le.table, le.codecs.Incarnation, incarnationKey(inc))
}

// maxAttempts is how often one operation is tried in the face of conflicts,
// throttling and lost responses before it fails.
const maxAttempts = 24

const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// retry calls step until it reports done or returns an error that is not
// retriable. step reads the rows that it writes on every call, so that an attempt
// after a lost response starts with reading back.
func retry(ctx context.Context, step func() (done bool, err error)) error {
	var last error
	for no := range maxAttempts {
		done, err := step()
		if done || err != nil && !retriable(err) {
			return err
		}
		last = err
		if err := backoff(ctx, no); err != nil {
			return errors.Join(last, err)
		}
	}
	return last
}

// retriable reports whether err came from a commit or a read that may succeed if
// it is repeated on rows that were read again.
func retriable(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrThrottled) ||
		errors.Is(err, store.ErrUncertain)
}

// backoff waits for a random time, whose limit doubles with each attempt, so that
// writers of the same row do not conflict again.
func backoff(ctx context.Context, no int) error {
	limit := min(minBackoff<<min(no, 10), maxBackoff)
	return sleep(ctx, rand.N(limit))
}

// sleep waits for at least a microsecond, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	tm := time.NewTimer(max(d, time.Microsecond))
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
