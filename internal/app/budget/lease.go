package budget

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// lease extends the locks of all grants of a holder with one write. The row is in
// a partition of its own, so that the writes of a fleet grow with its routers and
// not with routers times budgets.
type lease struct {
	// mu orders the extension of the lease and the unlocking of tokens by expiry:
	// tokens that were unlocked and are not recorded yet would count as unused under
	// a longer lease.
	mu sync.Mutex
	// until is the latest end that the row may have, in milliseconds of the store's
	// clock.
	until int64

	// version is the version of the row. uncertain means that the last write may or
	// may not have taken effect. Only RenewLease uses them.
	version   uint64
	uncertain bool
	// requests is the number of requests of all budgets at the last renewal, and usedAt
	// when it last changed. Only RenewLease uses them.
	requests int64
	usedAt   time.Time
	// renewedAt is when the row was last written.
	renewedAt time.Time
}

// due reports whether the lease is to be extended now. While no budget is in use, the
// locks last longer than the lease, and it is extended less often.
func (le *lease) due(now time.Time, hgs []*holding, idleInterval time.Duration) bool {
	var requests int64
	for _, hg := range hgs {
		requests += hg.requests.Load()
	}
	if requests != le.requests {
		le.requests, le.usedAt = requests, now
	}
	return now.Sub(le.usedAt) <= activeFor || now.Sub(le.renewedAt) >= idleInterval
}

// unlock calls the function with the latest end of the lease. The lease is not
// extended in the meantime.
func (le *lease) unlock(unlock func(until int64) ident.Tokens) ident.Tokens {
	le.mu.Lock()
	defer le.mu.Unlock()
	return unlock(le.until)
}

// end returns the latest end of the lease.
func (le *lease) end() int64 {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.until
}

// extend sets the end of the lease and reports whether the row is to be written.
// That is not the case if no tokens are locked, or if some have been unlocked by
// expiry and the grant row does not show it yet.
func (le *lease) extend(until int64, hgs []*holding) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	locked := false
	for _, hg := range hgs {
		co := hg.pool.Counts()
		if co.Unrecorded > 0 {
			return false
		}
		locked = locked || co.Locked > 0
	}
	if locked {
		le.until = max(le.until, until)
	}
	return locked
}

// runLease extends the lease until ctx ends. It does not wait for the passes over
// the budgets, which may take longer than the lock time.
func (hd *Holder) runLease(ctx context.Context) {
	for sleep(ctx, hd.opts.timeLock.RenewInterval) == nil {
		hd.RenewLease(ctx)
	}
}

// RenewLease extends the lease, unless the table does not respond. Run calls it
// once in each interval of the time lock. It is not to be called concurrently with
// itself.
func (hd *Holder) RenewLease(ctx context.Context) {
	ms, ok := hd.opts.timeLock.clock()
	if !ok || phase(hd.phase.Load()) != running || hd.table.down() {
		return
	}
	now, hgs := hd.opts.clock.Now(), hd.index.all()
	until := ms + hd.opts.timeLock.LockTime.Milliseconds()
	if !hd.lease.due(now, hgs, hd.opts.timeLock.IdleRenewInterval) || !hd.lease.extend(until, hgs) {
		return
	}
	hd.lease.renewedAt = now
	ctx, cancel := context.WithTimeout(ctx, hd.opts.drawTimeout)
	defer cancel()
	err := hd.writeLease(ctx, until)
	if err != nil {
		// Without a log line: an outage has one of its own, and the next write follows
		// soon.
		hd.opts.meter.Count("leaseErrors", "", "", 1)
	}
}

// writeLease writes the lease row.
func (hd *Holder) writeLease(ctx context.Context, until int64) error {
	le := &hd.lease
	if le.uncertain {
		ro, err := loadRow(ctx, hd.ledger.table, hd.ledger.codecs.Lease, leaseKey(hd.inc))
		if err != nil {
			return err
		}
		le.version, le.uncertain = ro.version, false
	}
	wr, err := newWrite(hd.ledger.codecs.Lease, row[escrow.LeaseRow]{key: leaseKey(hd.inc), version: le.version}, escrow.LeaseRow{Until: until})
	if err != nil {
		return err
	}
	err = hd.ledger.table.Commit(ctx, wr)
	switch {
	case err == nil:
		le.version++
	case errors.Is(err, store.ErrThrottled), errors.Is(err, store.ErrUnavailable):
		// Nothing was written.
	default:
		le.uncertain = true
	}
	return err
}

// leaseUntil returns the end of the lease of an incarnation, or zero if it has
// none.
func (le *Ledger) leaseUntil(ctx context.Context, inc ident.Incarnation) (int64, error) {
	if le.codecs.Lease == nil {
		return 0, nil
	}
	ro, err := loadRow(ctx, le.table, le.codecs.Lease, leaseKey(inc))
	return ro.val.Until, err
}

// deleteLease deletes the lease of an incarnation that has ended.
func (le *Ledger) deleteLease(ctx context.Context, inc ident.Incarnation) error {
	if le.codecs.Lease == nil {
		return nil
	}
	return retry(ctx, func() (bool, error) {
		ro, err := loadRow(ctx, le.table, le.codecs.Lease, leaseKey(inc))
		if err != nil || !ro.exists() {
			return err == nil, err
		}
		return le.deleteRow(ctx, ro.key, ro.version)
	})
}

// ReclaimLate returns the grants of retired incarnations that a delayed first draw
// has created since. The incarnations have ended without knowing of them, so that
// nothing of them was used.
func (le *Ledger) ReclaimLate(ctx context.Context, inc ident.Incarnation, refs []ident.BudgetRef) (ident.Tokens, error) {
	var sum ident.Tokens
	ir, err := le.incarnation(ctx, inc)
	if err != nil || ir.exists() {
		return 0, err
	}
	for _, rf := range refs {
		err := le.changeGrant(ctx, rf, inc, func(en escrow.Entry) (escrow.Entry, error) {
			if en.Grant.Era < le.era() {
				// The row may have come back with an older copy of the store.
				return en, nil
			}
			nx, err := en.Return(en.Grant.Outstanding())
			sum += nx.Grant.Returned - en.Grant.Returned
			return nx, err
		})
		if err == nil {
			_, err = le.deleteGrant(ctx, rf, inc)
		}
		if err != nil && !errors.Is(err, ErrUnknownGrant) {
			return sum, err
		}
	}
	return sum, nil
}
