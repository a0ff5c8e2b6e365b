package budget

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

var eventRestored = meter.Event{Number: 3011, Level: slog.LevelWarn, Text: "the store has returned from an older copy, the escrow of a budget was written again"}

// drawPause is the time after the beginning of an era in which no tokens are drawn. In
// that time all holders that reach the store write again what the copy lacks.
const drawPause = 3 * time.Second

// errRestoring means that no tokens may be drawn yet in the store's era.
var errRestoring = errors.New("budget: the store has returned from an older copy, and what it lacks is written again first")

// eraStart is the first time at which a holder has seen an era.
type eraStart struct {
	era uint64
	// ms is a lower bound of the store's clock, in milliseconds.
	ms int64
}

// eraWatch remembers the beginning of the store's era.
type eraWatch struct{ latest atomic.Pointer[eraStart] }

// observe returns the beginning of the era, which is now if the era is new.
func (ew *eraWatch) observe(era uint64, ms int64) eraStart {
	for {
		known := ew.latest.Load()
		if known != nil && known.era >= era {
			return *known
		}
		if next := (&eraStart{era: era, ms: ms}); ew.latest.CompareAndSwap(known, next) {
			return *next
		}
	}
}

// outdated reports whether the rows of the holding are known from an earlier era of
// the store.
func (hd *Holder) outdated(hg *holding) bool { return hg.inUse && hg.era < hd.ledger.era() }

// eraOf returns the era in which the holding's rows are known. That of a budget which
// this holder has not used is the era of its row. A budget without a row may have lost
// it, unless the era has not changed since the holder was opened.
func (hd *Holder) eraOf(hg *holding, bu row[escrow.BudgetRow]) uint64 {
	switch {
	case hg.inUse:
		return hg.era
	case bu.exists():
		return bu.val.Era
	default:
		return hd.openedIn.Load()
	}
}

// observeEra returns the store's era. A router that reaches the store through others
// learns it from rows.
func (hd *Holder) observeEra(bu row[escrow.BudgetRow]) eraStart {
	ms, _ := hd.opts.timeLock.clock()
	return hd.eras.observe(max(hd.ledger.era(), bu.val.Era), ms)
}

// mayDraw reports whether tokens may be drawn from the budget.
func (hd *Holder) mayDraw(bu escrow.BudgetRow) bool {
	if bu.DrawsFrom == 0 {
		return true
	}
	ms, ok := hd.opts.timeLock.clock()
	return ok && ms >= bu.DrawsFrom
}

// reopen writes the row of the incarnation again if the store's era has changed.
func (hd *Holder) reopen(ctx context.Context) {
	if era := hd.ledger.era(); era > hd.registeredIn.Load() && hd.Open(ctx) == nil {
		hd.registeredIn.Store(era)
	}
}

// prepareRestore prepares the first commit of the holding in an era. The grant is
// written as it was known, whatever the copy contains, and then changed by the plan.
func (hd *Holder) prepareRestore(ctx context.Context, hg *holding, bu row[escrow.BudgetRow], start eraStart, pl plan) (intent, error) {
	gr, err := hd.ledger.grant(ctx, hg.ref, hd.inc)
	if err != nil {
		return intent{}, err
	}
	switch {
	case gr.exists() && gr.val.Closed:
		hd.fence()
		return intent{}, escrow.ErrClosed
	case gr.exists() && hg.wasIssued(gr.val):
		hg.record(gr)
		if gr.val.Era == start.era {
			// An earlier attempt has taken effect, and the budget row may have changed with it.
			hg.era, hg.inUse, hg.uncertain = start.era, true, false
			return intent{}, store.ErrConflict
		}
	}
	before := escrow.Entry{Budget: bu.val, Grant: gr.val}
	en := before.Restore(escrow.Restoration{
		Era: start.era, Version: bu.version, Known: hg.known, Grant: hg.grant.val.WithEra(start.era),
		DrawsFrom: start.ms + drawPause.Milliseconds(),
	})
	nx, err := pl(hg, en)
	if err != nil {
		// The plan is carried out later, on the rows as they are then.
		nx = en
	}
	wb, err := newWrite(hd.ledger.codecs.Budget, bu, nx.Budget)
	if err != nil {
		return intent{}, err
	}
	in := intent{writes: []store.Write{wb}, grant: hg.grant, budget: nx.Budget, budgetVersion: bu.version + 1, restores: true}
	hd.opts.meter.Log(eventRestored, slog.String("budget", hg.ref.String()), slog.Uint64("era", start.era),
		slog.Int64("drawn", int64(hg.grant.val.Drawn)), slog.Int64("drawnInCopy", int64(gr.val.Drawn)),
		slog.Int64("settled", int64(nx.Budget.Settled)), slog.Int64("granted", int64(nx.Budget.Granted)), slog.Int64("unaccounted", int64(nx.Budget.Unaccounted)))
	if hg.grant.val == (escrow.GrantRow{}) && nx.Grant == en.Grant {
		return in, nil
	}
	gr.key = grantKey(hg.ref, hd.inc)
	return hd.addGrantWrite(hg, in, gr, before.Grant, nx)
}

// planUnlock returns the plan that records the time lock and unlocks tokens.
func planUnlock(unlock ident.Tokens) plan {
	return func(hg *holding, en escrow.Entry) (escrow.Entry, error) {
		nx, err := applyLocks(hg, en)
		if err != nil {
			return en, err
		}
		return nx.Unlock(min(unlock, nx.Grant.Locked()))
	}
}
