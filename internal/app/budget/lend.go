package budget

import (
	"context"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var eventBorrowed = meter.Event{Number: 3007, Level: slog.LevelInfo, Text: "escrow borrowed from other routers"}

// Lenders reaches the other holders of a budget without the table.
type Lenders interface {
	// Borrow asks other holders for tokens until enough came together, and
	// returns how many did. Tokens whose answer is lost are charged to the
	// lender and used by nobody. Short says that the budget has none left, so
	// that the others are to return what they can spare.
	Borrow(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens
}

// lendShare is the part of its available tokens that a holder lends at most in
// one go: it may be short next.
const lendShare = 2

// borrow gets tokens from other holders. It reports whether the pool has
// enough. The caller has the turn of the holding.
func (hd *Holder) borrow(ctx context.Context, hg *holding, tokens ident.Tokens, short bool) bool {
	lack := tokens - hg.pool.Available()
	if hd.opts.lenders == nil || lack <= 0 {
		return lack <= 0
	}
	// Nothing is borrowed ahead, because what is not used cannot be returned.
	got := hd.opts.lenders.Borrow(ctx, hg.ref, lack, short)
	hg.pool.Borrow(got)
	hd.opts.meter.Log(eventBorrowed, slog.String("budget", hg.ref.String()), slog.Int64("lack", int64(lack)), slog.Int64("got", int64(got)))
	return hg.pool.Available() >= tokens
}

// Lend charges tokens of this holder for use by another one and returns how
// many they are. If the budget is short, the rest of the shelf is returned to
// the table soon. Nothing is lent once ctx has ended, because the answer would
// be lost.
func (hd *Holder) Lend(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, short bool) ident.Tokens {
	hg := hd.index.find(rf)
	if hg == nil || phase(hd.phase.Load()) != running {
		return 0
	}
	if short {
		hg.wanted.Store(true)
	}
	if hg.tryLock() {
		hd.loosen(hg)
		if lack := tokens*lendShare - hg.pool.Available(); lack > 0 && !hd.away.Load() && hg.pool.Counts().Shelf > 0 {
			// A failure leaves what is available.
			_ = hd.arm(ctx, hg, lack)
		}
		hg.unlock()
	}
	if ctx.Err() != nil {
		return 0
	}
	return hg.pool.Lend(min(tokens, hg.pool.Available()/lendShare))
}
