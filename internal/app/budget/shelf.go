package budget

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	eventLoosened  = meter.Event{Number: 3005, Level: slog.LevelWarn, Text: "the table has been away for the hold time, shelved escrow is used"}
	eventReclaimed = meter.Event{Number: 3006, Level: slog.LevelInfo, Text: "shelf of a dead incarnation reclaimed"}
)

const (
	// shelfSlack is the share by which the available tokens may differ from the
	// target before some are moved.
	shelfSlack = 0.3
	// inUse is how long a budget counts as in use after its last request.
	inUse = 5 * time.Second
	// maxRenewals is the number of grant rows that one holder writes in a second
	// to keep shelves closed; with more budgets it writes each less often.
	maxRenewals = 100
	// renewPerHolder scales the time between two such writes with the holders of
	// a budget, which share the write rate of its partition.
	renewPerHolder = 10 * time.Millisecond
)

// pace returns the time between two writes of a holding's row, and how long its
// shelf stays closed after one.
func (hd *Holder) pace(hg *holding, now time.Time) (renew, hold time.Duration) {
	sh := hd.opts.shelf
	renew, hold = sh.Renew, sh.Hold
	if hd.scarce(hg) {
		hold = sh.ScarceHold
	}
	if now.Sub(hg.usage.lastUse) > inUse {
		renew, hold = sh.IdleRenew, sh.IdleHold
	}
	least := max(time.Duration(hg.seen.Holders)*renewPerHolder, time.Duration(hd.index.len())*time.Second/maxRenewals)
	if renew >= least || renew <= 0 {
		return renew, hold
	}
	return least, time.Duration(float64(hold) * float64(least) / float64(renew))
}

// scarce reports whether the budget is used up soon.
func (hd *Holder) scarce(hg *holding) bool {
	lasts, ok := hg.usage.lasts(hg.seen.Prepaid - hg.seen.Settled)
	return ok && lasts < hd.opts.shelf.Scarce
}

// span returns the time in which the shelf opens, in milliseconds.
func (sh shelf) span(tokens ident.Tokens, rate float64) int64 {
	open := sh.MaxSpan
	if rate > 0 {
		open = time.Duration(min(float64(tokens)/(sh.Opening*rate), open.Seconds()) * float64(time.Second))
	}
	return max(open, sh.MinSpan).Milliseconds()
}

// ready returns the tokens that are to be available without the shelf.
func (hd *Holder) ready(hg *holding) ident.Tokens {
	if hd.scarce(hg) {
		return ident.Tokens(hg.usage.rate * hd.opts.shelf.ScarceReady.Seconds())
	}
	low := hd.opts.cover(hg.weight()).LowRequests * hg.usage.typical
	return max(ident.Tokens(hg.usage.rate*hd.opts.shelf.Ready.Seconds()), low)
}

// shelve decides what moves between the shelf and the available tokens. It
// returns how many tokens are to be armed, and whether the row is to be written.
func (hd *Holder) shelve(hg *holding, now time.Time) (arm ident.Tokens, renew bool) {
	if _, ok := hd.opts.shelf.clock(); !ok || !hg.grant.exists() {
		return 0, false
	}
	co, want := hg.pool.Counts(), hd.ready(hg)
	switch slack := ident.Tokens(float64(want) * shelfSlack); {
	case co.Available > want+slack:
		hg.pool.Shelve(co.Available - want)
	case co.Available < want-slack && co.Shelf > 0:
		arm = min(want-co.Available, co.Shelf)
	}
	co = hg.pool.Counts()
	every, _ := hd.pace(hg, now)
	due := co.Shelf > 0 && now.Sub(hg.renewed) >= every
	return arm, arm > 0 || co.Shelving > 0 || co.Loose > 0 || due
}

// clock returns the store's clock.
func (sh shelf) clock() (int64, bool) {
	if sh.now == nil {
		return 0, false
	}
	return sh.now()
}

// stamp extends the time until which the shelf is not used. It counts from the
// moment of the write, because a write without an answer may have arrived.
func (hd *Holder) stamp(hg *holding, en escrow.Entry) escrow.Entry {
	ms, ok := hd.opts.shelf.clock()
	if !ok || en.Grant.Shelf() == 0 {
		return en
	}
	now := hd.opts.clock.Now()
	_, hold := hd.pace(hg, now)
	until, span := ms+hold.Milliseconds(), hd.opts.shelf.span(en.Grant.Shelf(), hg.usage.rate)
	en.Grant = en.Grant.WithShelvedUntil(until, span)
	hg.opening, hg.renewed = hg.opening.WithWrite(openingOf(en.Grant)), now
	return en
}

// loosen takes from the shelf what has opened since the last write that may
// have arrived. It reports whether there was any. The caller has the turn:
// between the reading of the shelf for a write and its new time, nothing may be
// taken, because a successor would take it for unused.
func (hd *Holder) loosen(hg *holding) bool {
	ms, ok := hd.opts.shelf.clock()
	if !ok {
		return false
	}
	got := hg.pool.Loosen(max(0, hg.opening.at(ms)-hg.pool.Counts().Loose))
	if got > 0 {
		hd.opts.meter.Log(eventLoosened, slog.String("budget", hg.ref.String()), slog.Int64("tokens", int64(got)),
			slog.Int64("storeMs", ms), slog.Int64("shelvedUntil", hg.opening.until))
	}
	return got > 0
}

// opensIn returns the time until the shelf has opened by so many tokens more
// than were taken from it. It reports false if it never will.
func (hd *Holder) opensIn(hg *holding, tokens ident.Tokens) (time.Duration, bool) {
	ms, ok := hd.opts.shelf.clock()
	at, will := hg.opening.when(hg.pool.Counts().Loose + tokens)
	return time.Duration(at-ms) * time.Millisecond, ok && will
}

// arm takes from the shelf what a request lacks, which is one write of the
// grant row. The caller has the turn.
func (hd *Holder) arm(ctx context.Context, hg *holding, lack ident.Tokens) error {
	return repeat(ctx, func() (bool, error) {
		in, err := hd.renewal(ctx, hg, lack+hd.ready(hg))
		if err != nil || len(in.writes) == 0 {
			return err == nil, err
		}
		err = hd.conclude(hg, in, hd.ledger.table.Commit(ctx, in.writes...))
		return err == nil, err
	})
}

// errNoClock means that no answer of the store has told its clock yet.
var errNoClock = errors.New("budget: the store's clock is not known")

// Reclaim frees the shelves of an incarnation that is known to be dead, as far
// as they are proved to be unused, and returns the tokens. The incarnation
// draws no more grants afterwards, and its rows are retired. now returns a time
// of the store's clock, in milliseconds, at which the incarnation was dead.
func (le *Ledger) Reclaim(ctx context.Context, inc ident.Incarnation, refs []ident.BudgetRef, now func() (int64, bool), me meter.Meter) (ident.Tokens, error) {
	if err := le.setState(ctx, inc, escrow.Closing); ended(err) {
		return 0, nil
	} else if err != nil {
		return 0, err
	}
	var sum ident.Tokens
	var failed error
	for _, rf := range refs {
		var freed, held ident.Tokens
		err := le.change(ctx, rf, inc, func(en escrow.Entry) (escrow.Entry, error) {
			ms, ok := now()
			if !ok {
				return en, errNoClock
			}
			nx, err := en.Reclaim(ms)
			freed, held = nx.Grant.Returned-en.Grant.Returned, nx.Grant.Outstanding()
			return nx, err
		})
		if errors.Is(err, ErrUnknownGrant) {
			continue
		}
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		sum += freed
		me.Log(eventReclaimed, slog.String("incarnation", string(inc)), slog.String("budget", rf.String()),
			slog.Int64("freed", int64(freed)), slog.Int64("held", int64(held)))
	}
	if failed != nil {
		return sum, failed
	}
	return sum, le.Retire(ctx, inc, refs)
}
