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
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Events of this package.
var (
	eventFenced    = meter.Event{Number: 3001, Level: slog.LevelError, Text: "incarnation was closed by a recovery, no more work is accepted"}
	eventUncharged = meter.Event{Number: 3002, Level: slog.LevelError, Text: "use above the reservation could not be charged"}
	eventFlush     = meter.Event{Number: 3003, Level: slog.LevelWarn, Text: "settlements could not be written and are kept for the next pass"}
	eventHeld      = meter.Event{Number: 3004, Level: slog.LevelWarn, Text: "escrow stays held at the end of the incarnation"}
)

// refusePerHolder scales how long a refusal stands with the holders of the
// budget, so that an exhausted budget is read at most 50 times a second while
// it has up to 25 holders.
const refusePerHolder = 20 * time.Millisecond

// phase is the state of a holder as its requests see it.
type phase int32

const (
	starting phase = iota
	running
	leaving
	fenced
)

// Holder is the escrow of one router incarnation. Reserve is safe for
// concurrent use. Run, Flush and Close are called by one owner.
type Holder struct {
	inc    ident.Incarnation
	vm     ident.VM
	domain ident.Domain
	ledger *Ledger
	opts   options

	phase atomic.Int32
	// row is the version of the incarnation row that this process wrote. First
	// draws require it, so that a closed incarnation opens no grant.
	row   atomic.Uint64
	index *index
	slots sync.Pool
	// away is set while the table does not answer. Requests then do not wait
	// for it, and one read at a time finds out when it is back.
	away atomic.Bool
}

// NewHolder returns a holder for one incarnation. Open must succeed before
// tokens can be reserved.
func NewHolder(inc ident.Incarnation, vm ident.VM, domain ident.Domain, ledger *Ledger, opts ...Option) *Holder {
	hd := &Holder{inc: inc, vm: vm, domain: domain, ledger: ledger, opts: newOptions(opts), index: newIndex()}
	hd.slots.New = func() any { return new(slot) }
	return hd
}

// Incarnation returns the holder's incarnation.
func (hd *Holder) Incarnation() ident.Incarnation { return hd.inc }

// Open writes the row of the incarnation. It can be repeated after an error.
func (hd *Holder) Open(ctx context.Context) error {
	opened := hd.opts.clock.Now().UnixMilli()
	err := repeat(ctx, func() (bool, error) {
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
		wr, err := put(hd.ledger.codecs.Incarnation, ro, ir)
		if err != nil {
			return false, err
		}
		err = hd.ledger.table.Commit(ctx, wr)
		if err == nil {
			hd.row.Store(ro.version + 1)
		}
		return err == nil, err
	})
	if err == nil {
		hd.phase.CompareAndSwap(int32(starting), int32(running))
	}
	return err
}

// Reserve reserves the worst case of a request. It takes it from held escrow
// without a lock or I/O, and draws a grant when the escrow is short. The error
// is a *refuse.Refusal with the outcome notRun.
func (hd *Holder) Reserve(ctx context.Context, rf ident.BudgetRef, tokens ident.Tokens, we config.Weight) (Hold, error) {
	if re := hd.refusal(tokens); re != nil {
		return Hold{}, re
	}
	hg := hd.index.find(rf)
	if hg == nil {
		hg = hd.index.add(rf)
	}
	hg.note(tokens, we)
	if !hg.pool.Reserve(tokens) {
		if re := hd.acquire(ctx, hg, tokens); re != nil {
			return Hold{}, re
		}
	}
	sl := hd.slots.Get().(*slot)
	return Hold{hd: hd, hg: hg, sl: sl, mark: sl.state.Load(), tokens: tokens}, nil
}

// Prime draws escrow for a budget that has had no request yet, so that the
// first ones need not wait for the table. A typical request is that large.
func (hd *Holder) Prime(ctx context.Context, rf ident.BudgetRef, typical ident.Tokens) error {
	hg := hd.index.add(rf)
	if !hg.lock(ctx) {
		return ctx.Err()
	}
	defer hg.unlock()
	return hd.draw(ctx, hg, typical)
}

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

// acquire reserves tokens from a new grant. One draw per budget is under way
// at a time; the others wait for it and look at the pool again.
func (hd *Holder) acquire(ctx context.Context, hg *holding, tokens ident.Tokens) *refuse.Refusal {
	now := hd.opts.clock.Now()
	if re := hg.standing(now, tokens); re != nil {
		return re
	}
	ctx, cancel := context.WithTimeout(ctx, hd.opts.drawTimeout)
	defer cancel()
	if !hg.lock(ctx) {
		return refuse.New(refuse.EscrowUnavailable, "no escrow could be drawn in time")
	}
	defer hg.unlock()
	for asked := false; ; {
		if hg.pool.Reserve(tokens) {
			return nil
		}
		if re := hg.standing(now, tokens); re != nil {
			return re
		}
		if hd.loosen(hg) {
			continue
		}
		if hd.away.Load() {
			if hd.borrow(ctx, hg, tokens, false) || hd.awaitShelf(ctx, hg, tokens) {
				continue
			}
			return refuse.New(refuse.EscrowUnavailable, "no escrow is left and the table is away").
				WithRetryAt(now.Add(hd.opts.refuseFor))
		}
		err := hd.secure(ctx, hg, tokens)
		if hd.noteAway(err); hd.away.Load() {
			continue
		}
		if errors.Is(err, escrow.ErrShort) && !asked && hd.ask(ctx, hg, tokens) {
			asked = true
			continue
		}
		if err != nil && hd.borrow(ctx, hg, tokens, errors.Is(err, escrow.ErrShort)) {
			continue
		}
		if err != nil {
			return hd.refuseDraw(hg, tokens, err)
		}
	}
}

// secure gets what the request lacks from the shelf or else from what is free.
func (hd *Holder) secure(ctx context.Context, hg *holding, tokens ident.Tokens) error {
	lack := tokens - hg.pool.Available()
	if _, ok := hd.opts.shelf.clock(); ok && hg.pool.Counts().Shelf >= lack {
		return hd.arm(ctx, hg, lack)
	}
	return hd.draw(ctx, hg, tokens)
}

// awaitShelf waits until the shelf has opened for the request, if that is
// before the reservation times out.
func (hd *Holder) awaitShelf(ctx context.Context, hg *holding, tokens ident.Tokens) bool {
	opens, ok := hd.opensIn(hg, tokens-hg.pool.Available())
	if end, bound := ctx.Deadline(); !ok || bound && hd.opts.clock.Now().Add(opens).After(end) {
		return false
	}
	return pause(ctx, opens) == nil
}

// noteAway notes from the result of a call whether the table answers.
func (hd *Holder) noteAway(err error) {
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) {
		hd.away.Store(true)
	}
}

// back reports whether the table answers.
func (hd *Holder) back(ctx context.Context) bool {
	if !hd.away.Load() {
		return true
	}
	_, err := hd.ledger.incarnation(ctx, hd.inc)
	if err == nil {
		hd.away.Store(false)
	}
	return err == nil
}

func (hd *Holder) refuseDraw(hg *holding, tokens ident.Tokens, err error) *refuse.Refusal {
	if re := hd.refusal(tokens); re != nil {
		return re
	}
	stands := min(hd.opts.refuseFor, time.Duration(max(1, hg.seen.Holders))*refusePerHolder)
	until := hd.opts.clock.Now().Add(stands)
	var re *refuse.Refusal
	switch {
	case errors.Is(err, escrow.ErrClosed):
		return refuse.New(refuse.ClosedIncarnation, "the router's incarnation was closed")
	case errors.Is(err, ErrUnknownBudget):
		re = refuse.New(refuse.OverBudget, "budget %s was never topped up", hg.ref)
	case errors.Is(err, escrow.ErrShort):
		re = refuse.New(refuse.OverBudget, "%d tokens asked, %d free of %d prepaid, %d held by %d routers",
			tokens, hg.seen.Free(), hg.seen.Prepaid, hg.seen.Granted, hg.seen.Holders)
		if hg.seen.Free()+hg.seen.Granted >= tokens {
			re = re.WithRetryAt(until)
		}
	default:
		re = refuse.New(refuse.EscrowUnavailable, "no escrow could be drawn: %v", err).WithRetryAt(until)
	}
	hg.stand(re, until, tokens)
	return re
}

// Run flushes once per tick until ctx ends. Close follows. The first pass is at
// a random time, so that routers that started together do not write the same
// budget rows at the same moment.
func (hd *Holder) Run(ctx context.Context) error {
	if err := pause(ctx, rand.N(hd.opts.tick)); err != nil {
		return err
	}
	tk := time.NewTicker(hd.opts.tick)
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

func (hd *Holder) fence() {
	if phase(hd.phase.Swap(int32(fenced))) != fenced {
		hd.opts.meter.Log(eventFenced, slog.String("incarnation", string(hd.inc)))
	}
}
