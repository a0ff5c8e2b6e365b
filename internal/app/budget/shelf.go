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
	// renewEvery is the time between two writes that keep the shelf untouched.
	renewEvery = time.Second
	// renewMargin is added to the hold time for what is kept available: the
	// shelf is opened that much later when writes take long.
	renewMargin = 1500 * time.Millisecond
	// shelfSlack is the share by which the available tokens may differ from the
	// target before some are moved.
	shelfSlack = 0.3
)

// ready returns the tokens that are to be available without the shelf.
func (hd *Holder) ready(hg *holding) ident.Tokens {
	span := (hd.opts.shelf.hold + renewMargin).Seconds()
	low := hd.opts.cover(hg.weight()).LowRequests * hg.usage.typical
	return max(ident.Tokens(hg.usage.rate*span), low)
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
	due := co.Shelf > 0 && now.Sub(hg.renewed) >= renewEvery
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
	until := ms + hd.opts.shelf.hold.Milliseconds()
	hg.shelvedUntil = max(hg.shelvedUntil, until)
	hg.shelved = min(hg.grant.val.Shelf(), en.Grant.Shelf())
	hg.renewed = hd.opts.clock.Now()
	en.Grant = en.Grant.WithShelvedUntil(until, hd.opts.shelf.span.Milliseconds())
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
	open := escrow.Opened(hg.shelved, hg.shelvedUntil, hd.opts.shelf.span.Milliseconds(), ms)
	got := hg.pool.Loosen(max(0, open-hg.pool.Counts().Loose))
	if got > 0 {
		hd.opts.meter.Log(eventLoosened, slog.String("budget", hg.ref.String()), slog.Int64("tokens", int64(got)),
			slog.Int64("storeMs", ms), slog.Int64("shelvedUntil", hg.shelvedUntil))
	}
	return got > 0
}

// Reclaim frees the shelves of an incarnation that is known to be dead, as far
// as they are proved to be unused, and returns the tokens. The incarnation
// draws no more grants afterwards. now returns the store's clock as WithShelf
// has it.
func (le *Ledger) Reclaim(ctx context.Context, inc ident.Incarnation, refs []ident.BudgetRef, now func() (int64, bool), me meter.Meter) (ident.Tokens, error) {
	if err := le.setState(ctx, inc, escrow.Closing); err != nil {
		return 0, err
	}
	var sum ident.Tokens
	var failed error
	for _, rf := range refs {
		var freed, held ident.Tokens
		err := le.change(ctx, rf, inc, func(en escrow.Entry) (escrow.Entry, error) {
			ms, ok := now()
			if !ok {
				return en, nil
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
	return sum, failed
}
