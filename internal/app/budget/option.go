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
	clock         clock.Clock
	meter         meter.Meter
	address       func() string
	grantSizer    escrow.ReturningSizer[escrow.Demand]
	newOp         func() ident.Op
	flushInterval time.Duration
	drawTimeout   time.Duration
	refusalTTL    time.Duration
	idleAfter     time.Duration
	settleBatch   int64
	peers         Peers
	peerAddress   string
	headroom      func(pr config.Preference) escrow.Headroom
	prepaid       Prepaid
	timeLock      timeLock
	lenders       Lenders
	readInterval  time.Duration
	// flushParallelism is zero if budgets are flushed together.
	flushParallelism int
	sharedLock       bool
	uncheckedDraws   bool
	averagedUse      bool
	// congested reports whether the own link is congested.
	congested func(now time.Time) bool
}

// TimeLock configures the time lock on escrow that a holder does not need at once.
// While the table responds, the lock is extended again and again by writes of the
// grant row. Without a write the tokens stay locked for the lock time and then
// unlock by expiry at a constant rate.
type TimeLock struct {
	// RenewInterval is the time between two writes that extend the lock of a
	// budget in use, and LockTime how long its tokens stay locked after such a
	// write.
	RenewInterval, LockTime time.Duration
	// IdleRenewInterval and IdleLockTime are the same for a budget without recent
	// use.
	IdleRenewInterval, IdleLockTime time.Duration
	// AvailableFor is the time for whose expected use tokens are left unlocked.
	AvailableFor time.Duration
	// ScarceBelow is the remaining time of a budget, at the recent use of all
	// holders, below which ScarceLockTime and ScarceAvailableFor replace LockTime
	// and AvailableFor. The unlocked escrow of a killed holder cannot be
	// reclaimed, and near the end of a budget that costs more than escrow that is
	// not available in an outage.
	ScarceBelow, ScarceLockTime, ScarceAvailableFor time.Duration
	// UnlockFactor is the rate at which tokens unlock by expiry, as a multiple
	// of the recent rate of use.
	UnlockFactor float64
	// MinUnlockSpan is the shortest time, and MaxUnlockSpan the longest, over
	// which tokens unlock by expiry.
	MinUnlockSpan, MaxUnlockSpan time.Duration
}

// timeLock is the time lock of a holder. It is off while now is nil.
type timeLock struct {
	TimeLock
	now func() (ms int64, ok bool)
}

// Prepaid returns the prepaid total of a budget and the revision of the
// configuration that sets it. It reports false for budgets that operators top up.
type Prepaid func(rf ident.BudgetRef) (ident.Tokens, ident.Revision, bool)

// Option configures a Holder.
type Option func(*options)

func newOptions(opts []Option) options {
	op := options{
		clock:         clock.System{},
		meter:         meter.Nop{},
		address:       func() string { return "" },
		grantSizer:    escrow.Bounded[escrow.Adaptive]{},
		newOp:         ident.NewOp,
		flushInterval: time.Second,
		drawTimeout:   time.Second,
		refusalTTL:    500 * time.Millisecond,
		idleAfter:     30 * time.Second,
		settleBatch:   64,
		headroom:      escrow.HeadroomFor,
		readInterval:  10 * time.Second,
		congested:     func(time.Time) bool { return false },
		prepaid:       func(ident.BudgetRef) (ident.Tokens, ident.Revision, bool) { return 0, 0, false },
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

// WithAddress sets the source of the router's address, which is written to the
// row of the incarnation. The default is empty: then the address is known only
// from the platform's list.
func WithAddress(address func() string) Option {
	return func(op *options) { op.address = address }
}

// WithGrantSizer sets the policy that sizes grants, which is always bounded by
// what is free. The default is escrow.Adaptive.
func WithGrantSizer[S escrow.GrantSizer[escrow.Demand]](gs S) Option {
	return func(op *options) { op.grantSizer = escrow.Bounded[S]{Inner: gs} }
}

// WithOps sets the source of operation ids. The default is ident.NewOp.
func WithOps(newOp func() ident.Op) Option { return func(op *options) { op.newOp = newOp } }

// WithFlushInterval sets the time between two flushes by Run. The default is
// 1 s, and the range is 10 ms to 10 s.
func WithFlushInterval(d time.Duration) Option {
	return func(op *options) { op.flushInterval = min(max(d, 10*time.Millisecond), 10*time.Second) }
}

// WithFlushParallelism makes each pass write the budgets in commits of their own,
// n of them at the same time. That suits a table in which each budget has its own
// partition and many holders write the same budgets. The default is 0, which
// writes all budgets in as few commits as possible; the range is 0 to 64.
func WithFlushParallelism(n int) Option {
	return func(op *options) { op.flushParallelism = min(max(n, 0), 64) }
}

// WithDrawTimeout bounds how long a reservation waits for the table. The
// default is 1 s, and the range is 10 ms to 10 s. With 500 ms, twice as many
// requests were refused while 380 holders drew their first grants of one
// budget.
func WithDrawTimeout(d time.Duration) Option {
	return func(op *options) { op.drawTimeout = min(max(d, 10*time.Millisecond), 10*time.Second) }
}

// WithRefusalTTL sets the longest time for which a refusal is cached before the
// table is read again; it is less while a budget has few holders. It bounds the
// reads of an exhausted budget and delays the effect of a top-up. The default is
// 500 ms, and the range is 0 to 10 s.
func WithRefusalTTL(d time.Duration) Option {
	return func(op *options) { op.refusalTTL = min(max(d, 0), 10*time.Second) }
}

// WithIdleAfter sets the time without a request after which available escrow
// is returned. The default is 30 s, and the range is 1 s to 1 h.
func WithIdleAfter(d time.Duration) Option {
	return func(op *options) { op.idleAfter = min(max(d, time.Second), time.Hour) }
}

// WithPeers sets the client that asks other holders to return unused escrow.
// By default no such requests are made.
func WithPeers(pe Peers) Option { return func(op *options) { op.peers = pe } }

// WithPeerAddress sets the address at which other holders request the return of
// unused escrow. It is written to the row of the incarnation. The default is
// none.
func WithPeerAddress(addr string) Option { return func(op *options) { op.peerAddress = addr } }

// WithSettleBatch sets the number of requests of a budget that are settled
// together if no settlement is due earlier. The default is 64, and the range is
// 1 to 10,000.
func WithSettleBatch(requests int64) Option {
	return func(op *options) { op.settleBatch = min(max(requests, 1), 10_000) }
}

// WithHeadroom sets how much escrow is held in advance, for all preferences of
// client accounts alike. By default it depends on the preference.
func WithHeadroom(he escrow.Headroom) Option {
	return func(op *options) { op.headroom = func(config.Preference) escrow.Headroom { return he } }
}

// WithPrepaid takes the prepaid totals from a configuration. The row of such a
// budget is created by its first draw. By default operators top budgets up.
func WithPrepaid(source Prepaid) Option { return func(op *options) { op.prepaid = source } }

// WithTimeLock puts a time lock on escrow that the holder does not need at once.
// What is still locked when a holder is known to be dead can be reclaimed. now
// returns a lower bound of the store's clock in milliseconds, and false while it
// is not known. By default nothing is locked.
func WithTimeLock(tl TimeLock, now func() (ms int64, ok bool)) Option {
	return func(op *options) { op.timeLock = timeLock{TimeLock: tl, now: now} }
}

// WithSharedLock extends the locks of all budgets with one write of a lease row,
// instead of one write for each budget. By default each grant row is written.
func WithSharedLock() Option { return func(op *options) { op.sharedLock = true } }

// WithUncheckedDraws makes the first draw of a budget independent of the row of the
// incarnation, which would put the first draws of all holders and budgets in one
// partition. A draw that takes effect after the incarnation was retired leaves a
// grant that Ledger.ReclaimLate returns. By default the row is checked.
func WithUncheckedDraws() Option { return func(op *options) { op.uncheckedDraws = true } }

// WithLenders sets the client that borrows tokens from other holders when the
// table does not respond or the budget has no free tokens left. By default
// nothing is borrowed.
func WithLenders(le Lenders) Option { return func(op *options) { op.lenders = le } }

// WithCongestion sets the source of whether the own link is congested. While it is, a
// timeout is no evidence that the table does not respond. The default is never.
func WithCongestion(congested func(now time.Time) bool) Option {
	return func(op *options) { op.congested = congested }
}

// WithAveragedUse averages the typical reservation over several requests, and makes the
// rate of a busy budget the mean since its first request. That suits a time lock, which is
// written when the target of available tokens changes, and budgets that are busy at once.
// By default the typical reservation is that of the last flush interval, and the rate a
// moving average that starts at zero.
func WithAveragedUse() Option { return func(op *options) { op.averagedUse = true } }

// WithReadInterval sets the longest time for which available escrow is held
// without a read of the budget row, which shows whether another holder is
// short. The default is 10 s, and the range is 100 ms to 1 h.
func WithReadInterval(d time.Duration) Option {
	return func(op *options) { op.readInterval = min(max(d, 100*time.Millisecond), time.Hour) }
}
