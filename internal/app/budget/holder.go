package budget

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Events of a holder.
var (
	eventFenced      = meter.Event{Number: 3001, Level: slog.LevelError, Text: "incarnation was closed by a recovery, no more work is accepted"}
	eventUncharged   = meter.Event{Number: 3002, Level: slog.LevelError, Text: "use above the reservation could not be charged"}
	eventFlushFailed = meter.Event{Number: 3003, Level: slog.LevelWarn, Text: "settlements could not be written and are kept for the next pass"}
	eventHeld        = meter.Event{Number: 3004, Level: slog.LevelWarn, Text: "escrow stays held at the end of the incarnation"}
)

// refusalTTLPerHolder scales the time for which a refusal is cached with the
// holders of the budget, so that an exhausted budget is read at most 50 times a
// second while it has up to 25 holders.
const refusalTTLPerHolder = 20 * time.Millisecond

// maxOutageTTL is the longest time for which a refusal is cached while the table does not
// respond. It delays the use of what unlocks by expiry or can be borrowed.
const maxOutageTTL = 100 * time.Millisecond

// phase is the state of a holder. It decides whether requests are refused.
type phase int32

const (
	starting phase = iota
	running
	leaving
	fenced
)

// Holder is the escrow of one router incarnation. Reserve is safe for concurrent
// use. Run, Flush and Close are not to be called concurrently.
type Holder struct {
	inc    ident.Incarnation
	vm     ident.VM
	domain ident.Domain
	ledger *Ledger
	opts   options

	phase atomic.Int32
	// row is the version of the incarnation row that this process wrote. The
	// commit of a first draw requires it, so that a closed incarnation opens no
	// grant.
	row atomic.Uint64
	// openedIn is the era of the store in which the holder was opened, and registeredIn
	// the one in which the row of the incarnation was last written or read.
	openedIn     atomic.Uint64
	registeredIn atomic.Uint64
	eras         eraWatch
	index        *index
	holdStates   sync.Pool
	lease        lease
	// table knows whether the table responds. While it does not, requests do not wait
	// for it, and one read in each pass finds out when it responds again.
	table *watchedTable
}

// NewHolder returns a holder for one incarnation. Open must succeed before
// tokens can be reserved.
func NewHolder(inc ident.Incarnation, vm ident.VM, domain ident.Domain, ledger *Ledger, opts ...Option) *Holder {
	op := newOptions(opts)
	table := newWatchedTable(ledger.table, op)
	hd := &Holder{inc: inc, vm: vm, domain: domain, ledger: ledger.withTable(table), opts: op, index: newIndex(), table: table}
	hd.holdStates.New = func() any { return new(holdState) }
	return hd
}

// Incarnation returns the holder's incarnation.
func (hd *Holder) Incarnation() ident.Incarnation { return hd.inc }

// Open writes the row of the incarnation. It can be called again after an error.
func (hd *Holder) Open(ctx context.Context) error {
	opened := hd.opts.clock.Now().UnixMilli()
	err := retry(ctx, func() (bool, error) {
		ro, err := hd.ledger.incarnation(ctx, hd.inc)
		if err != nil {
			return false, err
		}
		if ro.exists() {
			if ro.val.State != escrow.Open {
				return false, escrow.ErrClosed
			}
			hd.row.Store(ro.version)
			return true, nil
		}
		ir := escrow.IncarnationRow{
			VM: hd.vm, Domain: hd.domain, Opened: opened, State: escrow.Open,
			Address: hd.opts.address(), PeerAddress: hd.opts.peerAddress,
		}
		wr, err := newWrite(hd.ledger.codecs.Incarnation, ro, ir)
		if err != nil {
			return false, err
		}
		err = hd.ledger.table.Commit(ctx, wr)
		if err == nil {
			hd.row.Store(ro.version + 1)
		}
		return err == nil, err
	})
	if err == nil && hd.phase.CompareAndSwap(int32(starting), int32(running)) {
		hd.openedIn.Store(hd.ledger.era())
		hd.registeredIn.Store(hd.ledger.era())
	}
	return err
}

// Reserve reserves the largest number of tokens that a request can use. It takes
// them from held escrow without a mutex or I/O, and draws a grant when the escrow
// is short. The error is a *refuse.Refusal with the outcome notRun.
func (hd *Holder) Reserve(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, pr config.Preference) (Hold, error) {
	if re := hd.refusal(tokens); re != nil {
		return Hold{}, re
	}
	hg := hd.index.find(rf)
	if hg == nil {
		hg = hd.index.add(rf)
	}
	hg.recordRequest(tokens, pr)
	if !hg.pool.Reserve(tokens) {
		if re := hd.acquire(ctx, hg, tokens); re != nil {
			return Hold{}, re
		}
	}
	hs := hd.holdStates.Get().(*holdState)
	return Hold{hd: hd, hg: hg, hs: hs, generation: hs.state.Load(), tokens: tokens}, nil
}

// Prime draws escrow for a budget that has had no request yet, so that the first
// ones need not wait for the table. typical is the expected size of a
// reservation.
func (hd *Holder) Prime(ctx context.Context, rf ident.BudgetRef, typical ident.Tokens) error {
	hg := hd.index.add(rf)
	if !hg.lockRows(ctx) {
		return ctx.Err()
	}
	defer hg.unlockRows()
	return hd.draw(ctx, hg, typical)
}

// refusal returns why no request can be served in the current phase, or why the
// number of tokens is invalid.
func (hd *Holder) refusal(tokens ident.Tokens) *refuse.Refusal {
	switch phase(hd.phase.Load()) {
	case starting:
		return refuse.New(refuse.EscrowUnavailable, "the incarnation is not registered yet")
	case leaving:
		return refuse.New(refuse.Leaving, "the router is leaving")
	case fenced:
		return refuse.New(refuse.ClosedIncarnation, "the router's incarnation was closed")
	}
	if tokens < 0 {
		return refuse.New(refuse.BadRequest, "negative number of tokens")
	}
	return nil
}

// acquire reserves tokens that are not available yet: it unlocks, draws or
// borrows them. One request per budget does so at a time; the others wait for it
// and then try the pool again.
func (hd *Holder) acquire(ctx context.Context, hg *holding, tokens ident.Tokens) *refuse.Refusal {
	now := hd.opts.clock.Now()
	if re := hg.refusalFor(now, tokens); re != nil {
		return re
	}
	hg.waiting.Add(int64(tokens))
	defer hg.waiting.Add(-int64(tokens))
	ctx, cancel := context.WithTimeout(ctx, hd.opts.drawTimeout)
	defer cancel()
	if !hd.lockInTime(ctx, hg) {
		return hd.refuseLate("requests that wait for escrow of the budget are served too late")
	}
	locked := true
	defer func() {
		if locked {
			hg.unlockRows()
		}
	}()
	for requested := false; ; {
		if hg.pool.Reserve(tokens) {
			return nil
		}
		if re := hg.refusalFor(now, tokens); re != nil {
			return re
		}
		if hd.unlockExpired(hg) {
			continue
		}
		if hd.table.down() {
			if hd.borrow(ctx, hg, tokens, false) || hd.awaitUnlock(ctx, hg, tokens) {
				continue
			}
			return hd.refuseOutage(hg, tokens)
		}
		dr := hd.drawWithin(ctx, hg, tokens)
		if dr.left {
			locked = false
			return hd.refuseLate("escrow is drawn too late for the request")
		}
		err := dr.err
		if hd.table.down() {
			continue
		}
		if errors.Is(err, escrow.ErrInsufficient) && !requested && hd.requestRelease(ctx, hg, tokens) {
			requested = true
			continue
		}
		if err != nil && hd.borrow(ctx, hg, tokens, errors.Is(err, escrow.ErrInsufficient)) {
			continue
		}
		if err != nil {
			return hd.refuseDraw(hg, tokens, err)
		}
	}
}

// unlockOrDraw gets the tokens that the request lacks from the time-locked
// escrow, or else from the free tokens of the budget.
func (hd *Holder) unlockOrDraw(ctx context.Context, hg *holding, tokens ident.Tokens) error {
	if now := hd.opts.clock.Now(); now.Sub(hg.usage.updatedAt) > observeAfter*hd.opts.flushInterval {
		hg.usage.observe(now, hg.requests.Load(), hg.requestedTokens.Load(), hd.opts.averagedUse)
	}
	if wanted := hg.wanted(tokens); hd.coveredByLocked(hg, wanted) {
		return hd.unlockTokens(ctx, hg, wanted)
	}
	return hd.draw(ctx, hg, tokens)
}

// awaitUnlock waits until enough tokens for the request have unlocked by expiry,
// if that is before the reservation times out.
func (hd *Holder) awaitUnlock(ctx context.Context, hg *holding, tokens ident.Tokens) bool {
	wait, ok := hd.unlocksIn(hg, tokens-hg.pool.Available())
	if !ok || hd.endsBefore(ctx, wait) {
		return false
	}
	us := hg.unlockSchedule
	perToken := float64(time.Duration(us.span)*time.Millisecond) / float64(max(1, us.locked))
	hg.work.Store(&rowsWork{endsAt: hd.opts.clock.Now().Add(wait), perToken: perToken})
	return sleep(ctx, wait) == nil
}

// tableReachable reports whether the table responds. While it counts as down, a read
// finds out.
func (hd *Holder) tableReachable(ctx context.Context) bool {
	if !hd.table.down() {
		return true
	}
	_, err := hd.ledger.incarnation(ctx, hd.inc)
	return err == nil
}

// refuseOutage returns the refusal of a request while the table does not respond, and
// caches it, so that requests do not ask the same lenders one after the other.
func (hd *Holder) refuseOutage(hg *holding, tokens ident.Tokens) *refuse.Refusal {
	now := hd.opts.clock.Now()
	re := refuse.New(refuse.EscrowUnavailable, "no escrow is left and the table does not respond").WithRetryAt(now.Add(hd.opts.refusalTTL))
	hg.cacheRefusal(re, now.Add(min(hd.opts.refusalTTL, maxOutageTTL)), tokens)
	return re
}

// refuseDraw returns the refusal of a request for which a draw failed, and caches
// it for a short time.
func (hd *Holder) refuseDraw(hg *holding, tokens ident.Tokens, err error) *refuse.Refusal {
	if re := hd.refusal(tokens); re != nil {
		return re
	}
	ttl := min(hd.opts.refusalTTL, time.Duration(max(1, hg.budgetRow.Holders))*refusalTTLPerHolder)
	until := hd.opts.clock.Now().Add(ttl)
	var re *refuse.Refusal
	switch {
	case errors.Is(err, escrow.ErrClosed):
		return refuse.New(refuse.ClosedIncarnation, "the router's incarnation was closed")
	case errors.Is(err, ErrUnknownBudget):
		re = refuse.New(refuse.OverBudget, "budget %s was never topped up", hg.ref)
	case errors.Is(err, escrow.ErrInsufficient):
		re = refuse.New(refuse.OverBudget, "%d tokens requested, %d free of %d prepaid, %d held by %d routers",
			tokens, hg.budgetRow.Free(), hg.budgetRow.Prepaid, hg.budgetRow.Granted, hg.budgetRow.Holders)
		if hg.budgetRow.Free()+hg.budgetRow.Granted >= tokens {
			re = re.WithRetryAt(until)
		}
	default:
		re = refuse.New(refuse.EscrowUnavailable, "no escrow could be drawn: %v", err).WithRetryAt(until)
	}
	hg.cacheRefusal(re, until, tokens)
	return re
}

// Run flushes once per interval until ctx ends. Close is to be called afterwards.
// The first pass is at a random time, so that routers that started together do
// not write the same budget rows at the same moment.
func (hd *Holder) Run(ctx context.Context) error {
	if err := sleep(ctx, rand.N(hd.opts.flushInterval)); err != nil {
		return err
	}
	var leases sync.WaitGroup
	defer leases.Wait()
	if hd.opts.sharedLock {
		leases.Go(func() { hd.runLease(ctx) })
	}
	tk := time.NewTicker(hd.opts.flushInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tk.C:
			hd.Flush(ctx)
		}
	}
}

// Counts returns the counters of the pool of one budget.
func (hd *Holder) Counts(rf ident.BudgetRef) escrow.Counts {
	if hg := hd.index.find(rf); hg != nil {
		return hg.pool.Counts()
	}
	return escrow.Counts{}
}

// fence makes the holder refuse all requests, because its incarnation was closed
// by a recovery.
func (hd *Holder) fence() {
	if phase(hd.phase.Swap(int32(fenced))) != fenced {
		hd.opts.meter.Log(eventFenced, slog.String("incarnation", string(hd.inc)))
	}
}
