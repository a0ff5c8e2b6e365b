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
	eventStatement = meter.Event{Number: 3008, Level: slog.LevelInfo, Text: "escrow of an ended router closed by its statement"}
	eventKept      = meter.Event{Number: 3009, Level: slog.LevelWarn, Text: "a statement of an ended router cannot be applied yet"}
)

const (
	// statementEvery is the time between two tries to apply kept statements.
	statementEvery = time.Second
	// maxStatements bounds the statements that one router keeps.
	maxStatements = 256
)

// Statement returns what the incarnation has used, counting open reservations
// at their most. Nothing may be reserved afterwards: Close must have been
// called, successfully or not.
func (hd *Holder) Statement() escrow.Statement {
	st := escrow.Statement{Incarnation: hd.inc}
	for _, hg := range hd.index.all() {
		co := hg.pool.Counts()
		used := hg.grant.val.Settled + co.Unsettled + co.Reserved + co.Kept
		st.Used = append(st.Used, escrow.Use{Account: hg.ref.Account, Budget: hg.ref.Budget, Tokens: used})
	}
	return st
}

// Settle closes the grants of an incarnation by its statement. It can be
// repeated.
func (le *Ledger) Settle(ctx context.Context, st escrow.Statement, me meter.Meter) error {
	if err := le.setState(ctx, st.Incarnation, escrow.Closing); ended(err) {
		return nil
	} else if err != nil {
		return err
	}
	var freed, uncovered ident.Tokens
	refs := make([]ident.BudgetRef, 0, len(st.Used))
	for _, us := range st.Used {
		rf := ident.BudgetRef{Account: us.Account, Budget: us.Budget}
		refs = append(refs, rf)
		err := le.change(ctx, rf, st.Incarnation, func(en escrow.Entry) (escrow.Entry, error) {
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

// Statements keeps the statements of other routers until the table has them.
type Statements struct {
	ledger *Ledger
	meter  meter.Meter

	mu   sync.Mutex
	kept []escrow.Statement
}

// NewStatements returns a store of statements without any.
func NewStatements(ledger *Ledger, me meter.Meter) *Statements {
	return &Statements{ledger: ledger, meter: me}
}

// Keep takes a statement.
func (ss *Statements) Keep(st escrow.Statement) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if len(ss.kept) < maxStatements {
		ss.kept = append(ss.kept, st)
	}
}

// Run applies what is kept until ctx ends.
func (ss *Statements) Run(ctx context.Context) {
	for pause(ctx, statementEvery) == nil {
		ss.mu.Lock()
		todo := ss.kept
		ss.kept = nil
		ss.mu.Unlock()
		for _, st := range todo {
			if err := ss.ledger.Settle(ctx, st, ss.meter); err != nil {
				ss.meter.Log(eventKept, slog.String("incarnation", string(st.Incarnation)), slog.String("error", err.Error()))
				ss.Keep(st)
			}
		}
	}
}
