package budget

import (
	"context"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var eventBorrowed = meter.Event{Number: 3007, Level: slog.LevelInfo, Text: "escrow borrowed from other routers"}

// Lenders borrows tokens from the other holders of a budget without the table.
type Lenders interface {
	// Borrow borrows tokens from other holders until it has as many as requested,
	// and returns how many it got. Tokens whose response is lost are charged to
	// the lender and used by nobody. short says that the budget has no free
	// tokens left, so that the others are to return what they can spare.
	Borrow(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens
}

// lendDivisor divides the available tokens of a holder; one loan takes at most
// the quotient, so that the holder is not short itself afterwards.
const lendDivisor = 2

// borrow borrows the tokens that the request lacks from other holders. It reports
// whether the pool has enough. The caller holds the rows lock of the holding.
func (hd *Holder) borrow(ctx context.Context, hg *holding, tokens ident.Tokens, short bool) bool {
	missing := tokens - hg.pool.Available()
	if hd.opts.lenders == nil || missing <= 0 {
		return missing <= 0
	}
	// Nothing is borrowed in advance, because unused borrowed tokens cannot be
	// returned.
	got := hd.opts.lenders.Borrow(ctx, hg.ref, missing, short)
	hg.pool.Borrow(got)
	hd.opts.meter.Log(eventBorrowed, slog.String("budget", hg.ref.String()), slog.Int64("lack", int64(missing)), slog.Int64("got", int64(got)))
	return hg.pool.Available() >= tokens
}

// Lend charges tokens of this holder for use by another one and returns how many
// it charged. If the budget is short of free tokens, the available and locked
// tokens of this holder are returned soon, if a read of the budget row confirms
// it. Nothing is lent once ctx has ended, because the response would be lost.
func (hd *Holder) Lend(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens {
	hg := hd.index.find(rf)
	if hg == nil || phase(hd.phase.Load()) != running {
		return 0
	}
	if short {
		hg.wantedByOthers.Store(true)
	}
	if hg.tryLockRows() {
		hd.unlockExpired(hg)
		if missing := tokens*lendDivisor - hg.pool.Available(); missing > 0 && !hd.table.down() && hg.pool.Counts().Locked > 0 {
			// After a failure, what is available already can be lent.
			_ = hd.unlockTokens(ctx, hg, missing)
		}
		hg.unlockRows()
	}
	if ctx.Err() != nil {
		return 0
	}
	return hg.pool.Lend(min(tokens, hg.pool.Available()/lendDivisor))
}
