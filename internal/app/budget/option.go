package budget

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

type options struct {
	clock       clock.Clock
	meter       meter.Meter
	address     func() string
	slicer      escrow.Returner[escrow.Demand]
	newOp       func() ident.Op
	tick        time.Duration
	drawTimeout time.Duration
	refuseFor   time.Duration
	idleAfter   time.Duration
	batch       int64
	peers       Peers
	peerAddress string
	cover       func(we config.Weight) escrow.Cover
	prepaid     Prepaid
	shelf       shelf
	lenders     Lenders
	lookEvery   time.Duration
}

// Shelf says how escrow is kept that a holder does not need at once. Its row is
// written again and again while the table answers. Without a write it stays
// closed for the hold time and then opens evenly.
type Shelf struct {
	// Renew is the time between two writes for a budget in use, and Hold the
	// time for which its shelf stays closed after one.
	Renew, Hold time.Duration
	// IdleRenew and IdleHold are the same for a budget without use.
	IdleRenew, IdleHold time.Duration
	// Ready is the time for whose expected use tokens are kept off the shelf.
	Ready time.Duration
	// ScarceHold and ScarceReady stand for Hold and Ready while the budget lasts
	// for less than Scarce: what is lost with a killed holder is then missed, and
	// more so than what is not at hand in an outage.
	Scarce, ScarceHold, ScarceReady time.Duration
	// Opening is how many times faster than the recent use the shelf opens.
	Opening float64
	// MinSpan and MaxSpan bound the time in which it opens.
	MinSpan, MaxSpan time.Duration
}

// shelf is off without a store's clock.
type shelf struct {
	Shelf
	now func() (ms int64, ok bool)
}

// Prepaid returns the prepaid total of a budget and the configuration that it
// is from. It reports false for budgets that operators top up.
type Prepaid func(rf ident.BudgetRef) (ident.Tokens, ident.Revision, bool)

// Option configures a Holder.
type Option func(*options)

func newOptions(opts []Option) options {
	op := options{
		clock:       clock.System{},
		meter:       meter.Nop{},
		address:     func() string { return "" },
		slicer:      escrow.Bounded[escrow.Adaptive]{},
		newOp:       ident.NewOp,
		tick:        time.Second,
		drawTimeout: time.Second,
		refuseFor:   500 * time.Millisecond,
		idleAfter:   30 * time.Second,
		batch:       64,
		cover:       escrow.CoverFor,
		lookEvery:   10 * time.Second,
		prepaid:     func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return 0, 0, false },
	}
	for _, apply := range opts {
		apply(&op)
	}
	return op
}

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(op *options) { op.clock = ck } }

// WithMeter sets the meter. By default nothing is recorded.
func WithMeter(me meter.Meter) Option { return func(op *options) { op.meter = me } }

// WithAddress sets the source of the address at which the router answers. The
// default is empty: then only the platform's list tells its address.
func WithAddress(address func() string) Option {
	return func(op *options) { op.address = address }
}

// WithSlicer sets the grant size policy, which is always bounded by what is
// free. The default is escrow.Adaptive.
func WithSlicer[S escrow.Slicer[escrow.Demand]](sl S) Option {
	return func(op *options) { op.slicer = escrow.Bounded[S]{Inner: sl} }
}

// WithOps sets the source of operation ids. The default is ident.NewOp.
func WithOps(newOp func() ident.Op) Option { return func(op *options) { op.newOp = newOp } }

// WithTick sets the time between two passes of Run. The default is 1 s, and
// the range is 10 ms to 10 s.
func WithTick(d time.Duration) Option {
	return func(op *options) { op.tick = min(max(d, 10*time.Millisecond), 10*time.Second) }
}

// WithDrawTimeout bounds how long a reservation waits for the table. The
// default is 1 s, and the range is 10 ms to 10 s. With 500 ms, twice as many
// requests were refused while 380 holders drew their first grants of one
// budget.
func WithDrawTimeout(d time.Duration) Option {
	return func(op *options) { op.drawTimeout = min(max(d, 10*time.Millisecond), 10*time.Second) }
}

// WithRefuseFor sets how long a refusal stands at most before the table is
// asked again; it is less while a budget has few holders. It bounds the reads of
// an exhausted budget and delays the effect of a top-up. The default is 500 ms,
// and the range is 0 to 10 s.
func WithRefuseFor(d time.Duration) Option {
	return func(op *options) { op.refuseFor = min(max(d, 0), 10*time.Second) }
}

// WithIdleAfter sets the time without a request after which available escrow
// is returned. The default is 30 s, and the range is 1 s to 1 h.
func WithIdleAfter(d time.Duration) Option {
	return func(op *options) { op.idleAfter = min(max(d, time.Second), time.Hour) }
}

// WithPeers sets how other holders are asked to return unused escrow. By
// default they are not asked.
func WithPeers(pe Peers) Option { return func(op *options) { op.peers = pe } }

// WithPeerAddress sets the address at which other holders reach this one. It is
// written to the row of the incarnation. The default is none.
func WithPeerAddress(addr string) Option { return func(op *options) { op.peerAddress = addr } }

// WithBatch sets the number of requests of a budget that are settled together
// when nothing presses. The default is 64, and the range is 1 to 10,000.
func WithBatch(requests int64) Option {
	return func(op *options) { op.batch = min(max(requests, 1), 10_000) }
}

// WithCover sets how much escrow is held in advance, for all weights alike. The
// default is escrow.CoverFor.
func WithCover(co escrow.Cover) Option {
	return func(op *options) { op.cover = func(config.Weight) escrow.Cover { return co } }
}

// WithPrepaid takes the prepaid totals from a configuration. The row of such a
// budget is created by its first draw. By default operators top budgets up.
func WithPrepaid(source Prepaid) Option { return func(op *options) { op.prepaid = source } }

// WithShelf makes the holder put escrow that it does not need at once on a
// shelf. What has not opened when a holder is known to be dead can be reclaimed.
// now returns a lower bound of the store's clock in milliseconds, and false
// while it is not known. By default nothing is shelved.
func WithShelf(sh Shelf, now func() (ms int64, ok bool)) Option {
	return func(op *options) { op.shelf = shelf{Shelf: sh, now: now} }
}

// WithLenders sets how other holders are asked for tokens when the table is
// away or has none left. By default they are not asked.
func WithLenders(le Lenders) Option { return func(op *options) { op.lenders = le } }

// WithLook sets the longest time that spare escrow is kept without a look at
// the budget row, which is one read. The default is 10 s, and the range is
// 100 ms to 1 h.
func WithLook(every time.Duration) Option {
	return func(op *options) { op.lookEvery = min(max(every, 100*time.Millisecond), time.Hour) }
}
