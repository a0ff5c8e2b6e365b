package budget

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	eventStatement         = meter.Event{Number: 3008, Level: slog.LevelInfo, Text: "escrow of an ended router closed by its statement"}
	eventStatementDeferred = meter.Event{Number: 3009, Level: slog.LevelWarn, Text: "a statement of an ended router cannot be applied yet"}
	eventStatementRefused  = meter.Event{Number: 3010, Level: slog.LevelWarn, Text: "a statement of a router that ends was refused, too many are pending"}
)

const (
	// statementRetryInterval is the time between two attempts to apply pending
	// statements.
	statementRetryInterval = time.Second
	// maxStatements is the largest number of pending statements.
	maxStatements = 256
)

// Statement returns what the incarnation has used. Reservations that are open or
// unknown count in full. Nothing may be reserved afterwards: Close must have been
// called, successfully or not.
func (hd *Holder) Statement() escrow.Statement {
	st := escrow.Statement{Incarnation: hd.inc}
	for _, hg := range hd.index.all() {
		co := hg.pool.Counts()
		used := hg.grant.val.Settled + co.Unsettled + co.Reserved + co.Unknown
		st.Used = append(st.Used, escrow.Use{Account: hg.ref.Account, Budget: hg.ref.Budget, Tokens: used})
	}
	return st
}

// Settle closes the grants of an ended incarnation as its statement says. It can
// be repeated.
func (le *Ledger) Settle(ctx context.Context, st escrow.Statement, me meter.Meter) error {
	if err := le.setState(ctx, st.Incarnation, escrow.Closing); isRetired(err) {
		return nil
	} else if err != nil {
		return err
	}
	var freed, uncovered ident.Tokens
	refs := make([]ident.BudgetRef, 0, len(st.Used))
	for _, us := range st.Used {
		rf := ident.BudgetRef{Account: us.Account, Budget: us.Budget}
		refs = append(refs, rf)
		err := le.changeGrant(ctx, rf, st.Incarnation, func(en escrow.Entry) (escrow.Entry, error) {
			nx, over, err := en.Recover(us.Tokens)
			freed += nx.Grant.Returned - en.Grant.Returned
			uncovered += over
			return nx, err
		})
		if err != nil && !errors.Is(err, ErrUnknownGrant) {
			return err
		}
	}
	me.Log(eventStatement, slog.String("incarnation", string(st.Incarnation)),
		slog.Int64("freed", int64(freed)), slog.Int64("uncovered", int64(uncovered)))
	return le.Retire(ctx, st.Incarnation, refs)
}

// Statements holds the statements of other routers until they are applied to the
// table.
type Statements struct {
	ledger *Ledger
	meter  meter.Meter

	mu      sync.Mutex
	pending []escrow.Statement
}

// NewStatements returns an empty list of statements.
func NewStatements(ledger *Ledger, me meter.Meter) *Statements {
	return &Statements{ledger: ledger, meter: me}
}

// AddStatement adds a statement, and reports false if there are too many.
func (ss *Statements) AddStatement(st escrow.Statement) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if len(ss.pending) >= maxStatements {
		ss.meter.Log(eventStatementRefused, slog.String("incarnation", string(st.Incarnation)), slog.Int("pending", len(ss.pending)))
		return false
	}
	ss.pending = append(ss.pending, st)
	return true
}

// Run applies pending statements until ctx ends.
func (ss *Statements) Run(ctx context.Context) {
	for sleep(ctx, statementRetryInterval) == nil {
		ss.mu.Lock()
		todo := ss.pending
		ss.pending = nil
		ss.mu.Unlock()
		for _, st := range todo {
			if err := ss.ledger.Settle(ctx, st, ss.meter); err != nil {
				ss.meter.Log(eventStatementDeferred, slog.String("incarnation", string(st.Incarnation)), slog.String("error", err.Error()))
				ss.putBack(st)
			}
		}
	}
}

// putBack keeps a statement that was taken before, however many there are now.
func (ss *Statements) putBack(st escrow.Statement) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.pending = append(ss.pending, st)
}
